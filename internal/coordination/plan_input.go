package coordination

import (
	"cmp"
	"slices"
	"time"

	"reedtrack/internal/clusterstate"
	"reedtrack/internal/config"
	"reedtrack/internal/placement"
	"reedtrack/internal/storage"
)

// newPlanInput builds the input for the plans of this controller's shards.
func (n *Node) newPlanInput(now time.Time) *planInput {
	return &planInput{
		params:            placement.UCfit{A: n.operator.UCfitA, B: n.operator.UCfitB, C: n.operator.UCfitC},
		machineTypes:      n.records.MachineTypes,
		teams:             n.teams,
		hasNoCapacity:     func(kind machineKind) bool { return now.Before(n.noCapacityUntil[kind]) },
		heartbeatInterval: config.Seconds(n.settings.Deployment.Workers.ReportS),
		objectives:        n.settings.Deployment.Objectives,
		usage:             n.teamUsage(),
		serviceLevels:     n.currentServiceLevels(now),
		maxMachines:       n.maxMachinesPerShard(),
	}
}

// teamUsage sums each team's usage over all shards known to this controller.
func (n *Node) teamUsage() map[string]storage.Resources {
	usage := map[string]storage.Resources{}
	add := func(usedByTeam map[string]storage.Resources) {
		for team, used := range usedByTeam {
			total := usage[team]
			total.Cores += used.Cores
			total.GPUs += used.GPUs
			usage[team] = total
		}
	}
	for _, s := range n.shards {
		add(s.used)
	}
	for _, status := range n.peerStatus {
		for _, s := range status.Shards {
			add(s.Used)
		}
	}
	return usage
}

// unknownMaxIdleTime is how long an empty machine is kept whose type is not in the
// catalog, so that its boot time and price are unknown.
const unknownMaxIdleTime = time.Minute

// maxIdleTime returns how long an empty machine is kept: as long as keeping it costs
// at most as much as booting another one of its type, at the lower of the type's on-demand and
// spot prices.
func (n *Node) maxIdleTime(kind machineKind) time.Duration {
	for _, machineType := range n.records.MachineTypes {
		if machineType.Name != kind.MachineType {
			continue
		}
		seconds := n.operator.IdleBoots * machineType.BootSeconds
		hasPrices := machineType.HourlyRate > 0 && machineType.SpotHourlyRate > 0
		if !kind.Spot && hasPrices && machineType.SpotHourlyRate < machineType.HourlyRate {
			seconds *= machineType.SpotHourlyRate / machineType.HourlyRate
		}
		return config.Seconds(seconds)
	}
	return unknownMaxIdleTime
}

// updateWithinGuarantee records which jobs fit within their team's guarantee
// together with the team's earlier unfinished jobs, those of other shards
// included.
func (n *Node) updateWithinGuarantee() {
	byTeam := map[string][]*clusterstate.JobRecord{}
	for _, jr := range n.records.Jobs {
		if jr.IsBlocked() {
			continue
		}
		byTeam[jr.Record.Spec.Team] = append(byTeam[jr.Record.Spec.Team], jr)
	}
	for team, records := range byTeam {
		sortByStartable(records)
		n.updateTeamWithinGuarantee(n.teams[team].guarantee, records)
	}
}

// updateTeamWithinGuarantee does that for the jobs of one team, which are sorted by
// the time at which they became startable.
func (n *Node) updateTeamWithinGuarantee(guarantee storage.Resources, records []*clusterstate.JobRecord) {
	hasGuarantee := guarantee.Cores > 0 || guarantee.GPUs > 0
	var total storage.Resources
	for _, jr := range records {
		spec := &jr.Record.Spec
		total.Cores += float64(spec.Tasks) * spec.Cores
		total.GPUs += float64(spec.Tasks) * spec.GPUs
		s := n.shards[jr.Record.Shard]
		if s == nil {
			continue
		}
		if j := s.jobs[spec.ID]; j != nil {
			fits := total.Cores <= guarantee.Cores+quotaTolerance && total.GPUs <= guarantee.GPUs+quotaTolerance
			j.withinGuarantee = hasGuarantee && fits
		}
	}
}

// sortByStartable sorts jobs by the time at which they became startable, then by ID.
func sortByStartable(records []*clusterstate.JobRecord) {
	slices.SortFunc(records, func(a, b *clusterstate.JobRecord) int {
		return cmp.Or(cmp.Compare(a.StartableMS(), b.StartableMS()), cmp.Compare(a.Record.Spec.ID, b.Record.Spec.ID))
	})
}
