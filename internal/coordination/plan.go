package coordination

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"reedtrack/internal/clusterstate"
	"reedtrack/internal/config"
	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// # The scheduler
//
// A controller plans each of its shards by itself, several times a second: from
// the shard's jobs and machines and a snapshot of the deployment (planInput) to
// decisions on tasks and machines. It takes no lock, does no I/O and decides by
// no clock: the caller holds the Node's lock, and passes the time. (Only the
// latency record reads the clock by itself.)
//
// The steps of a plan, in their order. What one step decides, it applies to the
// shard at once, so the next step sees it; only what found no place is handed
// on, as a list of unplacedTasks in queue order. The cost is the order of growth:
// M, J, U and P stand for the numbers of the shard's machines, jobs with pending
// tasks, jobs among the unplaced and placed tasks.
//
//	step                      reads                          writes                      cost
//	orderQueue                jobs, capacity, booting        queue                       J log J
//	  (queue.go)              machines, deadlines                                        and Snapshot.Order
//	placePending              queue, free capacity, quota,   attempts, desired,          J·M + P log M
//	  (placement.go)          jobs that are held back        smallestTask; unplaced,
//	                                                         leaving
//	drain                     condition of machines          stops, unsent attempts      P
//	  (drain.go)                                             taken back
//	excludeStopping           attempts that are stopping     shorter unplaced            P + U·M
//	  (preemption.go)
//	preempt (full)            attempts, priorities,          stops; shorter unplaced     U·P
//	  (preemption.go)         guarantees
//	planScaleOut              unplaced, leaving, booting     scaleOut, suitableKinds,    U·M
//	  (scale_out.go)                                         stalls, startable
//	consolidate (full)        attempts, prices               draining, stops             P·M
//	  (drain.go)
//	markMachinesInUse         attempts                       idleSince                   M
//	updateRoom                free capacity                  room                        M
//	  (shard_room.go)
//
// The order matters:
//
//   - What drain takes back is placed by the next plan, not by this one.
//   - Tasks that are stopping make room soon. What fits there needs neither
//     preemption nor new machines, so it is excluded before both.
//   - Preemption comes before scale-out, since it serves urgent work sooner; for
//     what it serves no machine is requested.
//   - Consolidation comes last: it drains a machine only if all before has left
//     nothing unplaced. If something is unplaced, it ends the draining, also in
//     a plan that is not full.
//
// The steps marked (full) compare every task with every machine. They are left
// to full plans, which are made a few times in each heartbeat interval: what
// they decide takes effect with the workers' heartbeats anyway. Between plans,
// fillMachine gives capacity that a heartbeat has freed to the queue of the last
// plan.

// planInput is a snapshot of what a shard needs to know of the deployment to
// plan. Node.newPlanInput builds it once for all shards of a controller, and
// detectFailures adds what it finds.
type planInput struct {
	params            placement.UCfit              // weights of the score that selects machines
	machineTypes      []protocol.MachineType       // the catalog
	teams             map[string]teamQuota         // quotas of the teams
	hasNoCapacity     func(k machineKind) bool     // whether the cloud said lately that it has none of a kind
	heartbeatInterval time.Duration                // of workers
	objectives        []config.Objective           // service-level objectives of classes and guarantees
	usage             map[string]storage.Resources // of all shards, by team
	serviceLevels     serviceLevels                // of all shards
	maxMachines       int                          // that a shard may have
	unreachableZones  map[string]bool              // zones from which hardly any heartbeat arrives
	isolated          bool                         // hardly any heartbeat arrives at all
}

// teamQuota is a team's quota: what it may use at most, and what it is
// guaranteed.
type teamQuota struct {
	limit     storage.Resources // zero: no limit
	guarantee storage.Resources
}

// unplacedTasks is a number of a job's tasks that found no machine.
type unplacedTasks struct {
	job   *job
	count int
}

// planner makes one plan of a shard.
type planner struct {
	shard    *shard
	input    *planInput
	machines []*machine // of the shard, by name: the order in which equal candidates are taken
	now      time.Time

	unreported    storage.Resources            // what may run on machines that have not reported yet
	claimed       map[string]storage.Resources // by what found no machine, per team
	drainingTasks []unplacedTasks              // of jobs that are held back to leave the shard
}

// newPlanner returns a planner for one plan of the shard.
func (s *shard) newPlanner(input *planInput, now time.Time) *planner {
	return &planner{shard: s, input: input, machines: s.sortedMachines(), now: now}
}

// plan places pending tasks, selects preemption victims and computes the
// scale-out: see the overview at the top of this file. full says whether to
// make the steps that compare every task with every machine.
func (s *shard) plan(input *planInput, full bool, now time.Time) {
	p := s.newPlanner(input, now)
	s.queue = s.orderQueue(input, now)
	unplaced := p.placePending()
	p.drain()
	unplaced = p.excludeStopping(unplaced)
	if full {
		unplaced = p.preempt(unplaced)
	}
	s.planScaleOut(slices.Concat(unplaced, p.drainingTasks), s.tasksOnReclaimedMachines(p.machines, now), input, now)
	if full || len(unplaced) > 0 {
		p.consolidate(unplaced)
	}
	p.markMachinesInUse()
	p.updateSpareCapacity()
}

// markMachinesInUse notes which machines are not idle.
func (p *planner) markMachinesInUse() {
	for _, m := range p.machines {
		if len(m.attempts) > 0 {
			m.idleSince = p.now
		}
	}
}

// sortedMachines lists the shard's machines by name, so that a plan does not
// depend on the iteration order of a map.
func (s *shard) sortedMachines() []*machine {
	if s.machineList == nil {
		s.machineList = slices.SortedFunc(maps.Values(s.machines), func(a, b *machine) int {
			return cmp.Compare(a.lease.Machine, b.lease.Machine)
		})
	}
	return s.machineList
}

// machineType returns a type of the catalog; the zero value if there is none.
func (p *planInput) machineType(name string) protocol.MachineType {
	for _, machineType := range p.machineTypes {
		if machineType.Name == name {
			return machineType
		}
	}
	return protocol.MachineType{}
}

// machineSize returns the capacity of a machine type.
func (p *planInput) machineSize(typeName string) placement.Resources {
	return clusterstate.SizeOf(p.machineType(typeName))
}

// price returns what a machine costs per hour.
func (p *planInput) price(kind machineKind) float64 {
	machineType := p.machineType(kind.MachineType)
	if kind.Spot {
		return machineType.SpotHourlyRate
	}
	return machineType.HourlyRate
}

// imageFetchSeconds returns how long a machine takes to fetch an image.
func (p *planInput) imageFetchSeconds(typeName string, imageGB float64) float64 {
	if machineType := p.machineType(typeName); machineType.FetchGBPerSecond > 0 {
		return imageGB / machineType.FetchGBPerSecond
	}
	return 0
}
