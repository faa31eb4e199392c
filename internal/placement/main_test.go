package placement

import (
	"testing"

	"pgregory.net/rapid"

	"reedtrack/internal/seeded"
)

func TestMain(m *testing.M) {
	seeded.Main(m)
}

// paperUCfit has the parameters of the paper's toy example, which performed best in its
// batch tests.
var paperUCfit = UCfit{A: 2, B: 1, C: 0.2}

// drawAmount draws a whole amount of a resource.
func drawAmount(t *rapid.T, name string, low, high int) float64 {
	return float64(rapid.IntRange(low, high).Draw(t, name))
}

// drawFree draws the free amount of each resource of a machine.
func drawFree(t *rapid.T, size Resources) Resources {
	var free Resources
	for i := range size {
		free[i] = drawAmount(t, "free", 0, int(size[i]))
	}
	return free
}
