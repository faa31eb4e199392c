package coordination

import (
	"cmp"
	"slices"
	"time"

	"reedtrack/internal/clusterstate"
	"reedtrack/internal/failuredetector"
	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// scaleOutPlanner computes the machines that a shard requests.
type scaleOutPlanner struct {
	shard         *shard
	input         *planInput
	bins          []scaleOutBin
	maxNew        int           // number of machines that may still be requested
	suitableKinds []machineKind // kinds on which any of the tasks may run
}

// scaleOutBin is a machine that unplaced tasks are packed onto: one that is expected to
// be available soon, or a new one to request.
type scaleOutBin struct {
	kind  machineKind
	free  placement.Resources
	size  placement.Resources
	slots int // number of tasks that it may still be given
	isNew bool
}

// newBin returns an empty machine.
func newBin(kind machineKind, size placement.Resources) scaleOutBin {
	return scaleOutBin{kind: kind, free: size, size: size, slots: protocol.MaxReportedTasks}
}

// hasSlotFor reports whether the machine has a slot for one more task of a job.
func (b *scaleOutBin) hasSlotFor(j *job) bool {
	return slotsFor(b.slots, b.size, j.taskResources) > 0
}

// planScaleOut computes which machines to request for unplaced tasks: they are packed
// onto booting machines first, then onto new machines of the best-scoring type.
//
// Tasks on machines to be reclaimed will need other machines, so they are packed as
// well: machines are requested for those that fit on none that exists or boots.
func (s *shard) planScaleOut(unplaced, reclaimed []unplacedTasks, input *planInput, now time.Time) {
	planner := &scaleOutPlanner{shard: s, input: input}
	planner.addMachines(now)
	bootingCount := planner.addBooting()
	planner.maxNew = s.maxNewMachines(bootingCount, input)
	withoutMachine := map[string]storage.Resources{} // by team: what fits on no machine, booting ones included
	for _, tasks := range unplaced {
		tasks.job.addTaskResources(withoutMachine, tasks.count-planner.pack(tasks))
	}
	for _, tasks := range reclaimed {
		planner.pack(tasks)
	}
	s.updateStalls(withoutMachine, input.heartbeatInterval, now)
	s.suitableKinds = planner.suitableKinds
	s.scaleOut = planner.requests()
}

// addMachines adds machines of the shard that are unavailable now but expected to be
// available soon.
func (p *scaleOutPlanner) addMachines(now time.Time) {
	for _, m := range p.shard.sortedMachines() {
		// A late heartbeat will most likely still arrive. And a recently granted
		// machine is about to report to this holder: without this, replacements would
		// be requested during that second.
		isLate := m.health == failuredetector.Suspect || m.isRecentlyGranted(p.input.heartbeatInterval, now)
		isUsable := !m.isExpired() && !m.cordoned && !m.slow && !m.releasing && m.reclaimAt.IsZero()
		if isLate && isUsable {
			p.bins = append(p.bins, scaleOutBin{kind: m.kind(), free: m.freeCapacity(), size: m.capacity, slots: m.freeTaskSlots()})
		}
	}
}

// isRecentlyGranted reports whether a machine was granted under this holder's lease so
// recently that its first heartbeat is not overdue yet.
func (m *machine) isRecentlyGranted(heartbeatInterval time.Duration, now time.Time) bool {
	timing := failuredetector.Timing{HeartbeatInterval: heartbeatInterval}
	return !m.hasReported() && !m.grantedAt.IsZero() && now.Sub(m.grantedAt) < timing.UnreachableAfter()
}

// addBooting adds the shard's booting machines, and returns their number.
func (p *scaleOutPlanner) addBooting() int {
	count := 0
	for _, request := range p.shard.booting {
		if p.input.unreachableZones[request.Kind.Zone] {
			continue // their heartbeats would not arrive
		}
		size := p.input.machineSize(request.Kind.MachineType)
		for range request.Count {
			p.bins = append(p.bins, newBin(request.Kind, size))
			count++
		}
	}
	return count
}

// maxNewMachines returns how many machines may be requested. A full grant record has no
// space for more machines: they would stay idle and be released. And while this
// controller is isolated, the number of lost machines is uncertain: then only a few are
// requested, as probes.
func (s *shard) maxNewMachines(bootingCount int, input *planInput) int {
	count := input.maxMachines - len(s.machines) - bootingCount
	if input.isolated {
		count = min(count, failuredetector.MaxProbes(len(s.machines))-s.bootingCount())
	}
	return count
}

// pack packs tasks of one job onto the bins, and adds a new bin whenever none fits, as
// long as more machines may be requested. It returns the number of tasks packed onto
// existing or booting machines.
func (p *scaleOutPlanner) pack(tasks unplacedTasks) (onKnownMachines int) {
	j := tasks.job
	kinds := j.suitableKinds(p.input)
	p.addSuitableKinds(kinds)
	newKind, canRequest := p.shard.selectKind(j, kinds, p.input)
	selector := p.input.params.NewSelector(j.taskResources)
	for i, bin := range p.bins {
		if bin.hasSlotFor(j) && bin.free.Fits(j.taskResources) && j.allows(bin.kind.MachineType, bin.kind.Zone, bin.kind.Spot) {
			selector.Add(i, bin.free, bin.size, 0)
		}
	}
	for range tasks.count {
		i := selector.Best()
		if i < 0 {
			if !canRequest || p.maxNew <= 0 {
				return onKnownMachines
			}
			i = p.addNew(newKind)
			selector.Add(i, p.bins[i].free, p.bins[i].size, 0)
		}
		p.bins[i].free = p.bins[i].free.Sub(j.taskResources)
		p.bins[i].slots--
		if p.bins[i].hasSlotFor(j) {
			selector.PlaceOnBest()
		} else {
			selector.RemoveBest()
		}
		if !p.bins[i].isNew {
			onKnownMachines++
		}
	}
	return onKnownMachines
}

// addSuitableKinds adds the kinds that suitableKinds lacks.
func (p *scaleOutPlanner) addSuitableKinds(kinds []machineKind) {
	for _, kind := range kinds {
		if !slices.Contains(p.suitableKinds, kind) {
			p.suitableKinds = append(p.suitableKinds, kind)
		}
	}
}

// addNew adds a bin for a machine to request, and returns its index.
func (p *scaleOutPlanner) addNew(kind machineKind) int {
	size := p.input.machineSize(kind.MachineType)
	bin := newBin(kind, size)
	bin.isNew = true
	p.bins = append(p.bins, bin)
	p.maxNew--
	return len(p.bins) - 1
}

// requests returns the machines to request, by kind.
func (p *scaleOutPlanner) requests() []machineRequest {
	counts := map[machineKind]int{}
	for _, bin := range p.bins {
		if bin.isNew {
			counts[bin.kind]++
		}
	}
	var requests []machineRequest
	for kind, count := range counts {
		requests = append(requests, machineRequest{kind, count})
	}
	sortRequests(requests)
	return requests
}

// sortRequests sorts requests by kind, so that they don't depend on the
// iteration order of a map.
func sortRequests(requests []machineRequest) {
	slices.SortFunc(requests, func(a, b machineRequest) int { return compareKinds(a.Kind, b.Kind) })
}

// compareKinds orders kinds by type and zone, and on-demand before spot machines.
func compareKinds(a, b machineKind) int {
	return cmp.Or(
		cmp.Compare(a.MachineType, b.MachineType),
		cmp.Compare(a.Zone, b.Zone),
		compareBools(a.Spot, b.Spot),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// suitableKinds lists the kinds of machines on which a job's tasks may run, in
// catalog order.
func (j *job) suitableKinds(input *planInput) []machineKind {
	var kinds []machineKind
	for _, machineType := range input.machineTypes {
		if !clusterstate.SizeOf(machineType).Fits(j.taskResources) {
			continue
		}
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				if j.allows(machineType.Name, zone, spot) {
					kinds = append(kinds, machineKind{machineType.Name, zone, spot})
				}
			}
		}
	}
	return kinds
}

// canHostLater reports whether a job's tasks can wait for capacity: they would fit on a
// machine of the shard if it were empty, or machines are booting.
func (s *shard) canHostLater(j *job) bool {
	for _, m := range s.machines {
		if m.isSchedulable() && m.capacity.Fits(j.taskResources) && j.allows(m.lease.MachineType, m.lease.Zone, m.lease.Spot) {
			return true
		}
	}
	return len(s.booting) > 0
}

// selectKind selects the kind of machine to request for a job: the best-scoring type
// among the candidate kinds, in the zone with the fewest machines of the shard. It returns
// false if there is no candidate.
func (s *shard) selectKind(j *job, kinds []machineKind, input *planInput) (machineKind, bool) {
	candidates := s.candidateKinds(j, kinds, input)
	if len(candidates) == 0 {
		return machineKind{}, false
	}
	inZone := s.machinesByZone()
	slices.SortStableFunc(candidates, func(a, b machineKind) int { return inZone[a.Zone] - inZone[b.Zone] })
	i := input.params.SelectBest(len(candidates), func(i int) (placement.Resources, placement.Resources, bool) {
		size := input.machineSize(candidates[i].MachineType)
		return size.Sub(j.taskResources), size, true
	})
	return candidates[i], true
}

// candidateKinds lists the kinds that may be requested for a job: spot machines if
// available, otherwise on-demand machines, unless the job can wait for a spot machine.
func (s *shard) candidateKinds(j *job, kinds []machineKind, input *planInput) []machineKind {
	var candidates []machineKind
	for _, spot := range []bool{true, false} {
		for _, kind := range kinds {
			if kind.Spot == spot && !input.hasNoCapacity(kind) && !input.unreachableZones[kind.Zone] && j.zoneAllows(kind.Zone) {
				candidates = append(candidates, kind)
			}
		}
		canWait := j.spec.Spot && j.urgency < protocol.PriorityHigh && s.canHostLater(j)
		if len(candidates) > 0 || spot && canWait {
			return candidates
		}
	}
	return nil
}

// machinesByZone counts the shard's machines, booting ones included, by zone.
func (s *shard) machinesByZone() map[string]int {
	count := map[string]int{}
	for _, m := range s.machines {
		count[m.lease.Zone]++
	}
	for _, request := range s.booting {
		count[request.Kind.Zone] += request.Count
	}
	return count
}
