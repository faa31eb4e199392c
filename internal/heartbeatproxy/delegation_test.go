package heartbeatproxy

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testTime = time.Unix(1e9, 0)

// A holder never declares a task lost that a proxy's responses keep running, and no start
// outlives the lease under which it was sent, regardless of message delays and of when the
// delegation is activated, deactivated and reactivated.
func TestDelegatedMachinesAreNeverTakenForLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := runRandomEvents(t, omissions{}); violation != "" {
			t.Fatal(violation)
		}
	})
}

// The model detects a proxy that doesn't wait for the holder's acknowledgement, and a
// holder that acknowledges although a start is unanswered.
func TestModelFindsMissingGuards(t *testing.T) {
	for name, omitted := range map[string]omissions{
		"acknowledgement": {acknowledgement: true, noStarts: true},
		"pending starts":  {pendingStarts: true},
		// Relays: the holder must be asked, and the worker must enforce its response timeout.
		"holder's answer":  {holderUnasked: true, noStarts: true},
		"response timeout": {responseTimeout: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 100000 {
				violation := ""
				rapid.Custom(func(t *rapid.T) bool { violation = runRandomEvents(t, omitted); return true }).Example(seed)
				if violation != "" {
					t.Log(violation)
					return
				}
			}
			t.Error("no violation found")
		})
	}
}

// An unanswered start has no effect once a proxy has answered its machine. These event
// sequences violate this without the fence.
func TestModelFindsMissingFence(t *testing.T) {
	delegate := []string{"holder answers", "send start", "activate", "send record", "write executed", "holder copy updated",
		"send acknowledgement", "write executed", "proxy copy updated"}
	// The start arrives after the proxy has read a heartbeat that doesn't list it.
	arrivesUnlisted := slices.Concat([]string{"holder answers", "send start", "cancel"}, slices.Repeat([]string{"tick"}, 5), delegate[2:],
		[]string{"tick", "heartbeat", "start arrives", "response arrives"}, slices.Repeat([]string{"tick"}, modelWorkerLease))
	for name, c := range map[string]struct {
		omitted omissions
		events  []string
	}{
		"newer token":   {omissions{oldToken: true}, append(delegate, "heartbeat", "response arrives")},
		"fenced starts": {omissions{fencedStarts: true}, arrivesUnlisted},
	} {
		t.Run(name, func(t *testing.T) {
			if violation := runEvents(omissions{}, c.events); violation != "" {
				t.Error("with the fence:", violation)
			}
			if runEvents(c.omitted, c.events) == "" {
				t.Error("no violation found without the fence")
			}
		})
	}
}

// A write is sent again before it times out. In this event sequence a copy of a removal
// causes a violation unless it has the preconditions of the first.
func TestModelFindsCopyWithoutPreconditions(t *testing.T) {
	delegate := []string{"holder copy updated", "send acknowledgement", "newest write executed", "proxy copy updated"}
	events := slices.Concat([]string{"activate", "send record", "write executed"}, delegate,
		[]string{"deactivate", "send record", "write repeated", "write executed", "proxy copy updated"},
		[]string{"activate", "send record", "newest write executed"}, delegate,
		[]string{"tick", "write executed", "holder copy updated", "tick", "tick", "heartbeat, response"},
		slices.Repeat([]string{"tick"}, modelWorkerLease))
	if violation := runEvents(omissions{}, events); violation != "" {
		t.Error("with the preconditions:", violation)
	}
	if runEvents(omissions{copyConditions: true}, events) == "" {
		t.Error("no violation found without the preconditions")
	}
}

// checkDesired checks which machines a delegation desires.
func checkDesired(t *testing.T, d *Delegation, now time.Time, want ...string) {
	t.Helper()
	if got := d.Desired(now); !slices.Equal(got, want) {
		t.Errorf("desired after %v: %v, want %v", now.Sub(testTime), got, want)
	}
}

// A machine that sends no heartbeats to the proxy is left to its holder. One that does
// remains delegated until it has been silent for Timing.WorkerExpiry.
func TestSilentMachinesAreLeftToHolder(t *testing.T) {
	after := func(seconds int) time.Time { return testTime.Add(time.Duration(seconds) * time.Second) }
	d := New(modelTiming)
	d.Activate([]string{"a", "b"}, testTime)
	d.RecordHeartbeat("a", after(5))
	d.ObserveRecords(map[string]Record{"a": {Revision: 7, Acknowledged: true}, "b": {Revision: 7, Acknowledged: true}}, testTime)
	checkDesired(t, d, after(8), "a", "b")
	d.RecordHeartbeat("a", after(25))
	checkDesired(t, d, after(31), "a")
	checkDesired(t, d, after(40))
}

// A machine that the holder does not acknowledge is left to the holder until the holder
// is reachable again.
func TestUnacknowledgedMachinesAreLeftToHolder(t *testing.T) {
	now := testTime
	d := New(modelTiming)
	d.Activate([]string{"a"}, now)
	for range 40 {
		now = now.Add(time.Second)
		d.RecordHeartbeat("a", now)
		d.ObserveRecords(map[string]Record{"a": {Revision: 7}}, now)
	}
	checkDesired(t, d, now)
	d.Deactivate()
	d.Activate([]string{"a"}, now)
	checkDesired(t, d, now, "a")
}

// A removal without a response may be executed later: the machine is answered again only
// after a newer record lists it.
func TestNoAnswersWhileRemovalMayBeUnderWay(t *testing.T) {
	d := New(modelTiming)
	observe := func(r Record) { d.ObserveRecords(map[string]Record{"a": r}, testTime) }
	d.Activate([]string{"a"}, testTime)
	observe(Record{Revision: 7})
	if d.CanAnswer("a") {
		t.Fatal("answered before the holder has acknowledged")
	}
	observe(Record{Revision: 7, Acknowledged: true})
	if !d.CanAnswer("a") {
		t.Fatal("not answered")
	}
	d.Deactivate()
	d.BeginRemoval(nil, 9)
	d.Activate([]string{"a"}, testTime)
	observe(Record{Revision: 7, Acknowledged: true})
	if d.CanAnswer("a") || !d.NeedsWrite([]string{"a"}, map[string]Record{"a": {Revision: 7, Acknowledged: true}}) {
		t.Error("answered under a record that a late write may remove, or not written again")
	}
	observe(Record{Revision: 12, Acknowledged: true})
	if !d.CanAnswer("a") {
		t.Error("not answered under the newer record")
	}
}

// Heartbeats are answered only between activation and deactivation, and earlier heartbeats
// do not count in the next activation.
func TestNoAnswersWhileInactive(t *testing.T) {
	d := New(modelTiming)
	d.RecordHeartbeat("a", testTime)
	d.ObserveRecords(map[string]Record{"a": {Revision: 7, Acknowledged: true}}, testTime)
	if d.CanAnswer("a") || d.CountAnswerable() != 0 {
		t.Error("answered before the holder was unreachable")
	}
	checkDesired(t, d, testTime)
	d.Activate([]string{"a"}, testTime)
	if !d.CanAnswer("a") || d.CountAnswerable() != 1 {
		t.Error("not answered though the record is acknowledged")
	}
	if d.CanAnswer("b") {
		t.Error("answered for a machine that is in no record")
	}
	d.Deactivate()
	if d.CanAnswer("a") || d.CountAnswerable() != 0 {
		t.Error("answered after the holder was reachable again")
	}
	checkDesired(t, d, testTime)
}

// A delegation can be discarded only after its records have been removed.
func TestDelegationIsEmptyOnceRecordsAreRemoved(t *testing.T) {
	d := New(modelTiming)
	d.Activate([]string{"a"}, testTime)
	d.ObserveRecords(map[string]Record{"a": {Revision: 7, Acknowledged: true}}, testTime)
	d.Deactivate()
	if checkDesired(t, d, testTime); d.IsEmpty() {
		t.Error("empty though a record lists a machine")
	}
	d.ObserveRecords(nil, testTime)
	if checkDesired(t, d, testTime); !d.IsEmpty() {
		t.Error("not empty though nothing is desired or listed")
	}
}
