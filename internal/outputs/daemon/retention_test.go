package daemon

import (
	"errors"
	"testing"
	"time"

	"connectrpc.com/connect"

	"reedtrack/internal/outputs/settings"
)

// oneHourRetention is a retention that does not expire during a test.
var oneHourRetention = settings.Retention{Duration: time.Hour}

// restartWithShortRetention restarts both stores with a retention that expires during
// the test. It is not set from the beginning because on a slow machine attempts would
// expire before a test had counted their replicas.
func (c *testCluster) restartWithShortRetention() {
	c.t.Helper()
	c.modifyConfig = func(config *Config) {
		config.Settings.Retention = []settings.Retention{oneHourRetention, {Class: "c", Duration: 1500 * time.Millisecond}}
	}
	for name, zone := range map[string]string{"s0": "a", "s1": "b"} {
		c.stopStore(name)
		c.startStore(name, zone)
	}
	c.waitForMembers(2)
}

func TestExpiredOutputsAreDeletedEverywhere(t *testing.T) {
	c := newTestCluster(t, func(o *settings.Outputs) { o.Retention = []settings.Retention{oneHourRetention} })
	c.startStores("a", "b")
	sealed, open := c.newWriter(0, 1, "k"), c.newWriter(1, 1, "k")
	if err := errors.Join(sealed.append(c.anyStore(), 3), sealed.seal(c.anyStore(), 0), open.append(c.anyStore(), 3)); err != nil {
		t.Fatal(err)
	}
	if n := sealed.completeCopies(); n != 2 {
		t.Fatalf("%d copies, want 2", n)
	}
	c.restartWithShortRetention()
	allDeleted := func() bool {
		for _, d := range c.stores {
			if d.Node.Store().Held(sealed.key()) != nil || d.Node.Store().Held(open.key()) != nil {
				return false
			}
		}
		return true
	}
	c.waitFor("the outputs to be deleted", allDeleted)
	for range 10 {
		time.Sleep(50 * time.Millisecond)
		if !allDeleted() {
			t.Fatal("deleted outputs were copied back")
		}
	}
	if err := sealed.read(c.anyStore()); connect.CodeOf(errors.Unwrap(err)) != connect.CodeNotFound {
		t.Errorf("read of deleted output: %v", err)
	}
}

// A store with a shorter retention does not copy expired attempts back from its peer
// and does not cause the peer to delete them.
func TestShorterRetentionIsNotUndoneByPeer(t *testing.T) {
	c := newTestCluster(t, func(o *settings.Outputs) { o.Retention = []settings.Retention{oneHourRetention} })
	c.startStores("a", "b")
	c.restartWithShortRetention()
	c.stopStore("s1")
	c.modifyConfig = func(config *Config) { config.Settings.Retention = []settings.Retention{oneHourRetention} }
	c.startStore("s1", "b")
	c.waitForMembers(2)
	w := c.newWriter(2, 1, "k")
	if err := errors.Join(w.append(c.anyStore(), 3), w.seal(c.anyStore(), 0)); err != nil {
		t.Fatal(err)
	}
	isHeldBy := func(name string) bool { return c.stores[name].Node.Store().Held(w.key()) != nil }
	c.waitFor("the output to be deleted on s0", func() bool { return !isHeldBy("s0") })
	for range 20 {
		time.Sleep(50 * time.Millisecond)
		if isHeldBy("s0") || !isHeldBy("s1") {
			t.Fatal("copied back from the other store, or deleted there too")
		}
	}
}
