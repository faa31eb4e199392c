package session

import "testing"

func TestHistoryKnowsExpiredSessions(t *testing.T) {
	for _, c := range []struct {
		name     string
		observed []uint64
		expired  []uint64
		unknown  []uint64
	}{
		{"nothing observed", nil, nil, []uint64{0, 1}},
		{"current session", []uint64{1}, nil, []uint64{0, 1, 2}},
		{"key deleted", []uint64{1, 0}, []uint64{1}, []uint64{0, 2}},
		{"replaced", []uint64{1, 2}, []uint64{1}, []uint64{2}},
		{"current again", []uint64{1, 2, 1}, []uint64{2}, []uint64{1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var h History
			for _, session := range c.observed {
				h.Observe(session)
			}
			for _, session := range c.expired {
				if !h.IsExpired(session) {
					t.Errorf("session %d is not known to have expired", session)
				}
			}
			for _, session := range c.unknown {
				if h.IsExpired(session) {
					t.Errorf("session %d is considered expired", session)
				}
			}
		})
	}
}

func TestHistoryIsBounded(t *testing.T) {
	var h History
	for session := uint64(1); session <= maxHistory+2; session++ {
		h.Observe(session)
	}
	if len(h.expired) != maxHistory || h.IsExpired(1) || !h.IsExpired(2) {
		t.Errorf("recorded sessions: %v", h.expired)
	}
}
