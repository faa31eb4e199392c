package latency

import (
	"sync"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

const (
	// relativeAccuracy is the relative error of a quantile, which is smaller than any
	// relevant effect of a scheduler change.
	relativeAccuracy = 0.02
	// maxBins bounds the memory of a sketch; beyond it the bins of the shortest
	// durations, which are the least relevant, are merged.
	maxBins = 512
	// maxClasses bounds the number of separate job classes, and thereby the memory of a
	// recorder, since class names are chosen by users.
	maxClasses = 64
)

// otherClasses is the class for the durations of all classes beyond maxClasses. A class
// to which a user gives this name is included.
const otherClasses = "(others)"

// Recorder records durations. All methods are safe for concurrent use and may be called on nil.
type Recorder struct {
	mu       sync.Mutex
	classes  map[string]bool
	sketches map[sketchKey]*sketch
}

type sketchKey struct {
	class string
	stage Stage
}

type sketch = ddsketch.DDSketchWithExactSummaryStatistics

// New returns an empty recorder.
func New() *Recorder {
	return &Recorder{classes: map[string]bool{}, sketches: map[sketchKey]*sketch{}}
}

// Record records the duration of a stage for a job class.
func (r *Recorder) Record(class string, stage Stage, took time.Duration) {
	if r == nil || stage >= stageCount {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := sketchKey{r.boundedClass(class), stage}
	s := r.sketches[key]
	if s == nil {
		var err error
		if s, err = newSketch(); err != nil {
			return
		}
		r.sketches[key] = s
	}
	// With clock skew between two machines, a stage may end before it starts.
	_ = s.Add(max(0, took.Seconds()))
}

// boundedClass returns the class under which the durations of a class are recorded. The
// caller holds mu.
func (r *Recorder) boundedClass(class string) string {
	if r.classes[class] {
		return class
	}
	if len(r.classes) >= maxClasses {
		class = otherClasses
	}
	r.classes[class] = true
	return class
}

// newSketch returns an empty sketch. It fails only if relativeAccuracy is out of range.
func newSketch() (*sketch, error) {
	m, err := mapping.NewLogarithmicMapping(relativeAccuracy)
	if err != nil {
		return nil, err
	}
	newStore := func() store.Store { return store.NewCollapsingLowestDenseStore(maxBins) }
	return ddsketch.NewDDSketchWithExactSummaryStatistics(m, newStore), nil
}

// StartTimer returns the current time for RecordSince, or the zero time, without reading
// the clock, if recording is disabled.
func (r *Recorder) StartTimer() time.Time {
	if r == nil {
		return time.Time{}
	}
	return time.Now()
}

// RecordSince records a stage that lasted from start until now. It ignores a zero start,
// which StartTimer returns while recording is disabled.
func (r *Recorder) RecordSince(class string, stage Stage, start time.Time) {
	if r != nil && !start.IsZero() {
		r.Record(class, stage, time.Since(start))
	}
}
