package placement

// Victim is a running task that could be preempted.
type Victim struct {
	Resources Resources // freed by preempting it
	Cost      float64   // of preempting it, in any unit
}

// SelectVictims returns the indices of cheap victims on one machine whose preemption makes
// need fit into the free capacity, and the sum of their costs; nil if all of them are not
// enough. It starts with the full set and removes unneeded victims, most expensive first,
// so that every selected victim is needed. The result is not always the cheapest set, which
// would require a search of all subsets.
func SelectVictims(free, need Resources, victims []Victim) ([]int, float64) {
	spared := make([]bool, len(victims))
	room := free // plus the resources of all victims that are not spared
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
