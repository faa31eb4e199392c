package coordination

import (
	"math"
	"slices"
	"time"

	"reedtrack/internal/clusterstate"
	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// maxPendingTime is how long a job that this controller has assigned to a shard counts
// towards the shard's demand before its record appears; after that its write is assumed to
// have failed. It is twice the time that a committed write may take to appear in the
// local copy, which leaves the same time for the write itself.
const maxPendingTime = 2 * maxApplyDelay

// pendingJob is a job that this controller has assigned to a shard and whose record is
// not in the local copy yet.
type pendingJob struct {
	demand  demand
	shard   int
	addedAt time.Time
}

// demand is the demand of a job or a team.
type demand struct {
	team     string
	cores    float64
	machines float64 // in machines of the best-scoring type
}

// demandOf returns the demand of the given number of a job's tasks.
func (n *Node) demandOf(spec *protocol.Job, tasks int) demand {
	demand := demand{team: spec.Team, cores: float64(tasks) * spec.Cores}
	need := placement.Resources{spec.Cores, spec.GPUs, spec.MemoryGB}
	if best := n.bestMachineType(spec, need); best >= 0 {
		demand.machines = float64(tasks) * dominantShare(need, clusterstate.SizeOf(n.records.MachineTypes[best]))
	}
	return demand
}

// bestMachineType returns the index of the best-scoring machine type for a job's tasks, or
// -1 if none is allowed and large enough.
func (n *Node) bestMachineType(spec *protocol.Job, need placement.Resources) int {
	params := placement.UCfit{A: n.operator.UCfitA, B: n.operator.UCfitB, C: n.operator.UCfitC}
	return params.SelectBest(len(n.records.MachineTypes), func(i int) (placement.Resources, placement.Resources, bool) {
		size := clusterstate.SizeOf(n.records.MachineTypes[i])
		allowed := len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, n.records.MachineTypes[i].Name)
		return size.Sub(need), size, size.Fits(need) && allowed
	})
}

// dominantShare returns the largest fraction of a machine that a task needs of any
// resource.
func dominantShare(need, size placement.Resources) float64 {
	share := 0.0
	for resource, total := range size {
		if total > 0 {
			share = max(share, need[resource]/total)
		}
	}
	return share
}

// demandSummary is the remaining demand of all jobs.
type demandSummary struct {
	shards   []shardLoad
	machines float64           // machines needed for all demand within the teams' limits
	byTeam   map[string]demand // demand of each team, regardless of its limit
}

// add adds a job's demand to that of its team and its shard.
func (d *demandSummary) add(shardIndex int, more demand) {
	if shardIndex < len(d.shards) {
		d.shards[shardIndex].demanded += more.cores
	}
	total := d.byTeam[more.team]
	total.cores += more.cores
	total.machines += more.machines
	d.byTeam[more.team] = total
}

// summarizeDemand sums the remaining demand of all jobs and the capacity of all shards.
func (n *Node) summarizeDemand(now time.Time) demandSummary {
	summary := demandSummary{shards: n.shardCapacities(), byTeam: map[string]demand{}}
	for _, jr := range n.records.Jobs {
		if jr.IsBlocked() {
			continue
		}
		spec := &jr.Record.Spec
		summary.add(jr.Record.Shard, n.demandOf(spec, spec.Tasks-jr.DoneCount))
	}
	for id, pending := range n.pendingJobs {
		if n.records.Jobs[id] != nil || now.Sub(pending.addedAt) > maxPendingTime {
			delete(n.pendingJobs, id)
			continue
		}
		summary.add(pending.shard, pending.demand)
	}
	for name, total := range summary.byTeam {
		// Demand beyond a team's limit needs no machines, since it is not started.
		if limit := n.teams[name].limit.Cores; limit > 0 && total.cores > limit {
			total.machines *= limit / total.cores
		}
		summary.machines += total.machines
	}
	return summary
}

// shardCapacities returns the capacity of each shard: that of its granted and of its
// booting machines.
func (n *Node) shardCapacities() []shardLoad {
	shards := make([]shardLoad, n.operator.Shards)
	for i := range shards {
		for _, lease := range n.records.Grants[i].Value.Machines {
			shards[i].available += n.records.MachineSizes[lease.MachineType][0]
		}
	}
	for shardStatus := range n.remoteShards() {
		shards[shardStatus.Index].available += shardStatus.BootingCores
	}
	for i, s := range n.shards {
		shards[i].available += n.bootingCores(s)
	}
	return shards
}

// bootingCores sums the cores of a shard's booting machines.
func (n *Node) bootingCores(s *shard) float64 {
	cores := 0.0
	for _, request := range s.booting {
		cores += float64(request.Count) * n.records.MachineSizes[request.Kind.MachineType][0]
	}
	return cores
}

// selectShard selects the shard of a new job. It opens only as many shards as are needed
// for the grant records to hold all machines, and skips shards whose holders are overloaded:
// work that one shard can serve stays together, since machines split among shards are left
// partly empty in each. Of the open shards it selects the one with the smallest shortage
// or, if no further machines are available, the lowest load.
func (n *Node) selectShard(j *protocol.Job, now time.Time) int {
	summary := n.summarizeDemand(now)
	jobDemand := n.demandOf(j, j.Tasks)
	exhausted := n.isCapacityExhausted(j)
	machinesNeeded := summary.machines + jobDemand.machines
	if exhausted {
		machinesNeeded = 0
	}
	open := n.openShards(n.shardsFor(machinesNeeded))
	// If shards are equal, controllers start with different ones.
	best := open[n.ordinal%len(open)]
	for k := range open {
		i := open[(n.ordinal+k)%len(open)]
		if compareShortage(summary.shards[i], summary.shards[best], jobDemand.cores, exhausted) < 0 {
			best = i
		}
	}
	if len(j.DependsOn) == 0 {
		n.pendingJobs[j.ID] = pendingJob{jobDemand, best, now}
	}
	return best
}

// shardsFor returns the number of shards needed for the given number of machines, or for
// those already granted if these are more.
func (n *Node) shardsFor(machinesNeeded float64) int {
	machines := max(machinesNeeded, float64(len(n.records.ShardOfMachine)))
	machinesPerShard := min(n.operator.FillMachines, n.maxMachinesPerShard())
	return max(1, int(math.Ceil(machines/float64(machinesPerShard))))
}

// openShards returns the first count shards whose holders are not overloaded, or all
// shards if all holders are.
func (n *Node) openShards(count int) []int {
	var all, notOverloaded []int
	for i := 0; i < n.operator.Shards && len(notOverloaded) < count; i++ {
		all = append(all, i)
		if !n.isHolderOverloaded(i) {
			notOverloaded = append(notOverloaded, i)
		}
	}
	if len(notOverloaded) > 0 {
		return notOverloaded
	}
	return all
}

// isCapacityExhausted reports whether the cloud has no capacity of any kind that would be
// requested for a job.
func (n *Node) isCapacityExhausted(j *protocol.Job) bool {
	candidate := n.newJob(&clusterstate.JobRecord{Record: storage.Job{Spec: *j}})
	found := false
	for _, kind := range candidate.suitableKinds(&planInput{machineTypes: n.records.MachineTypes}) {
		if kind.Spot != j.Spot {
			continue
		}
		if !n.now().Before(n.noCapacityUntil[kind]) {
			return false
		}
		found = true
	}
	return found
}
