package coordination

import (
	"testing"
	"time"
)

// Guards against a trace that attributes an expired lease to lost exchanges although another
// fault contributed.
func TestLostExchangesExplainLeaseEnd(t *testing.T) {
	at := func(seconds float64, outcome heartbeatOutcome, status int) tracedHeartbeat {
		return tracedHeartbeat{sentAt: time.Unix(0, int64(seconds*1e9)), outcome: outcome, status: status}
	}
	losing := func(seconds float64, renews bool) tracedHeartbeat {
		h := at(seconds, heartbeatAnswerLost, 0)
		h.lost, h.renews = true, renews
		return h
	}
	answered, redirected, cutOff := at(49, heartbeatDelivered, 200), at(56.2, heartbeatDelivered, 421), at(61.2, heartbeatCutOff, 0)
	first, second, third := losing(52.1, true), losing(57.1, true), losing(62.5, true)
	redirect := losing(57.1, false)
	for name, c := range map[string]struct {
		heartbeats []tracedHeartbeat
		explained  bool
	}{
		"three answers lost":             {[]tracedHeartbeat{answered, first, redirected, second, cutOff, third, redirected}, true},
		"one of them a redirect":         {[]tracedHeartbeat{answered, first, redirect, redirected, third}, true},
		"two lost":                       {[]tracedHeartbeat{answered, first, redirected, second, cutOff, redirected}, false},
		"one of them before the last":    {[]tracedHeartbeat{losing(48, true), answered, first, second}, false},
		"nobody would have renewed it":   {[]tracedHeartbeat{answered, redirect, redirect, redirect}, false},
		"a controller refused to answer": {[]tracedHeartbeat{answered, first, second, third, at(67, heartbeatDelivered, 503)}, false},
		"a refusal was lost":             {[]tracedHeartbeat{answered, first, second, third, at(67, heartbeatAnswerLost, 0)}, false},
		"the worker dropped an answer":   {[]tracedHeartbeat{answered, first, second, third, at(67, heartbeatAnswerDropped, 200)}, false},
		"a controller was down":          {[]tracedHeartbeat{answered, first, second, third, at(67, heartbeatRefused, 0)}, false},
		"sent on":                        {[]tracedHeartbeat{answered, redirected, cutOff, redirected}, false},
	} {
		if trace := (heartbeatTrace{c.heartbeats}); trace.isExplainedByLosses(answered.sentAt) != c.explained {
			t.Errorf("%s: explained by lost exchanges %v", name, !c.explained)
		}
	}
}
