package placement

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// CountFitting matches repeated subtraction for as long as Fits is true.
func TestCountFitting(t *testing.T) {
	for _, c := range []struct {
		free, need Resources
		want       int
	}{
		{Resources{12, 0, 24}, Resources{3, 0, 2}, 4},
		{Resources{12, 0, 5}, Resources{3, 0, 2}, 2},
		{Resources{12, 1, 24}, Resources{3, 1, 2}, 1},
		{Resources{12, 0, 24}, Resources{3, 1, 2}, 0},
		{Resources{0.3, 0, 1}, Resources{0.1, 0, 0.1}, 3},
		{Resources{-1, 0, 1}, Resources{1, 0, 0}, 0},
		{Resources{1, 0, 1}, Resources{}, math.MaxInt32},
	} {
		if got := c.free.CountFitting(c.need); got != c.want {
			t.Errorf("%v in %v: %d, want %d", c.need, c.free, got, c.want)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		amount := func(name string, least int) float64 { return float64(rapid.IntRange(least, 40).Draw(t, name)) / 4 }
		free := Resources{amount("cores", 0), amount("cards", 0), amount("memory", 0)}
		need := Resources{amount("task cores", 1), amount("task cards", 0), amount("task memory", 0)}
		want := 0
		for left := free; left.Fits(need); left = left.Sub(need) {
			want++
		}
		if got := free.CountFitting(need); got != want {
			t.Fatalf("%v in %v: %d, want %d", need, free, got, want)
		}
	})
}
