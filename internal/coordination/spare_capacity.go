package coordination

import (
	"cmp"
	"slices"

	"reedtrack/internal/placement"
)

// spareCapacity is the free capacity of the machine with the most free capacity among
// those of its kind.
type spareCapacity struct {
	Kind machineKind         `cbor:"Kind"`
	Free placement.Resources `cbor:"Free"`
}

// updateSpareCapacity records the shard's free capacity that none of its own tasks can use:
// after a plan this is all free capacity, since the plan has placed every task that fits
// and is within its team's share. Of each kind it records the machine with the most free
// accelerators, then cores.
func (p *planner) updateSpareCapacity() {
	largest := map[machineKind]placement.Resources{}
	for _, m := range p.machines {
		free := m.freeCapacity()
		if !m.acceptsTasks() || free[placement.Cores] <= 0 {
			continue
		}
		if known, ok := largest[m.kind()]; !ok || hasMoreCapacity(free, known) {
			largest[m.kind()] = free
		}
	}
	p.shard.spareCapacity = p.shard.spareCapacity[:0]
	for kind, free := range largest {
		p.shard.spareCapacity = append(p.shard.spareCapacity, spareCapacity{kind, free})
	}
	slices.SortFunc(p.shard.spareCapacity, func(a, b spareCapacity) int { return compareKinds(a.Kind, b.Kind) })
}

// hasMoreCapacity compares accelerators first, since fewer machines have them.
func hasMoreCapacity(a, b placement.Resources) bool {
	return cmp.Or(
		cmp.Compare(a[placement.GPUs], b[placement.GPUs]),
		cmp.Compare(a[placement.Cores], b[placement.Cores]),
		cmp.Compare(a[placement.Memory], b[placement.Memory]),
	) > 0
}
