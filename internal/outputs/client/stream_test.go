package client

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"connectrpc.com/connect"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
	"reedtrack/internal/outputs/outputsv1/outputsv1connect"
)

var errCutOff = connect.NewError(connect.CodeUnavailable, errors.New("connection cut off"))

// fakeStore serves one file and the records of one attempt. Its first streams, whose
// number is breaks, fail after one message.
type fakeStore struct {
	outputsv1connect.UnimplementedReaderServiceHandler
	content []byte
	records []*pb.Record
	breaks  int
	offsets []uint64 // start positions of the requests received
}

func (f *fakeStore) isBroken() bool {
	f.breaks--
	return f.breaks >= 0
}

func (f *fakeStore) Fetch(_ context.Context, request *connect.Request[pb.FetchRequest], stream *connect.ServerStream[pb.FetchResponse]) error {
	offset := request.Msg.Offset
	f.offsets = append(f.offsets, offset)
	if offset > uint64(len(f.content)) {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("beyond the end"))
	}
	sum := sha256.Sum256(f.content)
	artefact := &pb.Artefact{Path: request.Msg.Path, Size: uint64(len(f.content)), Sha256: sum[:], Mode: 0o777}
	for i := offset; i < uint64(len(f.content)); i++ {
		if err := stream.Send(&pb.FetchResponse{Artefact: artefact, Data: f.content[i : i+1]}); err != nil {
			return err
		}
		if f.isBroken() {
			return errCutOff
		}
	}
	return stream.Send(&pb.FetchResponse{Artefact: artefact})
}

func (f *fakeStore) Read(_ context.Context, request *connect.Request[pb.ReadRequest], stream *connect.ServerStream[pb.ReadResponse]) error {
	f.offsets = append(f.offsets, request.Msg.From)
	for i := request.Msg.From; i < uint64(len(f.records)); i++ {
		isLast := i+1 == uint64(len(f.records))
		message := &pb.ReadResponse{Records: f.records[i : i+1], Next: i + 1, End: isLast, Intact: isLast && request.Msg.From == 0}
		if err := stream.Send(message); err != nil {
			return err
		}
		if f.isBroken() {
			return errCutOff
		}
	}
	return nil
}

func (f *fakeStore) Describe(context.Context, *connect.Request[pb.DescribeRequest]) (*connect.Response[pb.DescribeResponse], error) {
	digest := outputs.NewDigest()
	for _, record := range f.records {
		digest.Add(record)
	}
	return connect.NewResponse(&pb.DescribeResponse{Seal: &pb.Seal{Digest: digest.Sum()}}), nil
}

// startFakeStore starts a server for the store and returns a client of it.
func startFakeStore(t *testing.T, store *fakeStore) *Client {
	t.Helper()
	_, handler := outputsv1connect.NewReaderServiceHandler(store)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return newTestClient(t, "", server.URL)
}

func TestFetchResumes(t *testing.T) {
	tests := []struct {
		name    string
		partial string // left by an earlier fetch
		breaks  int
		offsets []uint64
	}{
		{name: "from nothing", offsets: []uint64{0}},
		{name: "after a broken connection", breaks: 1, offsets: []uint64{0, 1}},
		{name: "with a part of the file", partial: "con", offsets: []uint64{3}},
		{name: "with a part of another file", partial: "xyz", offsets: []uint64{3, 0}},
		{name: "with more than the file", partial: "content and more", offsets: []uint64{16, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := &fakeStore{content: []byte("content"), breaks: test.breaks}
			c := startFakeStore(t, store)
			file := filepath.Join(t.TempDir(), "file")
			if test.partial != "" {
				if err := os.WriteFile(file+partSuffix, []byte(test.partial), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			var fetched, size uint64
			err := c.Fetch(t.Context(), &pb.Attempt{}, "f", file, func(have, all uint64) { fetched, size = have, all })
			if err != nil || fetched != 7 || size != 7 {
				t.Fatalf("progress %d of %d, want 7 of 7; error %v", fetched, size, err)
			}
			if raw, err := os.ReadFile(file); err != nil || string(raw) != "content" {
				t.Errorf("file holds %q, error %v", raw, err)
			}
			if info, err := os.Stat(file); err != nil || info.Mode().Perm() != 0o755 {
				t.Errorf("file %v, want mode 755; error %v", info, err)
			}
			if _, err := os.Stat(file + partSuffix); !errors.Is(err, os.ErrNotExist) {
				t.Errorf("the partial file is left: %v", err)
			}
			if !slices.Equal(store.offsets, test.offsets) {
				t.Errorf("requested offsets %v, want %v", store.offsets, test.offsets)
			}
		})
	}
}

// failingWriter fails every write, as a full disk does.
type failingWriter struct{ err error }

func (w failingWriter) Write([]byte) (int, error) { return 0, w.err }

func TestFetchToReturnsWriteError(t *testing.T) {
	store := &fakeStore{content: []byte("content")}
	c := startFakeStore(t, store)
	errFull := errors.New("disk full")
	err := c.FetchTo(t.Context(), &pb.Attempt{}, "f", failingWriter{errFull}, nil)
	if !errors.Is(err, errFull) || len(store.offsets) != 1 {
		t.Errorf("error %v, want that of the writer; requested offsets %v, want one", err, store.offsets)
	}
}

func newRecords(lines ...string) []*pb.Record {
	var records []*pb.Record
	for i, line := range lines {
		records = append(records, &pb.Record{Seq: uint64(i), Stream: pb.Stream_STREAM_STDOUT, Data: []byte(line)})
	}
	return records
}

// A read over two streams is intact if the records of both together match the seal.
func TestReadResumesAndChecksSeal(t *testing.T) {
	store := &fakeStore{records: newRecords("a", "b", "c"), breaks: 1}
	c := startFakeStore(t, store)
	var text []byte
	intact := false
	err := c.Read(t.Context(), &pb.ReadRequest{Attempt: &pb.Attempt{}}, func(m *pb.ReadResponse) error {
		for _, record := range m.Records {
			text = append(text, record.Data...)
		}
		intact = m.Intact
		return nil
	})
	if err != nil || string(text) != "abc" || !intact {
		t.Errorf("read %q, intact %v, error %v", text, intact, err)
	}
	if !slices.Equal(store.offsets, []uint64{0, 1}) {
		t.Errorf("requested offsets %v, want 0 and 1", store.offsets)
	}
}

func TestReadReturnsErrorOfHandler(t *testing.T) {
	store := &fakeStore{records: newRecords("a", "b")}
	c := startFakeStore(t, store)
	errStop := errors.New("enough")
	calls := 0
	err := c.Read(t.Context(), &pb.ReadRequest{Attempt: &pb.Attempt{}}, func(*pb.ReadResponse) error { calls++; return errStop })
	if err != errStop || calls != 1 {
		t.Errorf("%d calls, want 1; error %v", calls, err)
	}
}
