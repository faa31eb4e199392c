package capture

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel"
	"google.golang.org/protobuf/proto"

	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/client"
	pb "reedtrack/internal/outputs/outputsv1"
	"reedtrack/internal/outputs/outputsv1/outputsv1connect"
	"reedtrack/internal/outputs/spool"
)

var tracer = otel.Tracer("reedtrack/capture")

// callTimeout is the timeout of a request to one store, after which the next one is tried.
const callTimeout = 10 * time.Second

// shipper sends the contents of a spool to the stores. It is not safe for concurrent use.
type shipper struct {
	spool    *spool.Spool
	attempt  *AttemptInfo
	stores   *client.Client
	added    <-chan struct{}        // signalled when records are added to the spool; nil if none will be
	onLimits func(*pb.OpenResponse) // called with the limits of the stores; may be nil

	acked            uint64          // all records before this number are acknowledged
	digest           *outputs.Digest // of the acknowledged records
	missing          *pb.Gap         // sum of the gaps among the acknowledged records
	digestIncomplete bool            // digest does not cover all acknowledged records
	savedAt          time.Time       // when the progress was last written
	maxArtefactBytes uint64          // limit of the stores; 0: no limit
}

// newShipper returns a shipper that resumes from the progress saved in the spool.
func newShipper(sp *spool.Spool, attempt *AttemptInfo, stores *client.Client) (*shipper, error) {
	s := &shipper{spool: sp, attempt: attempt, stores: stores, digest: outputs.NewDigest(), missing: new(pb.Gap)}
	if err := s.loadProgress(); err != nil {
		return nil, err
	}
	if first, ok := sp.First(); ok && first > s.acked {
		// More records were acknowledged and removed from the spool than the saved
		// progress covers.
		s.acked, s.digestIncomplete = first, true
	}
	return s, nil
}

func (s *shipper) loadProgress() error {
	var p progress
	err := readJSON(filepath.Join(s.spool.Dir(), progressFile), &p)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		// Ship everything again: the stores ignore records that they already have.
		slog.Warn("shipping progress not read", "spool", s.spool.Dir(), "err", err)
		return nil
	}
	s.acked, s.digestIncomplete = p.Seq, p.DigestIncomplete
	if s.digest, err = outputs.ResumeDigest(p.Digest); err != nil {
		return fmt.Errorf("%s: %w", progressFile, err)
	}
	if err := proto.Unmarshal(p.Missing, s.missing); err != nil {
		return fmt.Errorf("%s: %w", progressFile, err)
	}
	return nil
}

// saveProgress saves the progress, and then frees the acknowledged records in the spool.
func (s *shipper) saveProgress() error {
	s.savedAt = time.Now()
	missing, _ := proto.Marshal(s.missing)
	p := progress{Seq: s.acked, Digest: s.digest.State(), Missing: missing, DigestIncomplete: s.digestIncomplete}
	if err := writeJSON(filepath.Join(s.spool.Dir(), progressFile), p); err != nil {
		return err
	}
	return s.spool.Ack(s.acked)
}

// writerMethod is a method of the writer service, such as Append.
type writerMethod[Q, A any] func(outputsv1connect.WriterServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error)

// call sends a request, with retries, until a store returns a final answer.
func call[Q, A any](ctx context.Context, s *shipper, request *Q, method writerMethod[Q, A]) (*A, error) {
	var answer *A
	err := s.stores.Retry(ctx, func(ctx context.Context, addr string) error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		r, err := method(s.stores.Writer(addr), ctx, connect.NewRequest(request))
		if err == nil {
			answer = r.Msg
		}
		return err
	})
	return answer, err
}

// openAndShip opens the attempt and calls shipRecords.
func (s *shipper) openAndShip(ctx context.Context, ended <-chan struct{}) error {
	if err := s.open(ctx); err != nil {
		return err
	}
	return s.shipRecords(ctx, ended)
}

// open announces the attempt to the stores. The response has their limits and the
// addresses of the preferred stores.
func (s *shipper) open(ctx context.Context) error {
	request := &pb.OpenRequest{Attempt: s.attempt.attempt(), Secret: s.attempt.Secret, Meta: s.attempt.meta()}
	answer, err := call(ctx, s, request, outputsv1connect.WriterServiceClient.Open)
	if err != nil {
		return err
	}
	s.stores.PreferAddresses(answer.Addresses)
	s.maxArtefactBytes = answer.ArtefactBytes
	if s.onLimits != nil {
		s.onLimits(answer)
	}
	return nil
}
