package capture

import (
	"bytes"
	"path/filepath"
	"testing"
	"time"

	pb "reedtrack/internal/outputs/outputsv1"
	"reedtrack/internal/outputs/spool"
)

// A task that constantly exceeds the rate limit or the spool's capacity is delayed by at
// most its budget of 5 s plus a fiftieth of the elapsed time.
func TestAdmissionDelayIsBounded(t *testing.T) {
	const maxDelay = 5 * time.Second
	for _, c := range []struct {
		name   string
		limits Limits
	}{
		{"rate", Limits{BytesPerSecond: 1 << 20, MaxDelay: maxDelay}},
		{"spool that is never emptied", Limits{MaxDelay: maxDelay}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sp, err := spool.Open(filepath.Join(t.TempDir(), "s"), 20<<20, 1<<20)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(sp.Close)
			a := newAdmission(sp, c.limits)
			now, delayed := time.Unix(1e6, 0), time.Duration(0)
			a.now = func() time.Time { return now }
			a.sleep = func(d time.Duration) { delayed += d; now = now.Add(d) }
			a.delayedAt = now
			started := now
			data := bytes.Repeat([]byte("x"), 60000)
			for range 2000 { // 120 MB, at 60 MB/s without delays
				a.admit(&pb.Record{AtNs: now.UnixNano(), Stream: 1, Data: data})
				now = now.Add(time.Millisecond)
			}
			passed := now.Sub(started)
			if limit := maxDelay + passed/delayRegainDivisor; delayed > limit || delayed < time.Second {
				t.Errorf("delayed for %v in %v, want between 1s and %v", delayed, passed, limit)
			}
		})
	}
}
