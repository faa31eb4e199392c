package transport

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reedtrack/internal/protocol"
)

// Guards against a renamed field or method that overview.html refers to: the template
// resolves Go names only at run time. The composite literals are unkeyed so that a new
// field breaks compilation.
func TestPageGolden(t *testing.T) {
	full := Overview{"reed-1", "reed-2", true, 4 * time.Second,
		[]ShardView{{1, "reed-1", 7, 12, 3, true, true, 5, 6}, {2, "reed-1", 8, 13, 4, false, true, 0, 9}, {3, "reed-2", 9, 14, 5, true, false, 1, 1}},
		[]TeamView{{"red", 1.25, 2.5, 3, 4}, {"blue", 5, 6, 7, 0}},
		[]MachineView{{"host-000231", "g8", "a", "spot", "up", 2, 3.25, 8, 1500 * time.Millisecond}},
		[]JobView{{"wk-000007", "train", "red", "high", 16, 1, 2, 3, time.Minute, true, 4}, {"wk-000008", "x", "blue", "low", 1, 0, 0, 1, time.Hour, false, 0}},
		17, "upgrade is over", "http://stores:8110"}
	for file, o := range map[string]Overview{"page.html": full, "empty.html": {}} {
		want, err := os.ReadFile("testdata/" + file)
		if err != nil {
			t.Fatal(err)
		}
		w := serveRequest(NewOperatorServer(staticOverview(o)).Handler, "GET", "/", "")
		if d := cmp.Diff(string(want), w.Body.String()); d != "" {
			t.Error(file, d)
		}
	}
}

// Guards the requests to the cloud and to workers against a renamed path, parameter or
// field.
func TestRequestsGolden(t *testing.T) {
	var got []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		got = append(got, strings.TrimSpace(r.Method+" "+r.RequestURI+" "+string(raw)))
		w.Write([]byte("{}"))
	}))
	defer srv.Close()
	addr, ctx := strings.TrimPrefix(srv.URL, "http://"), t.Context()
	c, w := NewCloudClient(addr, errors.ErrUnsupported), NewWorkerClient()
	c.Catalog(ctx)
	c.RequestMachines(ctx, protocol.MachineRequest{RequestID: "a", MachineType: "g8", Zone: "z", Spot: true, Count: 2})
	c.Release(ctx, []string{"host-000231"})
	c.List(ctx, "")
	c.List(ctx, "host-000231")
	w.Do(ctx, addr, protocol.DirectCommands{FencingToken: 4, Session: 1, Commands: []protocol.Command{{Verb: protocol.VerbStop, Task: "wk-1/0", Attempt: 3}}})
	w.Inspect(ctx, addr)
	if d := cmp.Diff([]string{`GET /catalog`, `POST /machines {"ask":"a","breed":"g8","yard":"z","loaners":true,"how_many":2}`,
		`POST /machines/release {"reeds":["host-000231"]}`, `GET /machines?limit=500`, `GET /machines?limit=500&since=host-000231`,
		`POST /do {"baton":4,"stint":1,"orders":[{"verb":"halt","part":"wk-1/0","try":3}]}`, `GET /inspect`}, got); d != "" {
		t.Error(d)
	}
}
