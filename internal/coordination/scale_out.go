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

// scaleOutPlanner computes which machines a shard requests.
type scaleOutPlanner struct {
	shard         *shard
	input         *planInput
	bins          []scaleOutBin
	maxNew        int           // how many more machines may be requested
	suitableKinds []machineKind // kinds on which some of the tasks may run
}

// scaleOutBin is a machine that tasks without a place are packed onto: one that
// will soon take them, or a new one that is to be requested.
type scaleOutBin struct {
	kind  machineKind
	free  placement.Resources
	size  placement.Resources
	isNew bool
}

// planScaleOut computes which machines to request for tasks that fit nowhere:
// first booting machines are filled, then the best-scoring type is added for
// each task that is left.
//
// Tasks on reclaimed machines will need another machine; only one that is there
// already, or boots, spares requesting one now.
func (s *shard) planScaleOut(unplaced, reclaimed []unplacedTasks, input *planInput, now time.Time) {
	planner := &scaleOutPlanner{shard: s, input: input}
	planner.addMachines(now)
	bootingCount := planner.addBooting()
	planner.maxNew = s.maxNewMachines(bootingCount, input)
	withoutMachine := map[string]storage.Resources{} // by team: what no machine will take, booting ones included
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

// addMachines adds machines of the shard that are not available now but are
// expected to be soon.
func (p *scaleOutPlanner) addMachines(now time.Time) {
	for _, m := range p.shard.sortedMachines() {
		// A late heartbeat most likely still comes. And a machine that has just
		// been granted is about to report to this holder: without this, others
		// would be requested in its place for that second.
		isLate := m.health == failuredetector.Suspect || m.isJustGranted(p.input.heartbeatInterval, now)
		isUsable := !m.isExpired() && !m.cordoned && !m.slow && !m.releasing && m.reclaimAt.IsZero()
		if isLate && isUsable {
			p.bins = append(p.bins, scaleOutBin{kind: m.kind(), free: m.freeCapacity(), size: m.capacity})
		}
	}
}

// isJustGranted reports whether a machine was granted under this holder's lease
// so recently that its first heartbeat is not overdue.
func (m *machine) isJustGranted(heartbeatInterval time.Duration, now time.Time) bool {
	timing := failuredetector.Timing{HeartbeatInterval: heartbeatInterval}
	return !m.hasReported() && !m.grantedAt.IsZero() && now.Sub(m.grantedAt) < timing.UnreachableAfter()
}

// addBooting adds the machines that boot for the shard, and returns how many.
func (p *scaleOutPlanner) addBooting() int {
	count := 0
	for _, request := range p.shard.booting {
		if p.input.unreachableZones[request.Kind.Zone] {
			continue // nobody would receive its heartbeats
		}
		size := p.input.machineSize(request.Kind.MachineType)
		for range request.Count {
			p.bins = append(p.bins, scaleOutBin{kind: request.Kind, free: size, size: size})
			count++
		}
	}
	return count
}

// maxNewMachines returns how many machines may be requested. A full grant record
// takes no more machines: they would stay idle and be released. And while hardly
// any heartbeat arrives here, it is not known what is missing: then a few
// machines are requested to find out.
func (s *shard) maxNewMachines(bootingCount int, input *planInput) int {
	count := input.maxMachines - len(s.machines) - bootingCount
	if input.isolated {
		count = min(count, failuredetector.MaxProbes(len(s.machines))-s.bootingCount())
	}
	return count
}

// pack packs tasks of one job onto the bins, and adds a new one whenever none
// has room, for as long as one may be requested. It returns for how many tasks
// there is a machine already, be it one that boots.
func (p *scaleOutPlanner) pack(tasks unplacedTasks) (onKnownMachines int) {
	j := tasks.job
	kinds := j.suitableKinds(p.input)
	p.addSuitableKinds(kinds)
	newKind, canRequest := p.shard.selectKind(j, kinds, p.input)
	selector := p.input.params.NewSelector(j.taskResources)
	for i, bin := range p.bins {
		if bin.free.Fits(j.taskResources) && j.allows(bin.kind.MachineType, bin.kind.Zone, bin.kind.Spot) {
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
		selector.PlaceOnBest()
		p.bins[i].free = p.bins[i].free.Sub(j.taskResources)
		if !p.bins[i].isNew {
			onKnownMachines++
		}
	}
	return onKnownMachines
}

// addSuitableKinds adds kinds that are not listed yet.
func (p *scaleOutPlanner) addSuitableKinds(kinds []machineKind) {
	for _, kind := range kinds {
		if !slices.Contains(p.suitableKinds, kind) {
			p.suitableKinds = append(p.suitableKinds, kind)
		}
	}
}

// addNew adds a machine to request, and returns the index of its bin.
func (p *scaleOutPlanner) addNew(kind machineKind) int {
	size := p.input.machineSize(kind.MachineType)
	p.bins = append(p.bins, scaleOutBin{kind: kind, free: size, size: size, isNew: true})
	p.maxNew--
	return len(p.bins) - 1
}

// requests counts the machines to request by kind.
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

// compareKinds orders kinds by type, zone and price class.
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

// canHostLater reports whether a job's tasks fit on some machine of the shard
// once it is free, or machines boot: then they can wait.
func (s *shard) canHostLater(j *job) bool {
	for _, m := range s.machines {
		if m.isSchedulable() && m.capacity.Fits(j.taskResources) && j.allows(m.lease.MachineType, m.lease.Zone, m.lease.Spot) {
			return true
		}
	}
	return len(s.booting) > 0
}

// selectKind selects what to request: the best-scoring type among the candidate
// kinds, in the zone with the fewest machines of the shard; false if there is no
// candidate.
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

// candidateKinds lists the kinds that may be requested for a job: spot machines
// where any can be had, and on-demand machines otherwise, unless the job can
// wait for a spot machine.
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
