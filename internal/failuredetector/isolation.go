package failuredetector

import "time"

// IsolationDetector detects that a controller receives no heartbeats at all. A
// controller that no worker reaches holds machines that others could serve:
// their workers drop all that they run when their leases expire, though nothing
// is wrong with them. With dozens of machines, each of which sends heartbeats,
// it is no coincidence that none arrives for longer than Timing.SuspectAfter.
//
// Where the machines themselves are lost, stepping down does not help. Two rules
// keep shards from going round among the controllers then, each beginning anew
// to wait for what may still run: a controller steps down more and more seldom
// until it receives a heartbeat, and hands over machines that it has never heard
// only once in a while.
type IsolationDetector struct {
	timing           Timing
	silence          time.Duration // without a heartbeat from any worker, while this process ran
	lastTick         time.Time
	backoff          time.Duration // the least time from the next step-down to the one after it
	stillIsolated    bool          // it has stepped down, and received no heartbeat since
	resetByRelay     bool          // the silence began anew with a relayed heartbeat
	storeUnreachable bool          // the key-value store did not answer at the last tick
	resetByStore     bool          // the silence began anew when the key-value store answered again

	nextStepDownAt time.Time // no step-down before this
	nextHandoverAt time.Time // no step-down before this on account of machines that were never heard
}

const (
	// minStepDownBackoff is the least time between two step-downs. It doubles
	// with each until a worker is heard.
	minStepDownBackoff = 30 * time.Second
	maxStepDownBackoff = 16 * minStepDownBackoff
	// handoverBackoff is the least time between two step-downs that only hand
	// over machines which this controller acquired and never heard: long enough
	// for each of several isolated controllers to do so once.
	handoverBackoff = 8 * minStepDownBackoff
	// maxTick bounds the silence that one tick adds. A process that stood still,
	// or got no processor, has received nothing meanwhile, and that means
	// nothing.
	maxTick = 500 * time.Millisecond
)

// NewIsolationDetector returns a detector that has received no heartbeat yet.
func NewIsolationDetector(t Timing) *IsolationDetector {
	return &IsolationDetector{timing: t, backoff: minStepDownBackoff}
}

// RecordHeartbeat records that a heartbeat arrived, of whatever worker.
func (d *IsolationDetector) RecordHeartbeat() {
	d.silence, d.backoff, d.stillIsolated, d.resetByRelay, d.resetByStore = 0, minStepDownBackoff, false, false, false
}

// RecordRelayedHeartbeat records that another controller relayed a heartbeat. That
// does not show that workers reach this one; but a worker that was answered so comes
// back only with its next heartbeat. So the silence begins anew, once: a controller
// that is isolated steps down all the same.
func (d *IsolationDetector) RecordRelayedHeartbeat() {
	if !d.resetByRelay {
		d.silence, d.resetByRelay = 0, true
	}
}

// Tick records that time has passed in which this process could receive
// heartbeats. After TickCutOff the silence begins anew, once until a heartbeat is
// received: workers that gave this controller up meanwhile are on their way back.
func (d *IsolationDetector) Tick(now time.Time) {
	if d.storeUnreachable && !d.resetByStore {
		d.silence, d.resetByStore = 0, true
	}
	d.storeUnreachable = false
	if !d.lastTick.IsZero() {
		d.silence += min(max(0, now.Sub(d.lastTick)), maxTick)
	}
	d.lastTick = now
}

// TickStoreUnreachable records that time has passed in which the key-value store did not answer
// this process either. What cuts it off from both is no sign that workers reach other
// controllers, and without the store nothing can be handed over to these.
func (d *IsolationDetector) TickStoreUnreachable(now time.Time) {
	d.storeUnreachable, d.lastTick = true, now
}

// Pause begins the silence anew. It is to be called while the controller may not
// act: workers are then told to turn to others.
func (d *IsolationDetector) Pause() { d.silence, d.lastTick = 0, time.Time{} }

// Silence returns for how long no worker has been heard.
func (d *IsolationDetector) Silence() time.Duration { return d.silence }

// MayBeCoincidence reports whether the silence may be one of a few machines that lost a
// heartbeat. expected is how many machines should report here: those that are not
// delegated to a heartbeat proxy, which hears them instead.
func (d *IsolationDetector) MayBeCoincidence(expected int) bool {
	return expected > 0 && expected < minCorrelatedFailure && d.silence <= d.timing.FewSilentAfter()
}

// ShouldStepDown reports whether the controller should let others have its
// machines. heard and unheard count the machines that have sent it a heartbeat
// since it acquired them and those that have not; overdue are those of unheard
// that it has had for longer than Timing.SuspectAfter.
//
// With no heartbeat from any worker for that long, one of these is enough, each
// of at least as many machines as can't be silent by coincidence:
//
//   - machines that it had heard;
//   - any machines, if it has stepped down and heard no worker since: it is
//     still isolated, and hands over at once what it is given;
//   - overdue machines, once in a while: of several isolated controllers the
//     leader may have picked another.
func (d *IsolationDetector) ShouldStepDown(heard, unheard, overdue int, now time.Time) bool {
	if now.Before(d.nextStepDownAt) || d.silence <= d.timing.SuspectAfter() {
		return false
	}
	switch {
	case heard >= minCorrelatedFailure:
		return true
	case d.stillIsolated && heard+unheard >= minCorrelatedFailure:
		return true
	default:
		return overdue >= minCorrelatedFailure && !now.Before(d.nextHandoverAt)
	}
}

// RecordStepDown records that the controller steps down, and whether it had
// heard any of its machines.
func (d *IsolationDetector) RecordStepDown(heard bool, now time.Time) {
	if !heard {
		d.nextHandoverAt = now.Add(handoverBackoff)
	}
	d.nextStepDownAt = now.Add(d.backoff)
	d.backoff = min(2*d.backoff, maxStepDownBackoff)
	d.silence, d.stillIsolated = 0, true
}
