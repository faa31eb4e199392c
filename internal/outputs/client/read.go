package client

import (
	"bytes"
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
	"reedtrack/internal/outputs/outputsv1/outputsv1connect"
)

// followTimeout effectively disables the idle timeout, because a followed task may
// write nothing for days.
const followTimeout = 365 * 24 * time.Hour

// outputReader reads one attempt, over several streams if connections break.
type outputReader struct {
	client  *Client
	request *pb.ReadRequest // From advances with each message
	handle  func(*pb.ReadResponse) error

	readsAll bool // the request selects all records, so the digest can be verified
	digest   *outputs.Digest
	hasHole  bool

	progressed bool // the current stream has received a message
	ended      bool // the current stream has received the last message
}

// Read reads an attempt's output and calls handle for each message. It stops at an
// error of handle. After a lost connection it resumes at the next record, from the
// same store or another one.
func (c *Client) Read(ctx context.Context, request *pb.ReadRequest, handle func(*pb.ReadResponse) error) error {
	reader := &outputReader{
		client:   c,
		request:  proto.CloneOf(request),
		handle:   handle,
		readsAll: request.From == 0 && request.TailLines == 0 && request.SinceNs == 0 && len(request.Streams) == 0,
		digest:   outputs.NewDigest(),
	}
	timeout := idleTimeout
	if request.Follow {
		timeout = followTimeout
	}
	for {
		reader.progressed, reader.ended = false, false
		handleErr, err := receiveStream(ctx, c, timeout, reader.open, reader.receive)
		if handleErr != nil {
			return handleErr
		}
		// Without Follow, a stream of an open attempt ends without a last message.
		if err == nil || reader.ended && ctx.Err() == nil {
			return nil
		}
		if !reader.progressed || ctx.Err() != nil || IsPermanent(err) {
			return err
		}
	}
}

func (r *outputReader) open(ctx context.Context, store outputsv1connect.ReaderServiceClient) (*connect.ServerStreamForClient[pb.ReadResponse], error) {
	return store.Read(ctx, connect.NewRequest(r.request))
}

func (r *outputReader) receive(ctx context.Context, message *pb.ReadResponse) error {
	r.progressed = true
	for _, record := range message.Records {
		r.digest.Add(record)
	}
	r.hasHole = r.hasHole || message.Hole != nil
	if message.End && !message.Intact && r.readsAll && !r.hasHole {
		// After a resumed read, the last store has sent only some of the records and
		// can't verify the digest, so compare that of all records with the seal.
		message.Intact = r.matchesSeal(ctx)
	}
	if err := r.handle(message); err != nil {
		return err
	}
	r.request.From, r.request.TailLines = message.Next, 0
	r.ended = r.ended || message.End
	return nil
}

// matchesSeal reports whether the digest of the records read so far equals the one in
// the attempt's seal.
func (r *outputReader) matchesSeal(ctx context.Context) bool {
	description, err := r.client.Describe(ctx, r.request.Attempt)
	return err == nil && description.Seal != nil && bytes.Equal(description.Seal.Digest, r.digest.Sum())
}
