package quota

import "reedtrack/internal/storage"

// epsilon absorbs rounding errors in sums of decimal amounts.
const epsilon = 1e-9

// The resourceCount that a quota limits.
const (
	cores = iota
	gpus
	resourceCount // their number
)

// vector is an amount of each resource.
type vector [resourceCount]float64

func vectorOf(a storage.Resources) vector { return vector{cores: a.Cores, gpus: a.GPUs} }

func (v vector) amount() storage.Resources { return storage.Resources{Cores: v[cores], GPUs: v[gpus]} }

// plus returns v + other.
func (v vector) plus(other vector) vector {
	for r := range v {
		v[r] += other[r]
	}
	return v
}
