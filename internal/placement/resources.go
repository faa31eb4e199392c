package placement

import "math"

// The kindCount of resources, as indices of [Resources].
const (
	Cores     = iota
	GPUs      // accelerators
	Memory    // GB
	kindCount // their number
)

// Resources is an amount of each kind of resource.
type Resources [kindCount]float64

// epsilon absorbs rounding errors of decimal amounts.
const epsilon = 1e-9

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	for i := range r {
		if need[i] > r[i]+epsilon {
			return false
		}
	}
	return true
}

// CountFitting returns how many times need fits into r, at most [math.MaxInt32].
func (r Resources) CountFitting(need Resources) int {
	count := float64(math.MaxInt32)
	for i := range r {
		if need[i] > 0 {
			count = min(count, math.Floor(r[i]/need[i]+epsilon))
		}
	}
	return max(0, int(count))
}

// Add returns r + other.
func (r Resources) Add(other Resources) Resources {
	for i := range r {
		r[i] += other[i]
	}
	return r
}

// Sub returns r - other.
func (r Resources) Sub(other Resources) Resources {
	for i := range r {
		r[i] -= other[i]
	}
	return r
}
