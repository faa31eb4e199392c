package failuredetector

import (
	"testing"
	"time"
)

// testDetector is a detector with a simulated clock.
type testDetector struct {
	*IsolationDetector
	now time.Time
}

// newTestDetector returns a detector whose first tick has been recorded.
func newTestDetector() *testDetector {
	d := &testDetector{NewIsolationDetector(testTiming), time.Unix(1e6, 0)}
	d.Tick(d.now)
	return d
}

// run advances the clock without heartbeats.
func (d *testDetector) run(duration time.Duration) {
	for end := d.now.Add(duration); d.now.Before(end); {
		d.now = d.now.Add(maxTick / 2)
		d.Tick(d.now)
	}
}

// A controller without heartbeats steps down. One that acquires machines which are silent
// everywhere does not, so that shards don't circulate among controllers. A controller that
// remains isolated steps down again with exponential backoff.
func TestStepDownWhenIsolated(t *testing.T) {
	d := newTestDetector()
	d.RecordHeartbeat()
	if d.run(testTiming.HeartbeatInterval * 5 / 4); d.ShouldStepDown(100, 0, 0, d.now) {
		t.Error("steps down between two heartbeats of one worker")
	}
	d.run(testTiming.HeartbeatInterval)
	if !d.ShouldStepDown(minCorrelatedFailure, 0, 0, d.now) {
		t.Error("no step-down although its machines have become silent")
	}
	if d.ShouldStepDown(minCorrelatedFailure-1, 100, minCorrelatedFailure-1, d.now) || d.ShouldStepDown(0, 100, 0, d.now) {
		t.Error("steps down for machines that have not sent a heartbeat yet")
	}
	d.RecordStepDown(true, d.now)
	if d.run(minStepDownBackoff / 2); d.ShouldStepDown(100, 0, 0, d.now) {
		t.Error("steps down again immediately")
	}
	if d.run(minStepDownBackoff); !d.ShouldStepDown(0, minCorrelatedFailure, 0, d.now) {
		t.Error("no step-down although it is still isolated")
	}
	d.RecordStepDown(true, d.now)
	if d.run(minStepDownBackoff * 3 / 2); d.ShouldStepDown(0, 100, 0, d.now) {
		t.Error("the backoff has not increased")
	}
	d.RecordHeartbeat()
	if d.run(4 * minStepDownBackoff); d.ShouldStepDown(0, 100, 0, d.now) {
		t.Error("steps down for machines without a heartbeat although it is not isolated")
	}
}

// Time in which the process was suspended, or was not allowed to act, does not count as
// silence.
func TestSilenceCountsOnlyWhileListening(t *testing.T) {
	d := newTestDetector()
	d.RecordHeartbeat()
	d.now = d.now.Add(time.Minute) // suspended
	if d.Tick(d.now); d.ShouldStepDown(100, 0, 0, d.now) {
		t.Error("steps down after being suspended")
	}
	d.run(testTiming.SuspectAfter() - time.Second)
	d.Pause()
	if d.run(2 * time.Second); d.ShouldStepDown(100, 0, 0, d.now) {
		t.Error("silence from before the pause counts")
	}
}

// Two controllers are isolated, and the leader grants the machines of the first to the
// second, which hands them over once but not again before the backoff has elapsed.
func TestUnheardMachinesAreHandedOverOnce(t *testing.T) {
	d := newTestDetector()
	if d.run(testTiming.SuspectAfter() + time.Second); !d.ShouldStepDown(0, minCorrelatedFailure, minCorrelatedFailure, d.now) {
		t.Error("no step-down for machines that never sent a heartbeat")
	}
	d.RecordStepDown(false, d.now)
	d.RecordHeartbeat() // no longer isolated: the machines themselves have failed
	if d.run(handoverBackoff - time.Second); d.ShouldStepDown(0, 100, 100, d.now) {
		t.Error("hands machines over again before the backoff has elapsed")
	}
}

// Guards against a controller that steps down while relayed workers are about to return,
// and against relayed heartbeats that prevent a step-down indefinitely.
func TestRelayedHeartbeatDelaysStepDownOnce(t *testing.T) {
	d := newTestDetector()
	d.RecordHeartbeat()
	d.run(testTiming.SuspectAfter())
	d.RecordRelayedHeartbeat()
	if d.run(testTiming.SuspectAfter()); d.ShouldStepDown(100, 0, 0, d.now) {
		t.Error("steps down before the worker can return")
	}
	d.RecordRelayedHeartbeat()
	if d.run(maxTick); !d.ShouldStepDown(100, 0, 0, d.now) {
		t.Error("does not step down while all heartbeats are relayed")
	}
	d.RecordHeartbeat()
	d.run(testTiming.SuspectAfter())
	d.RecordRelayedHeartbeat()
	if d.run(maxTick); d.ShouldStepDown(100, 0, 0, d.now) {
		t.Error("a relayed heartbeat after a direct one does not reset the silence")
	}
}

// Guards against a step-down after a lost heartbeat when a network partition leaves only
// one or two machines reporting here, and against never stepping down in that case.
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
		t.Error("prolonged silence is still considered a coincidence")
	}
}
