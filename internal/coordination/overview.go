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

// Overview describes this controller for the operators' page.
func (n *Node) Overview() transport.Overview {
	n.mu.Lock()
	defer n.mu.Unlock()
	const mostJobs = 200
	now := n.now()
	o := transport.Overview{Name: n.set.HostName, Leader: n.leaderRec.v.Name, Valid: n.valid(now),
		LeaseLeft: max(0, n.validTil.Sub(now)).Round(100 * time.Millisecond)}
	o.Outputs = strings.TrimSuffix(n.op.Outputs.Page, "/")
	o.Upgrade = fmt.Sprintf("records of form %d", max(n.form.v.Form, storage.FormWhole))
	if !n.switched() {
		o.Upgrade += fmt.Sprintf(", upgrade: %d of %d controllers have run this version", len(n.marks), n.set.Deployment.Count)
	}
	teams := map[string]*transport.TeamView{}
	for _, i := range slices.Sorted(maps.Keys(n.shardRecs)) {
		rec := n.shardRecs[i].v
		v := transport.ShardView{Index: i, Holder: rec.Holder.Name, Term: rec.Term, Blocks: len(n.grantRecs[i].v.Blocks)}
		for _, jr := range n.jobs {
			if jr.rec.Shard == i {
				v.Jobs++
			}
		}
		if s := n.shards[i]; s != nil {
			v.Mine, v.Settled, v.Coming = true, s.settled, s.awaited()
			for _, j := range s.jobs {
				v.Waiting += j.waiting()
				o.Jobs = append(o.Jobs, transport.JobView{ID: j.id, Class: j.spec.Class, Team: j.spec.Team, Urgency: j.spec.Urgency,
					Tasks: j.spec.Tasks, Done: j.done.Len(), Placed: len(j.runs), Waiting: j.waiting(),
					Age: now.Sub(j.at).Round(time.Second), Within: j.within, Before: n.openWaits(&j.spec)})
			}
			for _, m := range s.machines {
				o.Machines = append(o.Machines, m.view(now))
			}
			for name, t := range n.teams {
				if teams[name] == nil {
					teams[name] = &transport.TeamView{Name: name, Guarantee: t.guarantee.Cores, Limit: t.limit.Cores}
				}
				teams[name].Used += s.used[name].Cores
				teams[name].Share += s.shares[name].Cores
			}
		}
		o.Shards = append(o.Shards, v)
	}
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		o.Teams = append(o.Teams, *teams[name])
	}
	slices.SortFunc(o.Machines, func(a, b transport.MachineView) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(o.Jobs, func(a, b transport.JobView) int { return cmp.Or(-cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID)) })
	if len(o.Jobs) > mostJobs {
		o.MoreJobs = len(o.Jobs) - mostJobs
		o.Jobs = o.Jobs[:mostJobs]
	}
	return o
}

// openWaits counts the jobs that one waits for.
func (n *Node) openWaits(sp *protocol.Job) int {
	c := 0
	for _, id := range sp.Waits {
		if n.jobs[id] != nil {
			c++
		}
	}
	return c
}

func (m *machine) view(now time.Time) transport.MachineView {
	v := transport.MachineView{Name: m.block.Machine, Breed: m.block.Breed, Zone: m.block.Zone, Kind: "ordinary",
		Tasks: len(m.runs), Used: m.used[0], Cores: m.size[0], Silent: now.Sub(m.answered).Round(100 * time.Millisecond), State: "in use"}
	if m.block.Spot {
		v.Kind = "spot"
	}
	switch {
	case m.release:
		v.State = "given back"
	case m.expired:
		v.State = "lost"
	case m.bad:
		v.State = "faulty"
	case m.slow:
		v.State = "slow"
	case !m.takenAt.IsZero():
		v.State = "to be taken"
	case !m.heard() || !m.settled:
		v.State = "not heard of yet"
	case m.vacate:
		v.State = "being emptied"
	case len(m.runs) == 0:
		v.State = "idle"
	}
	return v
}
