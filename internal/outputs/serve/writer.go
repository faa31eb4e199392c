package serve

import (
	"context"
	"errors"
	"fmt"

	"connectrpc.com/connect"

	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/cluster"
	pb "reedtrack/internal/outputs/outputsv1"
)

// writerService is the RPC service for writers, which capture the output of tasks.
type writerService struct {
	node  *cluster.Node
	slots chan struct{}
}

// authorize returns an error if the caller may not write an attempt. It checks the
// token's team, the attempt's secret and the name of the job class.
func (w *writerService) authorize(ctx context.Context, a *pb.Attempt, secret []byte, meta *pb.Meta) error {
	if err := outputs.CheckAttempt(a); err != nil {
		return connectError(err)
	}
	if err := callerOf(ctx).AuthorizeWrite(a.Team); err != nil {
		return permissionDenied(err)
	}
	if !outputs.OwnsAttempt(a, secret) {
		return permissionDenied(errors.New("the attempt is another writer's"))
	}
	if class := meta.GetJobClass(); class != "" {
		return connectError(outputs.CheckName("meta.job_class", class))
	}
	return nil
}

// handleWrite handles a write request in one of the service's slots.
func handleWrite[T any](w *writerService, write func() (*T, error)) (*connect.Response[T], error) {
	release, err := acquireSlot(w.slots, "writes")
	if err != nil {
		return nil, err
	}
	defer release()
	resp, err := write()
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(resp), nil
}

// Open records that an attempt has started. The response holds the limits and the
// members' addresses in order of preference.
func (w *writerService) Open(ctx context.Context, r *connect.Request[pb.OpenRequest]) (*connect.Response[pb.OpenResponse], error) {
	req := r.Msg
	if err := w.authorize(ctx, req.Attempt, req.Secret, req.Meta); err != nil {
		return nil, err
	}
	return handleWrite(w, func() (*pb.OpenResponse, error) {
		if _, err := w.node.Open(ctx, req.Attempt, req.Meta); err != nil {
			return nil, err
		}
		limits := w.node.Limits()
		resp := &pb.OpenResponse{
			AttemptBytes:     limits.AttemptBytes,
			AttemptBytesPerS: limits.AttemptRate,
			ArtefactBytes:    limits.ArtefactBytes,
			Copies:           uint32(w.node.ReplicationFactor()),
		}
		view := w.node.Membership().View()
		for _, i := range view.PreferenceList(outputs.Route(outputs.Key(req.Attempt))) {
			resp.Addresses = append(resp.Addresses, view.Members[i].Address)
		}
		return resp, nil
	})
}

// Append stores a block of records.
func (w *writerService) Append(ctx context.Context, r *connect.Request[pb.AppendRequest]) (*connect.Response[pb.AppendResponse], error) {
	req := r.Msg
	if err := w.authorize(ctx, req.Attempt, req.Secret, req.Meta); err != nil {
		return nil, err
	}
	if req.Block == nil {
		return nil, invalidField("block", "missing")
	}
	return handleWrite(w, func() (*pb.AppendResponse, error) {
		copies, err := w.node.Append(ctx, req.Attempt, req.Meta, req.Block)
		return &pb.AppendResponse{Copies: uint32(copies)}, err
	})
}

// MissingChunks returns the chunks of its artefacts that a writer has to send.
func (w *writerService) MissingChunks(ctx context.Context, r *connect.Request[pb.MissingChunksRequest]) (*connect.Response[pb.MissingChunksResponse], error) {
	req := r.Msg
	if err := w.authorize(ctx, req.Attempt, req.Secret, nil); err != nil {
		return nil, err
	}
	if len(req.Sha256) > outputs.MaxChunks {
		return nil, invalidField("sha256", fmt.Sprintf("must be at most %d", outputs.MaxChunks))
	}
	return handleWrite(w, func() (*pb.MissingChunksResponse, error) {
		missing, err := w.node.MissingChunks(ctx, req.Attempt, req.Sha256)
		return &pb.MissingChunksResponse{Sha256: missing}, err
	})
}

// PutChunk stores a chunk of an artefact.
func (w *writerService) PutChunk(ctx context.Context, r *connect.Request[pb.PutChunkRequest]) (*connect.Response[pb.PutChunkResponse], error) {
	req := r.Msg
	if err := w.authorize(ctx, req.Attempt, req.Secret, nil); err != nil {
		return nil, err
	}
	if req.Chunk == nil {
		return nil, invalidField("chunk", "missing")
	}
	return handleWrite(w, func() (*pb.PutChunkResponse, error) {
		copies, err := w.node.PutChunk(ctx, req.Attempt, req.Chunk)
		return &pb.PutChunkResponse{Copies: uint32(copies)}, err
	})
}

// Seal ends an attempt.
func (w *writerService) Seal(ctx context.Context, r *connect.Request[pb.SealRequest]) (*connect.Response[pb.SealResponse], error) {
	req := r.Msg
	if err := w.authorize(ctx, req.Attempt, req.Secret, req.Meta); err != nil {
		return nil, err
	}
	if err := outputs.CheckSeal(req.Seal, w.node.Limits().ArtefactBytes); err != nil {
		return nil, connectError(err)
	}
	return handleWrite(w, func() (*pb.SealResponse, error) {
		copies, err := w.node.Seal(ctx, req.Attempt, req.Meta, req.Seal)
		return &pb.SealResponse{Copies: uint32(copies)}, err
	})
}
