package placement

// Victim is a running task that could be preempted.
type Victim struct {
	Resources Resources // that it would free
	Cost      float64   // of preempting it, in any unit
}

// SelectVictims returns the indices of cheap victims, all on one machine, whose end
// makes need fit into what is free, and the sum of their costs; nil if all of them are
// not enough. It begins with the full set and spares the chosen expensive first, so every
// victim that remains is needed. That is not always the cheapest set, which would take
// a search of all subsets.
func SelectVictims(free, need Resources, victims []Victim) ([]int, float64) {
	spared := make([]bool, len(victims))
	room := free // with the end of all that are not spared
	for _, v := range victims {
		room = room.Add(v.Resources)
	}
	if !room.Fits(need) {
		return nil, 0
	}
	for {
		i := mostExpensiveUnneeded(room, need, victims, spared)
		if i < 0 {
			break
		}
		spared[i] = true
		room = room.Sub(victims[i].Resources)
	}
	var selected []int
	var cost float64
	for i, v := range victims {
		if !spared[i] {
			selected = append(selected, i)
			cost += v.Cost
		}
	}
	return selected, cost
}

// mostExpensiveUnneeded returns the most expensive of the victims that are not needed;
// -1 if all are.
func mostExpensiveUnneeded(room, need Resources, victims []Victim, spared []bool) int {
	chosen := -1
	for i, v := range victims {
		if spared[i] || !room.Sub(v.Resources).Fits(need) {
			continue
		}
		if chosen < 0 || v.Cost > victims[chosen].Cost {
			chosen = i
		}
	}
	return chosen
}
