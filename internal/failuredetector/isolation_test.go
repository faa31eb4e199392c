package failuredetector

import (
	"testing"
	"time"
)

// testDetector is a detector with a clock of its own.
type testDetector struct {
	*IsolationDetector
	now time.Time
}

// newTestDetector returns a detector that has just begun to listen.
func newTestDetector() *testDetector {
	d := &testDetector{NewIsolationDetector(testTiming), time.Unix(1e6, 0)}
	d.Tick(d.now)
	return d
}

// run lets time pass in which no heartbeat arrives.
func (d *testDetector) run(duration time.Duration) {
	for end := d.now.Add(duration); d.now.Before(end); {
		d.now = d.now.Add(maxTick / 2)
		d.Tick(d.now)
	}
}

// A controller that hears nobody steps down once; one that acquires what is
// silent for everybody does not, so that shards don't go round; one that has
// stepped down and still hears nobody does so again, more and more seldom.
func TestStepDownWhenIsolated(t *testing.T) {
	d := newTestDetector()
	d.RecordHeartbeat()
	if d.run(testTiming.HeartbeatInterval * 5 / 4); d.ShouldStepDown(100, 0, 0, d.now) {
		t.Error("steps down between two heartbeats of one worker")
	}
	d.run(testTiming.HeartbeatInterval)
	if !d.ShouldStepDown(minCorrelatedFailure, 0, 0, d.now) {
		t.Error("keeps machines that it does not hear any more")
	}
	if d.ShouldStepDown(minCorrelatedFailure-1, 100, minCorrelatedFailure-1, d.now) || d.ShouldStepDown(0, 100, 0, d.now) {
		t.Error("steps down for machines that it has not heard yet")
	}
	d.RecordStepDown(true, d.now)
	if d.run(minStepDownBackoff / 2); d.ShouldStepDown(100, 0, 0, d.now) {
		t.Error("steps down again at once")
	}
	if d.run(minStepDownBackoff); !d.ShouldStepDown(0, minCorrelatedFailure, 0, d.now) {
		t.Error("keeps machines though it is still isolated")
	}
	d.RecordStepDown(true, d.now)
	if d.run(minStepDownBackoff * 3 / 2); d.ShouldStepDown(0, 100, 0, d.now) {
		t.Error("steps down as soon as the first time")
	}
	d.RecordHeartbeat()
	if d.run(4 * minStepDownBackoff); d.ShouldStepDown(0, 100, 0, d.now) {
		t.Error("gives up machines that it never heard though it is not isolated")
	}
}

// A process that stood still, or did not act, has received no heartbeat, and
// that means nothing.
func TestSilenceCountsOnlyWhileListening(t *testing.T) {
	d := newTestDetector()
	d.RecordHeartbeat()
	d.now = d.now.Add(time.Minute) // stood still
	if d.Tick(d.now); d.ShouldStepDown(100, 0, 0, d.now) {
		t.Error("steps down for having stood still")
	}
	d.run(testTiming.SuspectAfter() - time.Second)
	d.Pause()
	if d.run(2 * time.Second); d.ShouldStepDown(100, 0, 0, d.now) {
		t.Error("steps down for silence before it acted")
	}
}

// Two controllers are isolated, and the leader picks the second for what the
// first had: it hands that over once, but not again soon.
func TestUnheardMachinesAreHandedOverOnce(t *testing.T) {
	d := newTestDetector()
	if d.run(testTiming.SuspectAfter() + time.Second); !d.ShouldStepDown(0, minCorrelatedFailure, minCorrelatedFailure, d.now) {
		t.Error("keeps what it never heard")
	}
	d.RecordStepDown(false, d.now)
	d.RecordHeartbeat() // it is not isolated any more: now the machines are at fault
	if d.run(handoverBackoff - time.Second); d.ShouldStepDown(0, 100, 100, d.now) {
		t.Error("shards go round")
	}
}

// Guards against a controller that gives its session up while workers are on their way
// back from a relay, and against one that relays keep from stepping down.
func TestRelayedHeartbeatDelaysStepDownOnce(t *testing.T) {
	d := newTestDetector()
	d.RecordHeartbeat()
	d.run(testTiming.SuspectAfter())
	d.RecordRelayedHeartbeat()
	if d.run(testTiming.SuspectAfter()); d.ShouldStepDown(100, 0, 0, d.now) {
		t.Error("steps down before the worker can be back")
	}
	d.RecordRelayedHeartbeat()
	if d.run(maxTick); !d.ShouldStepDown(100, 0, 0, d.now) {
		t.Error("does not step down while all heartbeats are relayed")
	}
	d.RecordHeartbeat()
	d.run(testTiming.SuspectAfter())
	d.RecordRelayedHeartbeat()
	if d.run(maxTick); d.ShouldStepDown(100, 0, 0, d.now) {
		t.Error("a relay does not count after a direct heartbeat")
	}
}

// Guards against a step-down because one or two machines, all that report here during a
// cut, have lost a heartbeat; and against none at all.
func TestFewSilentMachinesMayBeCoincidence(t *testing.T) {
	d := newTestDetector()
	d.RecordHeartbeat()
	d.run(testTiming.UnreachableAfter())
	for expected, want := range map[int]bool{0: false, 1: true, minCorrelatedFailure - 1: true, minCorrelatedFailure: false} {
		if d.MayBeCoincidence(expected) != want {
			t.Errorf("%d machines expected: coincidence %v", expected, !want)
		}
	}
	if d.run(testTiming.FewSilentAfter()); d.MayBeCoincidence(1) {
		t.Error("silence that lasts is still a coincidence")
	}
}
