package latency

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestNilRecorderRecordsNothing(t *testing.T) {
	var off *Recorder
	off.Record("x", Run, time.Second)
	off.RecordSince("x", Run, off.StartTimer())
	if off.Summaries() != nil {
		t.Error("a nil recorder returns summaries")
	}
}

// The summaries match the statistics of a sorted list of all durations, within the
// accuracy of the sketch.
func TestSummariesMatchSortedDurations(t *testing.T) {
	r, random := New(), rand.New(rand.NewPCG(1, 1))
	model := map[sketchKey][]float64{}
	for range 20000 {
		key := sketchKey{fmt.Sprint("c", random.IntN(3)), Stage(random.IntN(int(stageCount)))}
		seconds := math.Exp(random.NormFloat64()*2 - 1)
		model[key] = append(model[key], seconds)
		r.Record(key.class, key.stage, time.Duration(seconds*float64(time.Second)))
	}
	summaries := r.Summaries()
	if len(summaries) != len(model) {
		t.Fatalf("%d summaries of %d stages", len(summaries), len(model))
	}
	for _, s := range summaries {
		checkSummary(t, s, model[sketchKey{s.Class, s.Stage}])
	}
}

// checkSummary compares a summary with the recorded durations of its stage, in seconds.
func checkSummary(t *testing.T, s Summary, durations []float64) {
	t.Helper()
	slices.Sort(durations)
	sum := 0.0
	for _, d := range durations {
		sum += d
	}
	if s.Count != len(durations) || math.Abs(s.Sum-sum) > 0.001*sum {
		t.Errorf("%v: %d durations, sum %g", s, len(durations), sum)
	}
	for quantile, got := range map[float64]float64{0.5: s.P50, 0.9: s.P90, 0.99: s.P99} {
		if want := durations[int(quantile*float64(len(durations)-1))]; math.Abs(got-want) > 2.1*relativeAccuracy*want {
			t.Errorf("%v: quantile %g is %g", s, quantile, want)
		}
	}
}

// Memory is bounded regardless of the number of class names, which users choose.
func TestClassesAreBounded(t *testing.T) {
	r := New()
	for class := range 3 {
		for stage := range stageCount {
			r.Record(fmt.Sprint("c", class), stage, time.Second)
		}
	}
	for i := range 10000 {
		r.Record(fmt.Sprint("many", i), Run, time.Second)
	}
	summaries := r.Summaries()
	if got := len(summaries); got > (maxClasses+1)*int(stageCount) {
		t.Errorf("%d summaries", got)
	}
	if first := summaries[0]; first.Class != otherClasses || first.Count < 9900 {
		t.Errorf("first summary %v, want the classes beyond the limit", first)
	}
}
