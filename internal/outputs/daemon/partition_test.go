package daemon

import (
	"context"
	"errors"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"reedtrack/internal/outputs/client"
	pb "reedtrack/internal/outputs/outputsv1"
)

// A store that is partitioned from the others and has only the first records of an open
// attempt lets a read wait for the other stores. If they do not return, the response
// names the unreachable ones.
func TestReadAtPartitionedStore(t *testing.T) {
	c := newTestCluster(t, slowRepair)
	c.startStores("0", "1", "2")
	w := c.newWriter(0, 1, "k")
	owners := w.owners()
	first, second := c.stores[owners[0]], c.stores[owners[1]]
	if err := w.append(second, 3); err != nil {
		t.Fatal(err)
	}
	c.setReachable(first, false)
	if err := w.append(second, 3); err != nil || w.minCopies != 2 {
		t.Fatal(w.minCopies, err)
	}
	c.isolate(owners[0])
	time.AfterFunc(700*time.Millisecond, c.restoreLinks)
	if err := w.read(first); err != nil {
		t.Error(err)
	}
	c.isolate(owners[0])
	stores, err := client.New([]string{first.URL}, "", "")
	if err != nil {
		t.Fatal(err)
	}
	var unreachable []string
	err = stores.Read(context.Background(), &pb.ReadRequest{Attempt: w.attempt}, func(m *pb.ReadResponse) error {
		unreachable = append(unreachable, m.Unreachable...)
		return nil
	})
	if err != nil || len(unreachable) != 2 {
		t.Errorf("unreachable %v, want two; error %v", unreachable, err)
	}
}

// During an outage of the key-value store the last known members keep working, even
// after a restart of one of them. A second store with the same name can't join.
func TestMembersKeptDuringStateOutage(t *testing.T) {
	c := newTestCluster(t, nil)
	c.startStores("a", "b")
	w := c.newWriter(0, 1, "k")
	if err := w.append(c.stores["s0"], 3); err != nil {
		t.Fatal(err)
	}
	c.state.SetOutage(true)
	if err := w.append(c.stores["s1"], 3); err != nil || w.minCopies != 2 {
		t.Fatalf("%d copies, want 2; error %v", w.minCopies, err)
	}
	c.killStore("s0")
	config := Config{
		Name:          "s0",
		Zone:          "a",
		Listen:        "127.0.0.1:0",
		Dir:           filepath.Join(c.dir, "s0"),
		Settings:      c.settings,
		KeyValueStore: c.newStateClient(),
		PeerTransport: c,
		CallTimeout:   2 * time.Second,
	}
	d, err := Start(config)
	if err != nil {
		t.Fatal(err)
	}
	c.stores["s0"] = d
	members := d.Node.Membership()
	if n := len(members.View().Members); n != 2 || members.IsCurrent() {
		t.Fatalf("view has %d members, want 2; current %v, want false", n, members.IsCurrent())
	}
	if err := w.append(d, 3); err != nil {
		t.Fatal(err)
	}
	if err := w.read(d); err != nil {
		t.Error(err)
	}
	c.state.SetOutage(false)
	c.waitForMembers(2)
	c.waitFor("the store to join", func() bool { return members.Problem() == "" })
	// A second store with the same name but another data directory can't join.
	config.Dir, config.KeyValueStore = filepath.Join(c.dir, "other"), c.newStateClient()
	duplicate, err := Start(config)
	if err != nil {
		t.Fatal(err)
	}
	defer duplicate.Close()
	c.waitFor("the second store to be refused", func() bool {
		return strings.Contains(duplicate.Node.Membership().Problem(), "another store has this name")
	})
}

// A replica that a store holds in place of an unreachable owner is dropped after all
// owners hold it, and not before. An owner keeps the replica that it confirmed.
func TestHintedReplicaDroppedOnceOwnersHaveIt(t *testing.T) {
	c := newTestCluster(t, nil)
	c.startStores("0", "1", "2")
	w := c.newWriter(0, 1, "k")
	owners := w.owners()
	standby := c.stores["s0"]
	for name, d := range c.stores {
		if !slices.Contains(owners, name) {
			standby = d
		}
	}
	holdsCopy := func(d *Daemon) bool { return d.Node.Store().Held(w.key()) != nil }
	first, away := c.stores[owners[0]], c.stores[owners[1]]
	c.setReachable(away, false)
	if err := errors.Join(w.append(first, 5), w.seal(first, 0)); err != nil {
		t.Fatal(err)
	}
	if w.minCopies != 2 || !holdsCopy(standby) {
		t.Fatalf("%d copies, want 2; one in place of the owner: %v", w.minCopies, holdsCopy(standby))
	}
	time.Sleep(time.Second)
	if !holdsCopy(standby) {
		t.Fatal("dropped before the owner had it")
	}
	c.setReachable(away, true)
	c.waitFor("the copy to move to its owner", func() bool { return holdsCopy(away) && !holdsCopy(standby) })
	if n := w.completeCopies(); n != 2 {
		t.Errorf("%d copies, want 2", n)
	}
	if err := w.read(standby); err != nil {
		t.Error(err)
	}
}
