package cluster

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Writes of a team beyond its rate are refused with the team's name and a retry delay.
// Writes within the rate are admitted, and other teams are not affected.
func TestLimiterRefusesOneTeamOverItsRate(t *testing.T) {
	l := newLimiter(Limits{})
	now := time.Unix(1e6, 0)
	admitted := 0
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		n := 1 + rnd.IntN(200<<10)
		if err := l.reserve("t/red", "team red", 1<<20, n, now); err == nil {
			admitted += n
		} else if e := err.(*LimitError); e.RetryAfter <= 0 || e.RetryAfter > time.Second || e.Reason != "team red: more than 1024 KiB a second" {
			t.Fatal(e.RetryAfter, e)
		}
		now = now.Add(10 * time.Millisecond)
	}
	if limit := 10<<20 + 2<<20; admitted > limit || admitted < limit*9/10 {
		t.Errorf("%d bytes admitted in 10 s at 1 MiB per second", admitted)
	}
	if err := l.reserve("t/blue", "team blue", 1<<20, 100, now); err != nil {
		t.Errorf("another team: %v", err)
	}
}
