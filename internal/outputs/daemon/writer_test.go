package daemon

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/client"
	pb "reedtrack/internal/outputs/outputsv1"
	"reedtrack/internal/outputs/outputsv1/outputsv1connect"
)

// requestTimeout limits requests of writers and readers.
const requestTimeout = 10 * time.Second

// testWriter writes one attempt and keeps the acknowledged records.
type testWriter struct {
	cluster   *testCluster
	attempt   *pb.Attempt
	secret    []byte
	token     string
	acked     []*pb.Record
	sealed    bool
	minCopies uint32 // lowest number of copies with which an append was acknowledged
}

// newWriter returns a writer whose secret is a repeated letter.
func (c *testCluster) newWriter(task uint32, attempt uint64, letter string) *testWriter {
	secret := []byte(strings.Repeat(letter, 16))
	return &testWriter{
		cluster: c,
		secret:  secret,
		attempt: &pb.Attempt{Job: testJob, Task: task, Try: attempt, Team: "red", Machine: "host-1", Stint: 1, Run: outputs.RunFromSecret(secret)},
	}
}

func (w *testWriter) client(d *Daemon) outputsv1connect.WriterServiceClient {
	return outputsv1connect.NewWriterServiceClient(http.DefaultClient, d.URL, connect.WithInterceptors(client.BearerToken(w.token)))
}

func (w *testWriter) key() []byte { return outputs.Key(w.attempt) }

// record returns the record with a sequence number; its content is deterministic.
func (w *testWriter) record(seq uint64) *pb.Record {
	stream := pb.Stream_STREAM_STDOUT
	if seq%3 == 2 {
		stream = pb.Stream_STREAM_STDERR
	}
	return &pb.Record{
		Seq:    seq,
		AtNs:   int64(seq+1) * 1e9,
		Stream: stream,
		Data:   fmt.Appendf(nil, "task %d try %d %x line %d\n", w.attempt.Task, w.attempt.Try, w.attempt.Run[:2], seq),
	}
}

// append sends the next n records to a store.
func (w *testWriter) append(d *Daemon, n int) error {
	var records []*pb.Record
	for i := range n {
		records = append(records, w.record(uint64(len(w.acked)+i)))
	}
	response, err := w.appendRecords(d, records)
	if err != nil {
		return err
	}
	if copies := response.Msg.Copies; w.minCopies == 0 || copies < w.minCopies {
		w.minCopies = copies
	}
	return nil
}

// appendRandom sends a record of incompressible random bytes.
func (w *testWriter) appendRandom(d *Daemon, randomByte func() byte) error {
	const size = 8 << 10
	record := w.record(uint64(len(w.acked)))
	record.Data = make([]byte, size)
	for i := range record.Data {
		record.Data[i] = randomByte()
	}
	_, err := w.appendRecords(d, []*pb.Record{record})
	return err
}

func (w *testWriter) appendRecords(d *Daemon, records []*pb.Record) (*connect.Response[pb.AppendResponse], error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	response, err := w.client(d).Append(ctx, connect.NewRequest(&pb.AppendRequest{
		Attempt: w.attempt,
		Secret:  w.secret,
		Block:   outputs.Pack(records, false),
		Meta:    &pb.Meta{JobClass: "c", BegunNs: 1},
	}))
	if err == nil {
		w.acked = append(w.acked, records...)
	}
	return response, err
}

// seal ends the attempt after its acknowledged records.
func (w *testWriter) seal(d *Daemon, exit int32) error {
	digest := outputs.NewDigest()
	for _, record := range w.acked {
		digest.Add(record)
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	_, err := w.client(d).Seal(ctx, connect.NewRequest(&pb.SealRequest{
		Attempt: w.attempt,
		Secret:  w.secret,
		Seal:    &pb.Seal{Records: uint64(len(w.acked)), EndedNs: 1, Exit: exit, Cause: "exit", Digest: digest.Sum()},
	}))
	if err == nil {
		w.sealed = true
	}
	return err
}

// read reads the whole attempt through a store and compares it with the acknowledged
// records. Records that were sent but not acknowledged may follow them.
func (w *testWriter) read(d *Daemon) error {
	stores, err := client.New([]string{d.URL}, w.token, "")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	var got []*pb.Record
	intact, hole := false, false
	err = stores.Read(ctx, &pb.ReadRequest{Attempt: w.attempt}, func(m *pb.ReadResponse) error {
		got = append(got, m.Records...)
		hole = hole || m.Hole != nil
		intact = intact || m.Intact
		return nil
	})
	if err != nil {
		return fmt.Errorf("%s: %w", outputs.FormatAttempt(w.attempt), err)
	}
	if len(got) < len(w.acked) || hole || w.sealed && !intact {
		return fmt.Errorf("%s: %d records of %d, hole %v, intact %v", outputs.FormatAttempt(w.attempt), len(got), len(w.acked), hole, intact)
	}
	for i, record := range got {
		if !isSameRecord(record, w.record(uint64(i))) {
			return fmt.Errorf("%s: record %d is %v", outputs.FormatAttempt(w.attempt), i, record)
		}
	}
	return nil
}

func isSameRecord(a, b *pb.Record) bool {
	return a.Seq == b.Seq && bytes.Equal(a.Data, b.Data) && a.Stream == b.Stream && a.AtNs == b.AtNs
}

// completeCopies returns the number of stores with a complete replica.
func (w *testWriter) completeCopies() int {
	n := 0
	for _, d := range w.cluster.stores {
		if held := d.Node.Store().Held(w.key()); held != nil && held.Complete {
			n++
		}
	}
	return n
}

// owners returns the names of the members that should hold the attempt.
func (w *testWriter) owners() []string {
	d := w.cluster.anyStore()
	view := d.Node.Membership().View()
	var names []string
	for _, i := range view.Replicas(outputs.Route(w.key()), d.Node.ReplicationFactor()) {
		names = append(names, view.Members[i].Name)
	}
	return names
}

// allHaveCopies reports whether each attempt has exactly the given number of complete
// replicas.
func allHaveCopies(writers []*testWriter, copies int) bool {
	return !slices.ContainsFunc(writers, func(w *testWriter) bool { return w.completeCopies() != copies })
}
