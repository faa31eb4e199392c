package capture_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"reedtrack/internal/outputs/capture"
	"reedtrack/internal/outputs/client"
	"reedtrack/internal/outputs/daemon"
	pb "reedtrack/internal/outputs/outputsv1"
	"reedtrack/internal/outputs/settings"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// testStore is a store that can be stopped and restarted at the same address.
type testStore struct {
	t        *testing.T
	addr     string
	dir      string
	settings settings.Outputs
	daemon   *daemon.Daemon
}

func newTestStore(t *testing.T) *testStore {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	store := &testStore{t: t, addr: ln.Addr().String(), dir: t.TempDir(), settings: settings.Defaults()}
	ln.Close()
	store.settings.Copies, store.settings.ReserveBytes = 1, 1<<20
	t.Cleanup(store.stop)
	return store
}

func (store *testStore) start() {
	store.t.Helper()
	d, err := daemon.Start(daemon.Config{Name: "s0", Zone: "a", Listen: store.addr, Dir: store.dir, Settings: store.settings})
	if err != nil {
		store.t.Fatal(err)
	}
	store.daemon = d
}

func (store *testStore) stop() {
	if store.daemon != nil {
		store.daemon.Close()
		store.daemon = nil
	}
}

func (store *testStore) stores() *client.Client {
	store.t.Helper()
	s, err := client.New([]string{store.addr}, "", "")
	if err != nil {
		store.t.Fatal(err)
	}
	return s
}

func (store *testStore) config(spool string, command ...string) capture.Config {
	return capture.Config{Attempt: capture.AttemptInfo{Job: "wk-000005", Task: 1, Try: 3, Team: "red", Class: "c", Machine: "host-1", Stint: 1, Dir: store.t.TempDir()},
		Stores: store.stores(), Spool: spool, SpoolBytes: 64 << 20, ArtefactBytes: 10 << 20, DrainTimeout: 20 * time.Second, PipeTimeout: time.Second, Command: command}
}

// attempts lists the attempts that the store has.
func (store *testStore) attempts() []*pb.Summary {
	store.t.Helper()
	out, err := store.stores().List(context.Background(), &pb.ListRequest{Job: "wk-000005", Limit: 1000})
	if err != nil {
		store.t.Fatal(err)
	}
	return out.Attempts
}

func (store *testStore) read(a *pb.Attempt) (text string, gaps []*pb.Gap, intact bool) {
	store.t.Helper()
	var b bytes.Buffer
	err := store.stores().Read(context.Background(), &pb.ReadRequest{Attempt: a}, func(m *pb.ReadResponse) error {
		for _, r := range m.Records {
			if r.Stream != pb.Stream_STREAM_GAP {
				b.Write(r.Data)
				continue
			}
			g := new(pb.Gap)
			if err := proto.Unmarshal(r.Data, g); err != nil {
				return err
			}
			fmt.Fprintf(&b, "<gap %d %d>", g.StdoutLines, g.StdoutBytes)
			gaps = append(gaps, g)
		}
		intact = intact || m.Intact
		return nil
	})
	if err != nil {
		store.t.Fatal(err)
	}
	return b.String(), gaps, intact
}

// If a task exceeds its limits and then crashes, the beginning and the end of its output
// are kept, and the gap records state exactly how much is missing.
func TestFastTaskKeepsBeginningAndEnd(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits capture.Limits
	}{
		{"size", capture.Limits{Bytes: 2 << 20}},
		{"rate", capture.Limits{BytesPerSecond: 1 << 20}},
		{"size and rate with delay", capture.Limits{Bytes: 3 << 20, BytesPerSecond: 2 << 20, MaxDelay: 200 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) { testFastTask(t, c.limits) })
	}
}

func testFastTask(t *testing.T, limits capture.Limits) {
	const lines, lineBytes = 3000000, len("line 000000000001\n")
	store := newTestStore(t)
	store.settings.AttemptBytes, store.settings.AttemptRate = 0, 0
	store.start()
	c := store.config(t.TempDir(), "sh", "-c", "seq -f 'line %012.0f' 1 3000000; echo last words >&2; kill -SEGV $$")
	c.Limits = limits
	status, err := capture.Run(context.Background(), c)
	if err != nil || status.Signal != syscall.SIGSEGV || status.Exit != 128+11 {
		t.Fatalf("%+v, %v", status, err)
	}
	a := store.attempts()[0]
	if a.Exit != 139 || a.Signal != "SIGSEGV" || !a.Sealed {
		t.Errorf("listed as %v, want sealed with exit 139 by SIGSEGV", a)
	}
	text, gaps, intact := store.read(a.Attempt)
	if len(gaps) == 0 || !intact {
		t.Fatalf("%d gaps, intact %v; want gaps in an intact output", len(gaps), intact)
	}
	missingBytes, missingLines := 0, 0
	for _, g := range gaps {
		missingBytes += int(g.StdoutBytes)
		missingLines += int(g.StdoutLines)
	}
	rest := withoutGaps(text)
	kept := len(rest) - len("last words\n")
	if kept+missingBytes != lines*lineBytes || strings.Count(rest, "\n")-1+missingLines != lines {
		t.Errorf("%d bytes kept and %d reported missing, want %d in total", kept, missingBytes, lines*lineBytes)
	}
	if !strings.HasPrefix(text, "line 000000000001\nline 000000000002\n") || !strings.Contains(text, "line 000003000000\n") || !strings.Contains(text, "last words\n") {
		t.Error("the beginning or the end of the output is missing")
	}
	if limits.Bytes > 0 && uint64(kept) > limits.Bytes+64<<10 {
		t.Errorf("%d bytes kept, limit %d", kept, limits.Bytes)
	}
}

// withoutGaps removes the gap markers from a text returned by testStore.read.
func withoutGaps(text string) string {
	for strings.Contains(text, "<gap") {
		i, j := strings.Index(text, "<gap"), strings.Index(text, ">")
		text = text[:i] + text[j+1:]
	}
	return text
}

// A task runs to its end while the store is unavailable; Recover later ships its spool
// with the exit status that was observed.
func TestOutputIsRecoveredAfterStoreOutage(t *testing.T) {
	store := newTestStore(t)
	spool := t.TempDir()
	c := store.config(spool, "sh", "-c", "echo one; echo two >&2; echo kept > f.txt; exit 7")
	c.Attempt.Keep = []string{"*.txt"}
	c.DrainTimeout = 200 * time.Millisecond
	start := time.Now()
	st, err := capture.Run(context.Background(), c)
	if st.Exit != 7 || err == nil || !strings.Contains(err.Error(), "--recover") {
		t.Fatalf("%+v, %v", st, err)
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("Run took %v with the store unavailable, want at most 5s", took)
	}
	store.start()
	reported := 0
	err = capture.Recover(context.Background(), spool, func(*capture.AttemptInfo) (*client.Client, error) { return store.stores(), nil }, 64<<20, 1<<20, func(string, error) { reported++ })
	if err != nil || reported != 1 {
		t.Fatalf("%d spools reported, want 1; error %v", reported, err)
	}
	a := store.attempts()[0]
	text, _, intact := store.read(a.Attempt)
	if len(text) != 8 || !intact || a.Exit != 7 || a.Cause != "exit" || a.Artefacts != 1 {
		t.Errorf("%q, intact %v, %v", text, intact, a)
	}
	if left, _ := os.ReadDir(spool); len(left) != 0 {
		t.Errorf("the spool directory still contains %v", left)
	}
}

// The outputs of two attempts, and of two writers of the same attempt, are stored
// separately, even if the store restarts while a task writes.
func TestAttemptsAreStoredSeparately(t *testing.T) {
	store := newTestStore(t)
	store.start()
	spool := t.TempDir()
	back := make(chan struct{})
	go func() {
		defer close(back)
		time.Sleep(300 * time.Millisecond)
		store.stop()
		time.Sleep(300 * time.Millisecond)
		store.start()
	}()
	run := func(try uint64, machine, script string) {
		c := store.config(spool, "sh", "-c", script)
		c.Attempt.Try, c.Attempt.Machine = try, machine
		if _, err := capture.Run(context.Background(), c); err != nil {
			t.Fatal(err)
		}
	}
	run(3, "host-1", "for i in 1 2 3 4 5 6 7 8 9 10; do echo first $i; sleep 0.1; done; exit 1")
	<-back
	run(4, "host-2", "echo second")
	run(3, "host-1", "echo first again") // a second writer of the same attempt
	list := store.attempts()
	if len(list) != 3 {
		t.Fatalf("%d attempts, want 3", len(list))
	}
	texts := map[string]bool{}
	for _, a := range list {
		text, _, intact := store.read(a.Attempt)
		if !intact {
			t.Errorf("%v is not intact", a.Attempt)
		}
		texts[text] = true
	}
	want := ""
	for i := range 10 {
		want += fmt.Sprintf("first %d\n", i+1)
	}
	if !texts[want] || !texts["second\n"] || !texts["first again\n"] {
		t.Errorf("outputs are %v", texts)
	}
}

// Artefacts are deduplicated by content, and nothing outside the task's directory is
// read, even through symbolic links. Files that are not kept are listed with the reason.
func TestArtefactsAreCollectedWithinTaskDirectory(t *testing.T) {
	store := newTestStore(t)
	store.start()
	c := store.config(t.TempDir(), "sh", "-c", `mkdir -p out/deep; head -c 3000000 /dev/urandom > out/big; cp out/big out/deep/same; printf x > "out/bad
name"; ln -s /etc/passwd out/link; ln -s .. out/up; ln -s big out/inside; mkfifo out/pipe; head -c 12000000 /dev/zero > out/toobig`)
	secret := filepath.Join(filepath.Dir(c.Attempt.Dir), "secret")
	os.WriteFile(secret, []byte("not the task's"), 0o600)
	c.Attempt.Keep = []string{"out/**", "none.txt"}
	if _, err := capture.Run(context.Background(), c); err != nil {
		t.Fatal(err)
	}
	a := store.attempts()[0].Attempt
	d, err := store.stores().Describe(context.Background(), a)
	if err != nil {
		t.Fatal(err)
	}
	kept, left := map[string]*pb.Artefact{}, map[string]string{}
	for _, f := range d.Seal.Artefacts {
		kept[f.Path] = f
	}
	for _, r := range d.Seal.Refused {
		left[r.Path] = r.Reason
	}
	if len(kept) != 4 || kept["out/big"].GetSize() != 3000000 || kept["out/inside"].GetSize() != 3000000 || kept[`out/bad\x0aname`] == nil {
		t.Errorf("kept %v", kept)
	}
	for name, why := range map[string]string{"out/link": "escapes", "out/pipe": "regular", "out/toobig": "too large", "none.txt": "nothing of this name"} {
		if !strings.Contains(left[name], why) {
			t.Errorf("%s: %q, want %q", name, left[name], why)
		}
	}
	if st := store.daemon.Node.Store().Stats(); st.DiskBytes > 4<<20 {
		t.Errorf("%d bytes on disk for one content of 3 MB in three files", st.DiskBytes)
	}
	// An interrupted fetch resumes from the partial file.
	to := filepath.Join(t.TempDir(), "big")
	if err := store.stores().Fetch(context.Background(), a, "out/big", to, nil); err != nil {
		t.Fatal(err)
	}
	whole, _ := os.ReadFile(to)
	os.WriteFile(to+".part", whole[:1234567], 0o600)
	sent := uint64(0)
	if err := store.stores().Fetch(context.Background(), a, "out/big", to, func(have, all uint64) {
		if sent == 0 {
			sent = have
		}
	}); err != nil || sent < 1234567 {
		t.Fatalf("resumed from %d, want at least 1234567; error %v", sent, err)
	}
	if again, _ := os.ReadFile(to); !bytes.Equal(again, whole) {
		t.Error("the resumed fetch returned different content")
	}
	// A partial file with other content is fetched again from the start.
	os.WriteFile(to+".part", bytes.Repeat([]byte("?"), 2000000), 0o600)
	if err := store.stores().Fetch(context.Background(), a, "out/big", to, nil); err != nil {
		t.Fatal(err)
	}
	if again, _ := os.ReadFile(to); !bytes.Equal(again, whole) {
		t.Error("the fetch over a mismatched partial file returned different content")
	}
	for _, name := range []string{"../secret", "out/../../secret", "/etc/passwd", "out/link"} {
		if err := store.stores().FetchTo(context.Background(), a, name, io.Discard, nil); err == nil {
			t.Errorf("%s was fetched", name)
		}
	}
	for _, pattern := range []string{"../x", "/etc/*", "a/../../b", "", "[", "out/../../*"} {
		if capture.CheckPattern(pattern) == nil {
			t.Errorf("invalid pattern %q was accepted", pattern)
		}
	}
}

// A following reader gets each line while the task is running, and resumes after its
// connection is lost. Reads since a time and of the last lines return just those records.
func TestFollowReadsRunningTask(t *testing.T) {
	store := newTestStore(t)
	store.start()
	c := store.config(t.TempDir(), "sh", "-c", "for i in 1 2 3 4 5; do echo $i; sleep 0.2; done")
	done := make(chan error, 1)
	go func() { _, err := capture.Run(context.Background(), c); done <- err }()
	var a *pb.Summary
	for end := time.Now().Add(5 * time.Second); a == nil && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if list := store.attempts(); len(list) > 0 {
			a = list[0]
		}
	}
	var seen []time.Duration
	text := ""
	start := time.Now()
	back := make(chan struct{})
	time.AfterFunc(300*time.Millisecond, func() { // breaks the reader's connection
		defer close(back)
		store.stop()
		store.start()
	})
	err := store.stores().Read(context.Background(), &pb.ReadRequest{Attempt: a.Attempt, Follow: true}, func(m *pb.ReadResponse) error {
		for _, r := range m.Records {
			text += string(r.Data)
			seen = append(seen, time.Since(start))
		}
		return nil
	})
	if err != nil || text != "1\n2\n3\n4\n5\n" {
		t.Fatalf("%q, %v", text, err)
	}
	if seen[len(seen)-1]-seen[0] < 300*time.Millisecond {
		t.Errorf("all lines were received at once, at %v", seen)
	}
	<-back
	if err := <-done; err != nil {
		t.Error(err)
	}
	// Records since a time, by the writer's clock.
	var third int64
	got := ""
	read := func(q *pb.ReadRequest) {
		got = ""
		q.Attempt = a.Attempt
		if err := store.stores().Read(context.Background(), q, func(m *pb.ReadResponse) error {
			for _, r := range m.Records {
				if got += string(r.Data); string(r.Data) == "3\n" {
					third = r.AtNs
				}
			}
			return nil
		}); err != nil {
			t.Error(err)
		}
	}
	read(&pb.ReadRequest{})
	if read(&pb.ReadRequest{SinceNs: third}); got != "3\n4\n5\n" {
		t.Errorf("since the third: %q", got)
	}
	if read(&pb.ReadRequest{SinceNs: time.Now().UnixNano()}); got != "" {
		t.Errorf("since now: %q", got)
	}
	// The last lines.
	for tail, want := range map[uint64]string{1: "5\n", 2: "4\n5\n", 99: "1\n2\n3\n4\n5\n"} {
		got := ""
		store.stores().Read(context.Background(), &pb.ReadRequest{Attempt: a.Attempt, TailLines: tail}, func(m *pb.ReadResponse) error {
			for _, r := range m.Records {
				got += string(r.Data)
			}
			return nil
		})
		if got != want {
			t.Errorf("tail %d: %q", tail, got)
		}
	}
}

// A task runs even if its spool can't be created. If the command does not exist, its
// name is in the attempt's output.
func TestTaskRunsWithoutSpool(t *testing.T) {
	store := newTestStore(t)
	store.start()
	file := filepath.Join(t.TempDir(), "file")
	os.WriteFile(file, nil, 0o600)
	st, err := capture.Run(context.Background(), store.config(file, "sh", "-c", "exit 5"))
	if st.Exit != 5 || err == nil {
		t.Errorf("no spool: %+v, %v", st, err)
	}
	st, err = capture.Run(context.Background(), store.config(t.TempDir(), "no-such-program"))
	if st.Exit != 127 || err == nil {
		t.Errorf("no program: %+v, %v", st, err)
	}
	a := store.attempts()[0]
	if text, _, _ := store.read(a.Attempt); a.Cause != "not_started" || !strings.Contains(text, "no-such-program") {
		t.Errorf("%v, %q", a, text)
	}
}
