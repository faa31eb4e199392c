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
// A controller plans each of its shards independently, several times a second. A
// plan computes decisions on tasks and machines from the shard's jobs and machines
// and a snapshot of the deployment (planInput). It acquires no lock, does no I/O and
// reads no clock: the caller holds the Node's lock and passes the time. (Only the
// latency recorder reads the clock itself.)
//
// The steps of a plan are listed below in order. Each step applies its decisions to
// the shard immediately, so the next step sees them; only the tasks that fit nowhere
// are passed on, as a list of unplacedTasks in queue order. The cost is the order of
// growth, where M is the number of the shard's machines, J of jobs with pending tasks,
// U of jobs with unplaced tasks and P of placed tasks.
//
//	step                      reads                          writes                      cost
//	orderQueue                jobs, capacity, booting        queue                       J log J
//	  (queue.go)              machines, deadlines                                        and Snapshot.Order
//	placePending              queue, free capacity, quota,   attempts, desired,          J·M + P log M
//	  (placement.go)          draining jobs                  smallestTask; unplaced,
//	                                                         drainingTasks
//	drain                     condition of machines          stops, unsent attempts      P
//	  (drain.go)                                             returned to the queue
//	excludeStopping           attempts that are stopping     shorter unplaced            P + U·M
//	  (preemption.go)
//	preempt (full)            attempts, priorities,          stops; shorter unplaced     U·P
//	  (preemption.go)         guarantees
//	planScaleOut              unplaced, drainingTasks,       scaleOut, suitableKinds,    U·M
//	  (scale_out.go)          booting                        stalls, startable
//	consolidate (full)        attempts, prices               draining, stops             P·M
//	  (drain.go)
//	markMachinesInUse         attempts                       idleSince                   M
//	updateSpareCapacity       free capacity                  spareCapacity               M
//	  (spare_capacity.go)
//
// The order matters:
//
//   - Attempts that drain returns to the queue are placed by the next plan, not by
//     this one.
//   - Stopping tasks free capacity soon. Tasks that fit there need neither preemption
//     nor new machines, so they are excluded before both.
//   - Preemption comes before scale-out, since it serves urgent work sooner; no
//     machine is requested for tasks that it serves.
//   - Consolidation comes last: it drains a machine only if the earlier steps leave no
//     task unplaced. If a task is unplaced, consolidation cancels the draining, even in
//     a plan that is not full.
//
// The steps marked (full) compare every task with every machine. They run only in
// full plans, which are made a few times in each heartbeat interval: their decisions
// take effect with the workers' heartbeats anyway. Between plans, fillMachine places
// tasks from the queue of the last plan on capacity that a heartbeat has freed.

// planInput is a snapshot of the deployment state that a plan needs.
// Node.newPlanInput builds it once for all shards of a controller, and
// detectFailures adds its results.
type planInput struct {
	params            placement.UCfit              // weights of the score that selects machines
	machineTypes      []protocol.MachineType       // the catalog
	teams             map[string]teamQuota         // quotas of the teams
	hasNoCapacity     func(k machineKind) bool     // whether the cloud recently reported no capacity of a kind
	heartbeatInterval time.Duration                // of workers
	objectives        []config.Objective           // service-level objectives of classes and guarantees
	usage             map[string]storage.Resources // of all shards, by team
	serviceLevels     serviceLevels                // of all shards
	maxMachines       int                          // maximum number of machines per shard
	unreachableZones  map[string]bool              // zones from which almost no heartbeats arrive
	isolated          bool                         // almost no heartbeats arrive at this controller
}

// teamQuota is a team's quota: its limit and its guaranteed minimum.
type teamQuota struct {
	limit     storage.Resources // zero: no limit
	guarantee storage.Resources
}

// unplacedTasks is a number of a job's tasks that fit on no machine.
type unplacedTasks struct {
	job   *job
	count int
}

// planner makes one plan of a shard.
type planner struct {
	shard    *shard
	input    *planInput
	machines []*machine // of the shard, by name, which breaks ties between candidates
	now      time.Time

	unreported    storage.Resources            // capacity that unreported tasks may use
	claimed       map[string]storage.Resources // quota claimed by unplaced tasks, by team
	drainingTasks []unplacedTasks              // pending tasks of draining jobs
}

// newPlanner returns a planner for one plan of the shard.
func (s *shard) newPlanner(input *planInput, now time.Time) *planner {
	return &planner{shard: s, input: input, machines: s.sortedMachines(), now: now}
}

// plan places pending tasks, selects preemption victims and computes the
// scale-out: see the overview at the top of this file. full enables the steps that
// compare every task with every machine.
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

// markMachinesInUse resets the idle time of machines that run tasks.
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

// machineType returns the machine type of that name, or the zero value if the catalog
// has none.
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
