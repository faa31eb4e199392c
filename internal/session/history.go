package session

import "slices"

// History records the expired sessions of another controller, as observed from changes of
// its key. It distinguishes delayed messages of a terminated process from messages of its
// successor. The zero value is empty.
type History struct {
	current uint64
	expired []uint64 // in order of expiry
}

// maxHistory is the maximum number of recorded sessions. A message may be delayed for
// minutes, during which a crash-looping process may open several sessions.
const maxHistory = 16

// Observe records the session that the controller's key currently names; 0 for none.
func (h *History) Observe(session uint64) {
	if h.current != 0 && h.current != session && !slices.Contains(h.expired, h.current) {
		h.expired = append(h.expired, h.current)
		h.expired = h.expired[max(0, len(h.expired)-maxHistory):]
	}
	h.current = session
}

// IsExpired reports whether a session is known to have expired.
func (h *History) IsExpired(session uint64) bool {
	return session != 0 && session != h.current && slices.Contains(h.expired, session)
}
