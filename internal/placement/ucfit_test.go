package placement

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// The paper's toy example (section 6): VM 3 on PM 2 leaves (0,1) of (5,6) and has
// 0.013; VM 1 on PM 1 leaves (3,4) of (7,7) and has 0.12; VM 2 there would leave (5,3)
// and has 0.25.
func TestScoreMatchesPaper(t *testing.T) {
	for _, c := range []struct {
		name       string
		free, size Resources
		want       float64
	}{
		{"VM 3 on PM 2", Resources{0, 1, 0}, Resources{5, 6, 0}, 0.013},
		{"VM 1 on PM 1", Resources{3, 4, 0}, Resources{7, 7, 0}, 0.12},
		{"VM 2 on PM 1", Resources{5, 3, 0}, Resources{7, 7, 0}, 0.25},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := paperUCfit.Score(c.free, c.size); math.Abs(got-c.want) > 0.006 {
				t.Errorf("Score(%v of %v) = %.4f, the paper has %v", c.free, c.size, got, c.want)
			}
		})
	}
}

// Calculated by hand from equation (8): RCV (1/2, 1/4), RUV (1/2, 3/4): |RCV|² = 5/16,
// cos θ = (1/4+3/16)/√(5/16·13/16) = 7/√65, sin θ = 4/√65.
func TestScoreMatchesHandCalculation(t *testing.T) {
	got := paperUCfit.Score(Resources{4, 0, 4}, Resources{8, 0, 16})
	want := 5.0 / 32 * (4/math.Sqrt(65) + 0.2)
	if math.Abs(got-want) > 1e-12 {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestScoreOfFullAndUnusedMachine(t *testing.T) {
	size := Resources{8, 0, 16}
	if score := paperUCfit.Score(Resources{}, size); score != 0 {
		t.Errorf("a full machine scores %v", score)
	}
	if score := paperUCfit.Score(size, size); score <= 0 || math.IsNaN(score) {
		t.Errorf("an unused machine scores %v", score)
	}
}

// modelScore computes equation (8) directly from the angle.
func modelScore(free, size Resources, u UCfit) float64 {
	var rcv, ruv []float64
	for i := range size {
		if size[i] > 0 {
			rcv = append(rcv, free[i]/size[i])
			ruv = append(ruv, 1-free[i]/size[i])
		}
	}
	if norm(rcv) == 0 {
		return 0
	}
	theta := 0.0
	if norm(ruv) > 0 {
		dot := 0.0
		for i := range rcv {
			dot += rcv[i] * ruv[i]
		}
		theta = math.Acos(min(1, dot/norm(rcv)/norm(ruv)))
	}
	return math.Pow(norm(rcv)/math.Sqrt(float64(len(rcv))), u.A) * math.Pow(math.Sin(theta)+u.C, u.B)
}

func norm(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x * x
	}
	return math.Sqrt(sum)
}

// SelectBest matches an exhaustive search by the model's score.
func TestSelectBestMatchesSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 8).Draw(t, "machines")
		size, free := make([]Resources, n), make([]Resources, n)
		for i := range n {
			size[i] = Resources{drawAmount(t, "cores", 1, 32), drawAmount(t, "cards", 0, 2), drawAmount(t, "memory", 1, 64)}
			free[i] = drawFree(t, size[i])
		}
		need := Resources{drawAmount(t, "needed cores", 1, 8), 0, drawAmount(t, "needed memory", 0, 8)}
		got := paperUCfit.SelectBest(n, func(i int) (Resources, Resources, bool) {
			return free[i].Sub(need), size[i], free[i].Fits(need)
		})
		lowest := math.Inf(1)
		for i := range n {
			if free[i][Cores] >= need[Cores] && free[i][Memory] >= need[Memory] {
				lowest = min(lowest, modelScore(free[i].Sub(need), size[i], paperUCfit))
			}
		}
		if got < 0 {
			if !math.IsInf(lowest, 1) {
				t.Fatalf("none chosen, there is one that scores %v", lowest)
			}
			return
		}
		if !free[got].Fits(need) {
			t.Fatalf("the task does not fit machine %d", got)
		}
		if score := modelScore(free[got].Sub(need), size[got], paperUCfit); score > lowest+1e-6 {
			t.Fatalf("chose %v, lowest is %v", score, lowest)
		}
	})
}
