package dispatch

// Start tracks the start of one attempt of a task on a worker. The zero value is a start
// that has not been sent.
type Start struct {
	inResponse bool   // sent in the response to a heartbeat
	reported   bool   // the worker has reported that it has, or had, the attempt
	mayArrive  bool   // sent directly: the message may arrive, also after it was answered
	message    uint64 // the latest direct message that carried it
	token      uint64 // fencing token of that message
}

// IsSent reports whether the start has been sent in any way. If so, only a heartbeat of the
// worker or the expiry of its lease can prove that it has no effect.
func (s *Start) IsSent() bool { return s.inResponse || s.reported || s.mayArrive }

// IsKnown reports whether the worker is known to have, or to have had, the
// attempt.
func (s *Start) IsKnown() bool { return s.reported }

// IsUnconfirmed reports whether a direct message may have started the attempt, or may still
// do so, and no report of the worker confirms it.
func (s *Start) IsUnconfirmed() bool { return s.mayArrive && !s.reported }

// Token returns the fencing token of the latest direct message that carried the start, and
// 0 if there was none. A worker that has received a higher token rejects the message.
func (s *Start) Token() uint64 { return s.token }

// IsDue reports whether the next response to a heartbeat must carry the start: it has not
// been sent, or only directly.
func (s *Start) IsDue() bool { return !s.inResponse && !s.reported }

// MarkSentInResponse records that the start is sent in the response to a heartbeat.
func (s *Start) MarkSentInResponse() { s.inResponse = true }

// MarkReported records that the worker has reported the attempt.
func (s *Start) MarkReported() { s.reported = true }

// ConfirmAbsent is called for an attempt that the newest heartbeat does not list. It
// reports whether the attempt is certainly not on the worker and can't be started there by
// earlier messages. workerToken is the fencing token in the heartbeat: a message with a
// lower one is rejected. If absence is not certain, the start becomes due again (see IsDue).
func (s *Start) ConfirmAbsent(workerToken uint64, disabled DisabledGuards) bool {
	if !s.IsSent() {
		return false
	}
	if s.mayArrive && workerToken <= s.token && !disabled.has(WithoutBinding) {
		s.inResponse, s.reported = false, false
		return false
	}
	return true
}
