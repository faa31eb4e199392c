package serve

import (
	"context"
	"errors"
	"fmt"
	"math"

	"connectrpc.com/connect"

	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/access"
	"reedtrack/internal/outputs/cluster"
	"reedtrack/internal/outputs/disk"
	pb "reedtrack/internal/outputs/outputsv1"
	"reedtrack/internal/protocol"
)

// readerService is the RPC service for readers. It is also used by [pages].
type readerService struct {
	node        *cluster.Node
	slots       chan struct{}
	followSlots chan struct{} // for reads with Follow, which may last for hours
}

// authorize returns an error if the caller may not read an attempt.
func (s *readerService) authorize(ctx context.Context, a *pb.Attempt) error {
	if err := outputs.CheckAttempt(a); err != nil {
		return connectError(err)
	}
	if err := callerOf(ctx).AuthorizeRead(a.Team); err != nil {
		return permissionDenied(err)
	}
	return nil
}

// List lists the attempts of a job that the caller may see.
func (s *readerService) List(ctx context.Context, r *connect.Request[pb.ListRequest]) (*connect.Response[pb.ListResponse], error) {
	return response(s.list(ctx, r.Msg))
}

func (s *readerService) list(ctx context.Context, req *pb.ListRequest) (*pb.ListResponse, error) {
	if !protocol.ValidJobID(req.Job) {
		return nil, invalidField("job", "must look like wk-000412")
	}
	caller := callerOf(ctx)
	if caller.Role == access.RolePeer {
		return nil, permissionDenied(caller.AuthorizeRead(""))
	}
	release, err := acquireSlot(s.slots, "readers")
	if err != nil {
		return nil, err
	}
	defer release()
	resp, err := s.node.List(ctx, caller.TeamScope(), req)
	return resp, connectError(err)
}

// Describe returns an attempt's summary and seal.
func (s *readerService) Describe(ctx context.Context, r *connect.Request[pb.DescribeRequest]) (*connect.Response[pb.DescribeResponse], error) {
	return response(s.describe(ctx, r.Msg.Attempt))
}

func (s *readerService) describe(ctx context.Context, a *pb.Attempt) (*pb.DescribeResponse, error) {
	if err := s.authorize(ctx, a); err != nil {
		return nil, err
	}
	release, err := acquireSlot(s.slots, "readers")
	if err != nil {
		return nil, err
	}
	defer release()
	resp, err := s.node.Describe(ctx, a)
	return resp, connectError(err)
}

// response wraps the result of an RPC. Its error must be a Connect error already.
func response[T any](resp *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

// Read streams an attempt's records.
func (s *readerService) Read(ctx context.Context, r *connect.Request[pb.ReadRequest], stream *connect.ServerStream[pb.ReadResponse]) error {
	return s.read(ctx, r.Msg, stream.Send)
}

func (s *readerService) read(ctx context.Context, req *pb.ReadRequest, emit func(*pb.ReadResponse) error) error {
	if err := s.authorize(ctx, req.Attempt); err != nil {
		return err
	}
	if req.TailLines > math.MaxInt32 {
		return invalidField("tail_lines", "too many")
	}
	slots := s.slots
	if req.Follow {
		slots = s.followSlots
	}
	release, err := acquireSlot(slots, "readers")
	if err != nil {
		return err
	}
	defer release()
	return connectError(s.node.Read(ctx, req, emit))
}

// Fetch streams an artefact, starting at an offset.
func (s *readerService) Fetch(ctx context.Context, r *connect.Request[pb.FetchRequest], stream *connect.ServerStream[pb.FetchResponse]) error {
	return s.fetch(ctx, r.Msg, stream.Send)
}

// fetch sends the description of an artefact and then its data, chunk by chunk.
func (s *readerService) fetch(ctx context.Context, req *pb.FetchRequest, send func(*pb.FetchResponse) error) error {
	d, err := s.describe(ctx, req.Attempt)
	if err != nil {
		return err
	}
	artefact := findArtefact(d.Seal, req.Path)
	if artefact == nil {
		return connect.NewError(connect.CodeNotFound, fmt.Errorf("%s has no artefact %s", outputs.FormatAttempt(req.Attempt), outputs.EscapePath(req.Path)))
	}
	if req.Offset > artefact.Size {
		return invalidField("offset", fmt.Sprintf("the artefact has %d bytes", artefact.Size))
	}
	release, err := acquireSlot(s.slots, "readers")
	if err != nil {
		return err
	}
	defer release()
	if err := send(&pb.FetchResponse{Artefact: artefact}); err != nil {
		return err
	}
	for at := req.Offset; at < artefact.Size; {
		data, err := s.chunkData(ctx, req.Attempt, artefact, at)
		if err != nil {
			return err
		}
		if err := send(&pb.FetchResponse{Data: data}); err != nil {
			return err
		}
		at += uint64(len(data))
	}
	return nil
}

// findArtefact returns the artefact with a path, or nil.
func findArtefact(seal *pb.Seal, path string) *pb.Artefact {
	var found *pb.Artefact
	for _, f := range seal.GetArtefacts() {
		if f.Path == path {
			found = f
		}
	}
	return found
}

// chunkData returns the data from an offset to the end of the chunk that contains it.
func (s *readerService) chunkData(ctx context.Context, a *pb.Attempt, artefact *pb.Artefact, offset uint64) ([]byte, error) {
	index := offset / outputs.ChunkSize
	start := index * outputs.ChunkSize
	data, err := s.node.Chunk(ctx, a.Team, artefact.Chunks[index], outputs.Route(outputs.Key(a)))
	if errors.Is(err, disk.ErrNotFound) {
		// The seal refers to the chunk, so it exists but is currently unavailable.
		err = fmt.Errorf("bytes from %d on: %w", start, cluster.ErrUnavailable)
	}
	if err != nil {
		return nil, connectError(err)
	}
	skip := offset - start
	if skip > uint64(len(data)) {
		return nil, connectError(outputs.ErrChunk)
	}
	return data[skip:], nil
}

// Members describes the members of the cluster.
func (s *readerService) Members(ctx context.Context, _ *connect.Request[pb.MembersRequest]) (*connect.Response[pb.MembersResponse], error) {
	if caller := callerOf(ctx); caller.Role == access.RolePeer {
		return nil, permissionDenied(caller.AuthorizeRead(""))
	}
	return connect.NewResponse(s.node.Status(ctx)), nil
}
