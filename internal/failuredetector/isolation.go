package failuredetector

import "time"

// IsolationDetector detects that a controller receives no heartbeats at all. An
// isolated controller holds machines that others could serve: their healthy
// workers drop all their tasks when their leases expire. With dozens of machines
// sending heartbeats, receiving none for longer than Timing.SuspectAfter is not a
// coincidence.
//
// If the machines themselves are lost, stepping down does not help. Two rules
// then prevent the shards from circulating among the controllers, where every
// new holder waits again for tasks that may still run: a controller steps down
// with exponential backoff until it receives a heartbeat, and hands over machines
// that never sent it a heartbeat at most once per handoverBackoff.
type IsolationDetector struct {
	timing           Timing
	silence          time.Duration // time without a heartbeat from any worker while this process was running
	lastTick         time.Time
	backoff          time.Duration // minimum time from the next step-down to the one after it
	stillIsolated    bool          // no heartbeat was received since the last step-down
	resetByRelay     bool          // a relayed heartbeat has reset the silence
	storeUnreachable bool          // the key-value store did not answer at the last tick
	resetByStore     bool          // the recovery of the key-value store has reset the silence

	nextStepDownAt time.Time // no step-down before this
	nextHandoverAt time.Time // no step-down before this for machines that never sent a heartbeat
}

const (
	// minStepDownBackoff is the minimum time between two step-downs. It doubles
	// with each step-down until a heartbeat is received.
	minStepDownBackoff = 30 * time.Second
	maxStepDownBackoff = 16 * minStepDownBackoff
	// handoverBackoff is the minimum time between two step-downs that only hand
	// over machines from which this controller never received a heartbeat. It
	// is long enough for each of several isolated controllers to do so once.
	handoverBackoff = 8 * minStepDownBackoff
	// maxTick bounds the silence that one tick adds: a suspended or CPU-starved
	// process receives no heartbeats, which does not imply that workers are silent.
	maxTick = 500 * time.Millisecond
)

// NewIsolationDetector returns a detector without any recorded heartbeat.
func NewIsolationDetector(t Timing) *IsolationDetector {
	return &IsolationDetector{timing: t, backoff: minStepDownBackoff}
}

// RecordHeartbeat records a heartbeat received directly from any worker.
func (d *IsolationDetector) RecordHeartbeat() {
	d.silence, d.backoff, d.stillIsolated, d.resetByRelay, d.resetByStore = 0, minStepDownBackoff, false, false, false
}

// RecordRelayedHeartbeat records that another controller relayed a heartbeat. This
// does not imply that workers reach this controller, but a worker whose heartbeat was
// relayed contacts it again only with the next heartbeat. The silence is therefore
// reset, but only once, so that an isolated controller still steps down.
func (d *IsolationDetector) RecordRelayedHeartbeat() {
	if !d.resetByRelay {
		d.silence, d.resetByRelay = 0, true
	}
}

// Tick records elapsed time in which this process could receive heartbeats. The first
// call after TickStoreUnreachable resets the silence, once until a heartbeat is
// received: workers that switched to other controllers during the outage are returning.
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

// TickStoreUnreachable records elapsed time in which the key-value store did not answer
// either. A failure that affects both does not imply that workers reach other
// controllers, and without the store no machine can be handed over.
func (d *IsolationDetector) TickStoreUnreachable(now time.Time) {
	d.storeUnreachable, d.lastTick = true, now
}

// Pause resets the silence. It must be called while the controller may not act, since
// workers are then redirected to other controllers.
func (d *IsolationDetector) Pause() { d.silence, d.lastTick = 0, time.Time{} }

// Silence returns the time since a heartbeat was last received from any worker.
func (d *IsolationDetector) Silence() time.Duration { return d.silence }

// MayBeCoincidence reports whether the silence may be due to individual lost heartbeats
// of a few machines. expected is the number of machines that should report here: those
// that are not delegated to a heartbeat proxy, which receives their heartbeats instead.
func (d *IsolationDetector) MayBeCoincidence(expected int) bool {
	return expected > 0 && expected < minCorrelatedFailure && d.silence <= d.timing.FewSilentAfter()
}

// ShouldStepDown reports whether the controller should release its machines to
// others. reported and unreported count the machines that have and have not sent it a
// heartbeat since it acquired them; overdue counts the unreported machines that it has
// held for longer than Timing.SuspectAfter.
//
// If no heartbeat was received for that long, one of the following conditions
// suffices. Each requires at least minCorrelatedFailure machines:
//
//   - machines that had sent heartbeats;
//   - any machines, if no heartbeat was received since the last step-down: the
//     controller is still isolated and hands over newly granted machines immediately;
//   - overdue machines, at most once per handoverBackoff: among several isolated
//     controllers the leader may have chosen another isolated one.
func (d *IsolationDetector) ShouldStepDown(reported, unreported, overdue int, now time.Time) bool {
	if now.Before(d.nextStepDownAt) || d.silence <= d.timing.SuspectAfter() {
		return false
	}
	switch {
	case reported >= minCorrelatedFailure:
		return true
	case d.stillIsolated && reported+unreported >= minCorrelatedFailure:
		return true
	default:
		return overdue >= minCorrelatedFailure && !now.Before(d.nextHandoverAt)
	}
}

// RecordStepDown records that the controller steps down. anyReported is whether any of
// its machines had sent it a heartbeat.
func (d *IsolationDetector) RecordStepDown(anyReported bool, now time.Time) {
	if !anyReported {
		d.nextHandoverAt = now.Add(handoverBackoff)
	}
	d.nextStepDownAt = now.Add(d.backoff)
	d.backoff = min(2*d.backoff, maxStepDownBackoff)
	d.silence, d.stillIsolated = 0, true
}
