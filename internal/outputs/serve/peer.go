package serve

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"reedtrack/internal/outputs/cluster"
	"reedtrack/internal/outputs/disk"
	pb "reedtrack/internal/outputs/outputsv1"
)

// peerService is the RPC service for other stores. Its unary methods call the node or
// its store, and are authorized only for peers.
type peerService struct{ node *cluster.Node }

// handlePeer handles a unary request if the caller is a peer.
func handlePeer[T any](ctx context.Context, handle func() (*T, error)) (*connect.Response[T], error) {
	if err := callerOf(ctx).AuthorizePeer(); err != nil {
		return nil, permissionDenied(err)
	}
	resp, err := handle()
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(resp), nil
}

// Put stores entries.
func (p *peerService) Put(ctx context.Context, r *connect.Request[pb.PutRequest]) (*connect.Response[pb.PutResponse], error) {
	return handlePeer(ctx, func() (*pb.PutResponse, error) {
		return new(pb.PutResponse), p.node.Store().Put(ctx, r.Msg.Entries...)
	})
}

// Scan lists attempts of a job.
func (p *peerService) Scan(ctx context.Context, r *connect.Request[pb.ScanRequest]) (*connect.Response[pb.ScanResponse], error) {
	return handlePeer(ctx, func() (*pb.ScanResponse, error) { return p.node.Scan(r.Msg), nil })
}

// Held describes the replicas that this member holds of the given attempts.
func (p *peerService) Held(ctx context.Context, r *connect.Request[pb.HeldRequest]) (*connect.Response[pb.HeldResponse], error) {
	return handlePeer(ctx, func() (*pb.HeldResponse, error) {
		resp := new(pb.HeldResponse)
		for _, key := range r.Msg.Keys {
			if held := p.node.Store().Held(key); held != nil {
				resp.Held = append(resp.Held, held)
			}
		}
		return resp, nil
	})
}

// Blocks streams an attempt's blocks.
func (p *peerService) Blocks(ctx context.Context, r *connect.Request[pb.BlocksRequest], stream *connect.ServerStream[pb.BlocksResponse]) error {
	if err := callerOf(ctx).AuthorizePeer(); err != nil {
		return permissionDenied(err)
	}
	return connectError(p.node.Blocks(ctx, r.Msg, stream.Send))
}

// GetSeal returns an attempt's seal and the metadata of its start.
func (p *peerService) GetSeal(ctx context.Context, r *connect.Request[pb.GetSealRequest]) (*connect.Response[pb.GetSealResponse], error) {
	return handlePeer(ctx, func() (*pb.GetSealResponse, error) {
		seal, meta := p.node.Store().Seal(r.Msg.Key)
		return &pb.GetSealResponse{Seal: seal, Meta: meta}, nil
	})
}

// GetChunk returns a chunk. A damaged chunk is reported as not found, so that the peer
// tries another member.
func (p *peerService) GetChunk(ctx context.Context, r *connect.Request[pb.GetChunkRequest]) (*connect.Response[pb.GetChunkResponse], error) {
	return handlePeer(ctx, func() (*pb.GetChunkResponse, error) {
		chunk, err := p.node.Store().Chunk(r.Msg.Team, r.Msg.Sha256)
		if errors.Is(err, disk.ErrDamaged) {
			err = disk.ErrNotFound
		}
		return &pb.GetChunkResponse{Chunk: chunk}, err
	})
}

// HasChunks returns the chunks that are missing on this member.
func (p *peerService) HasChunks(ctx context.Context, r *connect.Request[pb.HasChunksRequest]) (*connect.Response[pb.HasChunksResponse], error) {
	return handlePeer(ctx, func() (*pb.HasChunksResponse, error) {
		return &pb.HasChunksResponse{Missing: p.node.Store().MissingChunks(r.Msg.Team, r.Msg.Sha256)}, nil
	})
}

// Digests returns the digests for a repair round.
func (p *peerService) Digests(ctx context.Context, r *connect.Request[pb.DigestsRequest]) (*connect.Response[pb.DigestsResponse], error) {
	return handlePeer(ctx, func() (*pb.DigestsResponse, error) { return p.node.Digests(r.Msg), nil })
}

// Bucket lists the attempts in the requested digest buckets.
func (p *peerService) Bucket(ctx context.Context, r *connect.Request[pb.BucketRequest]) (*connect.Response[pb.BucketResponse], error) {
	return handlePeer(ctx, func() (*pb.BucketResponse, error) { return p.node.Bucket(r.Msg), nil })
}

// Confirm confirms replicas to a peer that is about to drop its own.
func (p *peerService) Confirm(ctx context.Context, r *connect.Request[pb.ConfirmRequest]) (*connect.Response[pb.ConfirmResponse], error) {
	return handlePeer(ctx, func() (*pb.ConfirmResponse, error) { return p.node.Confirm(r.Msg), nil })
}

// Status returns the storage usage of this store.
func (p *peerService) Status(ctx context.Context, _ *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	return handlePeer(ctx, func() (*pb.StatusResponse, error) { return p.node.LocalStatus(), nil })
}
