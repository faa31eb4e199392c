package placement

import (
	"testing"

	"pgregory.net/rapid"
)

// SelectVictims frees enough capacity if preempting all victims does, and each selected
// victim is needed.
func TestSelectVictimsFreesEnoughWithoutExcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.Custom(func(t *rapid.T) Resources {
			return Resources{drawAmount(t, "cores", 0, 4), 0, drawAmount(t, "memory", 0, 4)}
		})
		free, need := amount.Draw(t, "free"), amount.Draw(t, "need")
		var victims []Victim
		for range rapid.IntRange(0, 6).Draw(t, "victims") {
			victims = append(victims, Victim{Resources: amount.Draw(t, "victim"), Cost: drawAmount(t, "cost", 1, 9)})
		}
		fitsAfter := func(subset int) bool { // subset has a bit for each preempted victim
			room := free
			for i, v := range victims {
				if subset&(1<<i) != 0 {
					room = room.Add(v.Resources)
				}
			}
			return room.Fits(need)
		}
		selected, _ := SelectVictims(free, need, victims)
		subset := 0
		for _, i := range selected {
			subset |= 1 << i
		}
		if possible := fitsAfter(1<<len(victims) - 1); possible != fitsAfter(subset) {
			t.Fatalf("possible %v, but %v frees enough: %v", possible, selected, fitsAfter(subset))
		}
		for _, i := range selected {
			if fitsAfter(subset &^ (1 << i)) {
				t.Fatalf("victim %d of %v is not needed", i, selected)
			}
		}
	})
}
