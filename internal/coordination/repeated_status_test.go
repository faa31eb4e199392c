package coordination

import (
	"testing"
	"time"

	"reedtrack/internal/storage"
)

// A copy of a holder's status that arrives after the first was answered requests no machine a
// second time, also after the machines have come.
func TestRepeatedStatusRequestsNoMachineTwice(t *testing.T) {
	w := newWorld(1, nil)
	n := New(w.settings, w.settings.Defaults(), nil, nil, nil, nil)
	now := n.now()
	leadership := newLeadership(5, now.Add(-time.Minute))
	leadership.listedAt = now
	applyRecord(t, n, storage.ShardKey(1), storage.ShardLease{Holder: storage.Controller{Name: "n1", Session: 7}, FencingToken: 3}, 4)
	kind := machineKind{MachineType: "small", Zone: "a"}
	status := Status{From: "n1", Session: 7, Shards: []ShardStatus{{Index: 1, FencingToken: 3, BootingVersion: leadership.bootingVersion(1), ScaleOut: []machineRequest{{kind, 3}}}}}
	const copies = 3
	for range copies {
		leadership.receiveStatus(n, &status, now)
	}
	if len(leadership.booting) != 3 {
		t.Errorf("%d machines requested, want 3", len(leadership.booting))
	}
	leadership.booting = nil // they were granted
	leadership.receiveStatus(n, &status, now)
	if len(leadership.booting) != 0 {
		t.Errorf("%d machines requested by a copy", len(leadership.booting))
	}
}
