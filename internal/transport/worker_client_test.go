package transport

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"reedtrack/internal/protocol"
)

const workerHeartbeat = `{"reed":"m","breed":"b","yard":"z","stint":1,"tally":7,"parts":[{"part":"wk-1/0","try":3,"status":"fetching"}]}`

// Behaviors of a fakeWorker; workerAnswers is the default.
const (
	workerAnswers = ""
	workerHangs   = "hang"
	workerCloses  = "close"
	workerGarbled = "no heartbeat"
	workerRefuses = "refuse"
)

// fakeWorker is a worker that responds with workerHeartbeat or fails according to behavior.
type fakeWorker struct {
	t        *testing.T
	behavior atomic.Value // string
}

func (f *fakeWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		f.t.Error(err)
	}
	switch f.behavior.Load() {
	case workerHangs:
		<-r.Context().Done()
	case workerCloses:
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			f.t.Error(err)
			return
		}
		conn.Close()
	case workerGarbled:
		w.Write([]byte("{}"))
	case workerRefuses:
		w.WriteHeader(http.StatusConflict)
		w.Write([]byte(workerHeartbeat))
	default:
		var commands protocol.DirectCommands
		err := json.Unmarshal(raw, &commands)
		if r.URL.Path == "/do" && (err != nil || commands.FencingToken != 4 || len(commands.Commands) != 1) {
			f.t.Errorf("%s: %v", raw, err)
		}
		w.Write([]byte(workerHeartbeat))
	}
}

// A request whose connection could not be established was not sent; one without a valid
// response may have been executed.
func TestWorkerClient(t *testing.T) {
	worker := &fakeWorker{t: t}
	worker.behavior.Store(workerAnswers)
	srv := httptest.NewServer(worker)
	t.Cleanup(srv.Close)
	client := NewWorkerClient()
	client.ResponseTimeout = 300 * time.Millisecond
	address := srv.Listener.Addr().String()
	commands := protocol.DirectCommands{
		FencingToken: 4,
		Session:      1,
		Commands:     []protocol.Command{{Verb: protocol.VerbStart, Task: "wk-1/0", Attempt: 3}},
	}
	for _, test := range []struct {
		name          string
		behavior      string
		wantStatus    int
		wantHeartbeat bool
	}{
		{"executed", workerAnswers, 200, true},
		{"refused", workerRefuses, 409, true},
		{"response without heartbeat", workerGarbled, 200, false},
		{"no response", workerHangs, 0, false},
		{"connection closed", workerCloses, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			worker.behavior.Store(test.behavior)
			got := client.Do(t.Context(), address, commands)
			if !got.Sent || got.StatusCode != test.wantStatus || (got.Heartbeat != nil) != test.wantHeartbeat {
				t.Errorf("%+v", got)
			}
		})
	}
	t.Run("inspect", func(t *testing.T) {
		worker.behavior.Store(workerAnswers)
		got := client.Inspect(t.Context(), address)
		if got.StatusCode != 200 || got.Heartbeat.Sequence != 7 || len(got.Heartbeat.Tasks) != 1 {
			t.Errorf("%+v", got)
		}
	})
	t.Run("connection refused", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ln.Close()
		if got := client.Do(t.Context(), ln.Addr().String(), commands); got.Sent || got.StatusCode != 0 {
			t.Errorf("%+v", got)
		}
	})
}
