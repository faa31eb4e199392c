package latency

import (
	"cmp"
	"fmt"
	"slices"
)

// Summary holds the statistics of a stage for a job class. Times are in seconds.
type Summary struct {
	Class string
	Stage Stage
	Count int
	Sum   float64
	P50   float64
	P90   float64
	P99   float64
}

// String returns the summary in its log format.
func (s Summary) String() string {
	return fmt.Sprintf("%s %s n=%d sum=%.1f p50=%.2f p90=%.2f p99=%.2f", s.Class, s.Stage, s.Count, s.Sum, s.P50, s.P90, s.P99)
}

// Summaries returns the summaries of all recorded stages, sorted by class and then by
// stage.
func (r *Recorder) Summaries() []Summary {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var summaries []Summary
	for key, s := range r.sketches {
		quantiles, err := s.GetValuesAtQuantiles([]float64{0.5, 0.9, 0.99})
		if err != nil {
			continue // empty
		}
		summaries = append(summaries, Summary{
			Class: key.class,
			Stage: key.stage,
			Count: int(s.GetCount()),
			Sum:   s.GetSum(),
			P50:   quantiles[0],
			P90:   quantiles[1],
			P99:   quantiles[2],
		})
	}
	slices.SortFunc(summaries, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Stage, b.Stage))
	})
	return summaries
}
