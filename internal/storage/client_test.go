package storage

import (
	"testing"
	"testing/synctest"
	"time"
)

// The budget for writes follows leadership and the service's limits; to say
// again what holds does not spend what was saved up.
func TestWriteBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClientOver(nil, 1000, 60, 7)
		had := c.Had() // one of nine parts of 54: 6
		c.Lead(true, 60, 7)
		time.Sleep(700 * time.Millisecond) // at 18 a second
		saved := c.Had()
		for range 3 {
			c.Lead(true, 60, 7)
		}
		if had != 6 || saved < 15 || c.Had() < saved {
			t.Errorf("%d at first, %d saved up as leader, then %d", had, saved, c.Had())
		}
		c.Lead(false, 40, 7)
		if got := c.Had(); got != 4 {
			t.Errorf("%d when the limit has fallen", got)
		}
	})
}
