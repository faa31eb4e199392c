package coordination

import (
	"cmp"
	"slices"

	"reedtrack/internal/placement"
)

// machineRoom is the free capacity of the machine of its kind that has the most.
type machineRoom struct {
	Kind machineKind         `cbor:"Kind"`
	Free placement.Resources `cbor:"Free"`
}

// updateRoom records where the shard has room that none of its own tasks takes:
// after a plan that is what is free, since the plan has placed all that fits and
// is within its team's share. Of each kind the machine with the most free cores
// counts, or cards.
func (p *planner) updateRoom() {
	most := map[machineKind]placement.Resources{}
	for _, m := range p.machines {
		free := m.freeCapacity()
		if !m.acceptsTasks() || free[placement.Cores] <= 0 {
			continue
		}
		if known, ok := most[m.kind()]; !ok || hasMoreRoom(free, known) {
			most[m.kind()] = free
		}
	}
	p.shard.room = p.shard.room[:0]
	for kind, free := range most {
		p.shard.room = append(p.shard.room, machineRoom{kind, free})
	}
	slices.SortFunc(p.shard.room, func(a, b machineRoom) int { return compareKinds(a.Kind, b.Kind) })
}

// hasMoreRoom compares cards first, since fewer machines have them.
func hasMoreRoom(a, b placement.Resources) bool {
	return cmp.Or(
		cmp.Compare(a[placement.GPUs], b[placement.GPUs]),
		cmp.Compare(a[placement.Cores], b[placement.Cores]),
		cmp.Compare(a[placement.Memory], b[placement.Memory]),
	) > 0
}
