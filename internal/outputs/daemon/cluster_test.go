package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"reedtrack/internal/emulator"
	"reedtrack/internal/outputs/client"
	pb "reedtrack/internal/outputs/outputsv1"
	"reedtrack/internal/outputs/settings"
	"reedtrack/internal/storage"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// testJob is the job of all attempts in the tests.
const testJob = "wk-000042"

// testCluster is an emulated key-value store and a set of output stores on loopback.
// The network links between the stores can be cut.
type testCluster struct {
	t            *testing.T
	state        *emulator.KVStore
	stateAddr    string
	dir          string // parent of the stores' data directories, which have their names
	settings     settings.Outputs
	modifyConfig func(*Config) // applied to stores that are started later; may be nil
	stores       map[string]*Daemon

	mu          sync.Mutex
	unreachable map[string]bool // HOST:PORT of stores that no other store can reach
}

// newTestCluster creates a cluster without stores. modify, if not nil, changes the
// settings, which have short intervals for periodic work.
func newTestCluster(t *testing.T, modify func(*settings.Outputs)) *testCluster {
	t.Helper()
	c := &testCluster{
		t:           t,
		state:       emulator.NewKVStore(),
		dir:         t.TempDir(),
		settings:    settings.Defaults(),
		stores:      map[string]*Daemon{},
		unreachable: map[string]bool{},
	}
	server := httptest.NewServer(c.state)
	t.Cleanup(server.Close)
	c.stateAddr = server.Listener.Addr().String()
	c.settings.Lease = 3 * time.Second
	c.settings.RepairInterval = 100 * time.Millisecond
	c.settings.RepairDelay = 0
	c.settings.ReserveBytes = 1 << 20
	c.settings.AttemptRate = 0
	if modify != nil {
		modify(&c.settings)
	}
	t.Cleanup(func() {
		for name := range c.stores {
			c.stopStore(name)
		}
	})
	return c
}

// slowRepair disables periodic repair for the duration of a test.
func slowRepair(o *settings.Outputs) { o.RepairInterval = time.Hour }

// RoundTrip sends a request from one store to another, unless the link is cut.
func (c *testCluster) RoundTrip(r *http.Request) (*http.Response, error) {
	c.mu.Lock()
	isCut := c.unreachable[r.URL.Host]
	c.mu.Unlock()
	if isCut {
		return nil, errors.New("the link is cut")
	}
	return http.DefaultTransport.RoundTrip(r)
}

// setReachable restores or cuts the links to a store.
func (c *testCluster) setReachable(d *Daemon, reachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable[strings.TrimPrefix(d.URL, "http://")] = !reachable
}

// isolate cuts the links to all stores except the given one, which then reaches no
// other store.
func (c *testCluster) isolate(name string) {
	for other, d := range c.stores {
		c.setReachable(d, other == name)
	}
}

// restoreLinks makes all stores reachable.
func (c *testCluster) restoreLinks() {
	for _, d := range c.stores {
		c.setReachable(d, true)
	}
}

func (c *testCluster) newStateClient() *storage.Client {
	return storage.NewClient(c.stateAddr, 1e4, 1e4, 1)
}

// startStore starts a store on its data directory and waits until it is a member.
func (c *testCluster) startStore(name, zone string) *Daemon {
	c.t.Helper()
	config := Config{
		Name:                name,
		Zone:                zone,
		Listen:              "127.0.0.1:0",
		Dir:                 filepath.Join(c.dir, name),
		Settings:            c.settings,
		KeyValueStore:       c.newStateClient(),
		MaintenanceInterval: 100 * time.Millisecond,
		PinDuration:         300 * time.Millisecond,
		CallTimeout:         2 * time.Second,
		CompactionDelay:     time.Hour,
		PeerTransport:       c,
	}
	if c.modifyConfig != nil {
		c.modifyConfig(&config)
	}
	d, err := Start(config)
	if err != nil {
		c.t.Fatal(err)
	}
	c.stores[name] = d
	c.waitFor("the store to join", func() bool { return d.Node.Membership().Problem() == "" })
	return d
}

// startStores starts the stores s0, s1 and so on, one per given zone, and waits until
// all of them are members in each other's view.
func (c *testCluster) startStores(zones ...string) {
	c.t.Helper()
	for i, zone := range zones {
		c.startStore(fmt.Sprint("s", i), zone)
	}
	c.waitForMembers(len(zones))
}

// stopStore shuts down a store gracefully.
func (c *testCluster) stopStore(name string) {
	if d := c.stores[name]; d != nil {
		delete(c.stores, name)
		d.Close()
	}
}

// killStore stops a store as if its process had been killed.
func (c *testCluster) killStore(name string) {
	d := c.stores[name]
	delete(c.stores, name)
	d.kill()
}

func (c *testCluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("timeout waiting for %s", what)
}

// waitForMembers waits until every store's view has n members.
func (c *testCluster) waitForMembers(n int) {
	c.t.Helper()
	c.waitFor(fmt.Sprintf("%d members", n), func() bool {
		for _, d := range c.stores {
			if len(d.Node.Membership().View().Members) != n {
				return false
			}
		}
		return true
	})
}

// anyStore returns the first running store by name.
func (c *testCluster) anyStore() *Daemon {
	names := slices.Sorted(maps.Keys(c.stores))
	return c.stores[names[0]]
}

// listAttempts requests a page of attempts from one store.
func (c *testCluster) listAttempts(d *Daemon, token string, request *pb.ListRequest) (*pb.ListResponse, error) {
	stores, err := client.New([]string{d.URL}, token, "")
	if err != nil {
		return nil, err
	}
	return stores.List(context.Background(), request)
}
