package placement

import (
	"testing"

	"pgregory.net/rapid"
)

// A Selector selects the same machines as SelectBest called for every task.
func TestSelectorMatchesSelectBest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 8).Draw(t, "machines")
		size, free, preference := make([]Resources, n), make([]Resources, n), make([]int, n)
		for i := range n {
			size[i] = Resources{drawAmount(t, "cores", 1, 16), 0, drawAmount(t, "memory", 1, 32)}
			free[i] = drawFree(t, size[i])
			preference[i] = rapid.IntRange(0, 2).Draw(t, "preference")
		}
		need := Resources{drawAmount(t, "needed cores", 1, 4), 0, drawAmount(t, "needed memory", 0, 4)}
		selector := paperUCfit.NewSelector(need)
		for i := range n {
			selector.Add(i, free[i], size[i], preference[i])
		}
		byPreference := sortByPreference(preference)
		for {
			// SelectBest breaks ties by the order of its candidates.
			want := paperUCfit.SelectBest(n, func(i int) (Resources, Resources, bool) {
				i = byPreference[i]
				return free[i].Sub(need), size[i], free[i].Fits(need)
			})
			if want >= 0 {
				want = byPreference[want]
			}
			if got := selector.Best(); got != want {
				t.Fatalf("selected %d, best is %d", got, want)
			}
			if want < 0 {
				return
			}
			free[want] = free[want].Sub(need)
			selector.PlaceOnBest()
		}
	})
}

// sortByPreference returns the indices of preferences from 0 to 2, the lowest first.
func sortByPreference(preference []int) []int {
	sorted := make([]int, 0, len(preference))
	for p := range 3 {
		for i := range preference {
			if preference[i] == p {
				sorted = append(sorted, i)
			}
		}
	}
	return sorted
}
