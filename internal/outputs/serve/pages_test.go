package serve_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/daemon"
	pb "reedtrack/internal/outputs/outputsv1"
	"reedtrack/internal/outputs/outputsv1/outputsv1connect"
	"reedtrack/internal/outputs/serve"
	"reedtrack/internal/outputs/settings"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

func startDaemon(t *testing.T, b serve.ConcurrencyLimits) *daemon.Daemon {
	t.Helper()
	set := settings.Defaults()
	set.Copies, set.ReserveBytes = 1, 1<<20
	d, err := daemon.Start(daemon.Config{Name: "s0", Zone: "a", Listen: "127.0.0.1:0", Dir: t.TempDir(), Settings: set, ConcurrencyLimits: b})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	return d
}

var secret = []byte("0123456789abcdef")

// writeAttempt stores a failed attempt with escape sequences and HTML in its log, its
// machine name and the path of its artefact.
func writeAttempt(t *testing.T, d *daemon.Daemon, task uint32) *pb.Attempt {
	t.Helper()
	ctx := context.Background()
	c := outputsv1connect.NewWriterServiceClient(http.DefaultClient, d.URL)
	a := &pb.Attempt{Job: "wk-000008", Task: task, Try: 1, Team: "red", Machine: "<script>alert(1)", Stint: 1, Run: outputs.RunFromSecret(secret)}
	list := []*pb.Record{{Seq: 0, AtNs: 1, Stream: 1, Data: []byte("<b>\x1b]0;owned\x07</b>\n")}, {Seq: 1, AtNs: 2, Stream: 2, Data: []byte("last\n")}}
	digest := outputs.NewDigest()
	for _, r := range list {
		digest.Add(r)
	}
	data := bytes.Repeat([]byte("0123456789"), 200000)
	var chunks [][]byte
	for at := 0; at < len(data); at += outputs.ChunkSize {
		chunk := outputs.PackChunk(data[at:min(len(data), at+outputs.ChunkSize)])
		chunks = append(chunks, chunk.Sha256)
		if _, err := c.PutChunk(ctx, connect.NewRequest(&pb.PutChunkRequest{Attempt: a, Secret: secret, Chunk: chunk})); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.Append(ctx, connect.NewRequest(&pb.AppendRequest{Attempt: a, Secret: secret, Block: outputs.Pack(list, false)})); err != nil {
		t.Fatal(err)
	}
	f := &pb.Artefact{Path: outputs.EscapePath("out/<i>\x1b?#&\n"), Size: uint64(len(data)), Sha256: make([]byte, 32), Chunks: chunks, ChunkSize: outputs.ChunkSize}
	if _, err := c.Seal(ctx, connect.NewRequest(&pb.SealRequest{Attempt: a, Secret: secret, Seal: &pb.Seal{Records: 2, Exit: 1, Cause: "exit", Digest: digest.Sum(), Artefacts: []*pb.Artefact{f}}})); err != nil {
		t.Fatal(err)
	}
	return a
}

func httpGet(t *testing.T, url string, header ...string) (int, string, http.Header) {
	t.Helper()
	r, _ := http.NewRequest("GET", url, nil)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), resp.Header
}

// Pages escape logs and names, links to artefacts work, ranges of artefacts are
// supported, and errors are plain text.
func TestPagesEscapeAndLink(t *testing.T) {
	d := startDaemon(t, serve.ConcurrencyLimits{})
	writeAttempt(t, d, 3)
	if code, text, _ := httpGet(t, d.URL+"/jobs/wk-000008/3/log"); code != 200 || text != "<b>\\x1b]0;owned\\x07</b>\nlast\n" {
		t.Errorf("%d %q", code, text)
	}
	if _, text, h := httpGet(t, d.URL+"/jobs/wk-000008/3/log?raw=1&stream=stdout"); text != "<b>\x1b]0;owned\x07</b>\n" || h.Get("Content-Type") != "application/octet-stream" || h.Get("X-Content-Type-Options") != "nosniff" {
		t.Errorf("%q", text)
	}
	if _, text, _ := httpGet(t, d.URL+"/jobs/wk-000008/3/log?tail=1"); text != "last\n" {
		t.Errorf("%q", text)
	}
	code, page, _ := httpGet(t, d.URL+"/jobs/wk-000008?which=failed")
	if code != 200 || strings.Contains(page, "<script>") || !strings.Contains(page, "&lt;script&gt;alert(1)") {
		t.Errorf("%d %s", code, page)
	}
	_, page, _ = httpGet(t, d.URL+"/jobs/wk-000008/3/artefacts")
	i := strings.Index(page, `href="/jobs/wk-000008/3/artefacts/`)
	if i < 0 || strings.Contains(page, "<i>") {
		t.Fatal(page)
	}
	link := page[i+len(`href="`):]
	link = strings.ReplaceAll(link[:strings.Index(link, `"`)], "&amp;", "&")
	code, file, h := httpGet(t, d.URL+link)
	if code != 200 || len(file) != 2000000 || !strings.HasPrefix(h.Get("Content-Disposition"), "attachment") {
		t.Errorf("%s: %d, %d bytes, %v", link, code, len(file), h)
	}
	code, rest, h := httpGet(t, d.URL+link, "Range", "bytes=1999990-")
	if code != 206 || rest != "0123456789" || h.Get("Content-Range") != "bytes 1999990-1999999/2000000" {
		t.Errorf("%d %q %v", code, rest, h)
	}
	if _, text, _ := httpGet(t, d.URL+"/jobs/wk-000008?json=1&limit=1"); !strings.Contains(strings.ReplaceAll(text, " ", ""), `"exit":1,`) {
		t.Error(text)
	}
	for path, want := range map[string]int{
		"/jobs/wk-x":                                         400,
		"/jobs/wk-000008?which=some":                         400,
		"/jobs/wk-000008/x/log":                              400,
		"/jobs/wk-000008/4/log":                              404,
		"/jobs/wk-000008/3/log?tail=-1":                      400,
		"/jobs/wk-000008/3/log?stream=both":                  400,
		"/jobs/wk-000008/3/artefacts/..%2f..%2fetc%2fpasswd": 404,
		"/jobs/wk-000008/3/artefacts/none":                   404,
		"/nothing":                                           404,
		"/jobs/wk-000008?after=zz":                           400,
	} {
		t.Run(path, func(t *testing.T) {
			code, text, h := httpGet(t, d.URL+path)
			if code != want || !strings.HasPrefix(h.Get("Content-Type"), "text/plain") {
				t.Errorf("status %d (want %d), %q", code, want, text)
			}
		})
	}
}

// A read beyond the concurrency limit is refused immediately with Retry-After. The
// pages of a job array's listing contain each attempt once.
func TestConcurrencyLimitsAndPaging(t *testing.T) {
	d := startDaemon(t, serve.ConcurrencyLimits{Writes: 64, Reads: 1, Follows: 1, Connections: 100})
	a := writeAttempt(t, d, 0)
	c := outputsv1connect.NewReaderServiceClient(http.DefaultClient, d.URL)
	writer := outputsv1connect.NewWriterServiceClient(http.DefaultClient, d.URL)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	open := &pb.Attempt{Job: "wk-000008", Task: 1, Try: 1, Team: "red", Machine: "m", Stint: 1, Run: outputs.RunFromSecret(secret)}
	if _, err := writer.Open(ctx, connect.NewRequest(&pb.OpenRequest{Attempt: open, Secret: secret, Meta: &pb.Meta{}})); err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Append(ctx, connect.NewRequest(&pb.AppendRequest{Attempt: open, Secret: secret, Block: outputs.Pack([]*pb.Record{{Stream: 1, Data: []byte("x")}}, false)})); err != nil {
		t.Fatal(err)
	}
	stream, err := c.Read(ctx, connect.NewRequest(&pb.ReadRequest{Attempt: open, Follow: true}))
	if err != nil || !stream.Receive() {
		t.Fatal(err, stream.Err())
	}
	secondStream, err := c.Read(ctx, connect.NewRequest(&pb.ReadRequest{Attempt: open, Follow: true}))
	if err == nil {
		secondStream.Receive()
		err = secondStream.Err()
	}
	connectErr, _ := err.(*connect.Error)
	if connectErr == nil || connectErr.Code() != connect.CodeUnavailable || connectErr.Meta().Get("Retry-After") != "1" {
		t.Errorf("a second read with Follow: %v", err)
	}
	if code, _, _ := httpGet(t, d.URL+"/jobs/wk-000008/0/log"); code != 200 {
		t.Errorf("a read during a follow: %d", code)
	}
	cancel()
	var entries []*pb.Entry
	for task := range uint32(2500) {
		b := &pb.Attempt{Job: "wk-000009", Task: task, Try: 1, Team: "red", Machine: "m", Stint: 1, Run: a.Run}
		entries = append(entries, &pb.Entry{Key: outputs.Key(b), What: &pb.Entry_Seal{Seal: &pb.Seal{Exit: int32(task % 7 / 6), Cause: "exit", Digest: make([]byte, 32)}}})
	}
	if err := d.Node.Store().Put(context.Background(), entries...); err != nil {
		t.Fatal(err)
	}
	for which, want := range map[pb.Which]int{pb.Which_WHICH_ALL: 2500, pb.Which_WHICH_FAILED: 357, pb.Which_WHICH_OPEN: 0} {
		q, next := &pb.ListRequest{Job: "wk-000009", Which: which, Limit: 300}, uint32(0)
		n := 0
		for {
			r, err := c.List(context.Background(), connect.NewRequest(q))
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range r.Msg.Attempts {
				if n > 0 && s.Attempt.Task <= next {
					t.Fatalf("task %d after %d", s.Attempt.Task, next)
				}
				next = s.Attempt.Task
				n++
			}
			if q.After = r.Msg.Next; len(q.After) == 0 {
				break
			}
		}
		if n != want {
			t.Errorf("%v: %d, not %d", which, n, want)
		}
	}
}
