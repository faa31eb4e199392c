package coordination

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
	"reedtrack/internal/transport"
)

const (
	// maxOverviewJobs limits the jobs on the operators' page, oldest first, so
	// that the page stays readable and small.
	maxOverviewJobs = 200
	// overviewTimeUnit is the unit to which short times on the page are
	// rounded.
	overviewTimeUnit = 100 * time.Millisecond
)

// Overview returns this controller's data for the operators' page.
func (n *Node) Overview() transport.Overview {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	overview := transport.Overview{
		Name:            n.settings.HostName,
		Leader:          n.records.Leader.Value.Name,
		HoldsLease:      n.holdsLease(now),
		LeaseRemaining:  max(0, n.session.leaseValidUntil.Sub(now)).Round(overviewTimeUnit),
		OutputsURL:      strings.TrimSuffix(n.operator.Outputs.Page, "/"),
		UpgradeProgress: n.upgradeProgress(),
	}
	jobCounts := n.countJobsByShard()
	teams := map[string]*transport.TeamView{}
	for _, i := range slices.Sorted(maps.Keys(n.records.Shards)) {
		overview.Shards = append(overview.Shards, n.shardView(i, jobCounts[i]))
		s := n.shards[i]
		if s == nil {
			continue
		}
		for _, j := range s.jobs {
			overview.Jobs = append(overview.Jobs, n.jobView(j, now))
		}
		for _, m := range s.machines {
			overview.Machines = append(overview.Machines, m.overview(now))
		}
		n.addTeamUsage(teams, s)
	}
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		overview.Teams = append(overview.Teams, *teams[name])
	}
	slices.SortFunc(overview.Machines, func(a, b transport.MachineView) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(overview.Jobs, func(a, b transport.JobView) int {
		return cmp.Or(-cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID))
	})
	if len(overview.Jobs) > maxOverviewJobs {
		overview.MoreJobs = len(overview.Jobs) - maxOverviewJobs
		overview.Jobs = overview.Jobs[:maxOverviewJobs]
	}
	return overview
}

// upgradeProgress returns the schema version of the records and, during an
// upgrade, how many controllers have run this version.
func (n *Node) upgradeProgress() string {
	progress := fmt.Sprintf("records of form %d", max(n.records.SchemaVersion.Value.Version, storage.SchemaWhole))
	if !n.records.SplitGrantsEnabled() {
		progress += fmt.Sprintf(", upgrade: %d of %d controllers have run this version", len(n.records.VersionMarkers), n.settings.Deployment.Count)
	}
	return progress
}

// countJobsByShard counts the live jobs of each shard.
func (n *Node) countJobsByShard() map[int]int {
	counts := map[int]int{}
	for _, jr := range n.records.Jobs {
		counts[jr.Record.Shard]++
	}
	return counts
}

// shardView describes a shard. Of shards that other controllers hold, only
// what the records contain is included.
func (n *Node) shardView(shardIndex, jobCount int) transport.ShardView {
	lease := n.records.Shards[shardIndex].Value
	view := transport.ShardView{
		Index:        shardIndex,
		Holder:       lease.Holder.Name,
		FencingToken: lease.FencingToken,
		Machines:     len(n.records.Grants[shardIndex].Value.Machines),
		Jobs:         jobCount,
	}
	s := n.shards[shardIndex]
	if s == nil {
		return view
	}
	view.Local, view.Reconciled, view.BootingMachines = true, s.reconciled, s.bootingCount()
	for _, j := range s.jobs {
		view.PendingTasks += j.pendingTasks()
	}
	return view
}

// jobView describes a job of a shard that this controller holds.
func (n *Node) jobView(j *job, now time.Time) transport.JobView {
	return transport.JobView{
		ID:              j.id,
		Class:           j.spec.Class,
		Team:            j.spec.Team,
		Priority:        j.spec.Priority,
		Tasks:           j.spec.Tasks,
		Done:            j.done.Len(),
		Placed:          len(j.attempts),
		Pending:         j.pendingTasks(),
		Age:             now.Sub(j.submittedAt).Round(time.Second),
		WithinGuarantee: j.withinGuarantee,
		Dependencies:    n.unfinishedDependencies(&j.spec),
	}
}

// addTeamUsage adds each team's usage and share in a shard.
func (n *Node) addTeamUsage(teams map[string]*transport.TeamView, s *shard) {
	for name, quota := range n.teams {
		if teams[name] == nil {
			teams[name] = &transport.TeamView{Name: name, Guarantee: quota.guarantee.Cores, Limit: quota.limit.Cores}
		}
		teams[name].Used += s.used[name].Cores
		teams[name].FairShare += s.shares[name].Cores
	}
}

// unfinishedDependencies counts the live dependencies of a job.
func (n *Node) unfinishedDependencies(spec *protocol.Job) int {
	count := 0
	for _, id := range spec.DependsOn {
		if n.records.Jobs[id] != nil {
			count++
		}
	}
	return count
}

// overview describes a machine for the operators' page.
func (m *machine) overview(now time.Time) transport.MachineView {
	view := transport.MachineView{
		Name:           m.lease.Machine,
		MachineType:    m.lease.MachineType,
		Zone:           m.lease.Zone,
		Kind:           "ordinary",
		State:          m.displayState(),
		Tasks:          len(m.attempts),
		UsedCores:      m.used[0],
		Cores:          m.capacity[0],
		SinceHeartbeat: now.Sub(m.lastAnswered).Round(overviewTimeUnit),
	}
	if m.lease.Spot {
		view.Kind = "spot"
	}
	return view
}

// displayState returns the state of a machine as shown to operators. If
// several apply, it is the first in the order below, which puts those first that
// determine what will happen to the machine.
func (m *machine) displayState() string {
	switch {
	case m.releasing:
		return "given back"
	case m.isExpired():
		return "lost"
	case m.cordoned:
		return "faulty"
	case m.slow:
		return "slow"
	case !m.reclaimAt.IsZero():
		return "to be taken"
	case !m.hasReported() || !m.isReconciled():
		return "not heard of yet"
	case m.draining:
		return "being emptied"
	case len(m.attempts) == 0:
		return "idle"
	}
	return "in use"
}
