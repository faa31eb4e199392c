package coordination

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/deputy"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// deputies is what a controller knows of answering for holders that are not
// reached, as a deputy and as a holder.
type deputies struct {
	records   map[storage.DeputyID]entry[storage.Deputy]
	confirmed map[storage.DeputyID]entry[storage.Confirmation]
	named     map[int]map[string]bool // machines named by anybody, by shard
	rosters   map[int]*deputy.Roster  // what this controller names itself, by shard
	reached   map[string]time.Time    // when a call to each other controller last got through
	tried     map[string]time.Time    // since when calls are made
	answers   map[int]bool            // shards for which this controller has said so in the log
	ignored   bool                    // left out by a test: machines that are named count as silent
	hasty     bool                    // left out by a test: the holder confirms whatever is under way
	rules     deputy.Rules
}

const (
	// unreachedAfter is the time without a call that got through, of two a second,
	// after which a controller is taken for not reached.
	unreachedAfter = 2 * time.Second
	// visitPatience is how long a machine is named before it reports to the deputy: a
	// worker tries another controller 5 s after each that it does not reach.
	visitPatience = 15 * time.Second
	// nameOverhead is what a name takes in a record beside its letters.
	nameOverhead = 3
	// deputyBytes bounds a deputy's record without names.
	deputyBytes = 128
)

func newDeputies(t config.Timing) deputies {
	return deputies{records: map[storage.DeputyID]entry[storage.Deputy]{}, confirmed: map[storage.DeputyID]entry[storage.Confirmation]{}, named: map[int]map[string]bool{}, rosters: map[int]*deputy.Roster{},
		reached: map[string]time.Time{}, tried: map[string]time.Time{}, answers: map[int]bool{},
		rules: deputy.Rules{Visit: visitPatience, Gone: t.WorkerGone}}
}

// applyDeputy follows a deputy's record.
func (n *Node) applyDeputy(id storage.DeputyID, data []byte, stamp uint64) error {
	d := &n.deputies
	err := put(d.records, id, data, stamp)
	named := map[string]bool{}
	for other, rec := range d.records {
		if other.Shard != id.Shard {
			continue
		}
		for _, m := range rec.v.Machines {
			named[m] = true
		}
	}
	d.named[id.Shard] = named
	return err
}

// applyConfirmation follows a holder's confirmation.
func (n *Node) applyConfirmation(id storage.DeputyID, data []byte, stamp uint64) error {
	return put(n.deputies.confirmed, id, data, stamp)
}

// coverNamed keeps machines that a deputy names from being taken for silent: their
// workers' leases may be renewed by it.
func (n *Node) coverNamed(s *shard, now time.Time) {
	if n.deputies.ignored {
		return
	}
	for name := range n.deputies.named[s.index] {
		if m := s.machines[name]; m != nil && !m.expired {
			m.answered = now
		}
	}
}

// reaches tells whether another controller has lately answered a call.
func (d *deputies) reaches(name string, now time.Time) bool {
	if d.tried[name].IsZero() {
		d.tried[name] = now
	}
	last := d.reached[name]
	if last.Before(d.tried[name]) {
		last = d.tried[name]
	}
	return now.Sub(last) < unreachedAfter
}

// deputize finds the shards whose holder this controller does not reach though its
// lease stands.
func (n *Node) deputize(now time.Time) {
	if !n.deputiesOn() || n.set.Location == "" {
		return
	}
	d := &n.deputies
	for i, rec := range n.shardRecs {
		holder := rec.v.Holder
		alive, up := n.aliveNodes[holder.Name]
		apart := n.shards[i] == nil && up && alive.v.Session == holder.Session && n.peers[holder.Name] != nil && !d.reaches(holder.Name, now)
		r := d.rosters[i]
		if r == nil && !apart {
			continue
		}
		if r == nil {
			r = deputy.New(d.rules)
			d.rosters[i] = r
		}
		if !apart {
			r.Close()
		} else if !r.Opened() {
			r.Open(n.ownZone(i), now)
		}
		r.Shown(n.namedByMe(i), now)
		if answers := r.Answered() > 0; answers != d.answers[i] {
			d.answers[i] = answers
			slog.Info("answers for a holder that is not reached", "shard", i, "holder", holder.Name, "machines", r.Answered(), "on", answers)
		}
	}
}

// ownZone lists a shard's machines that are where this controller is.
func (n *Node) ownZone(i int) []string {
	var names []string
	for _, b := range n.grantRecs[i].v.Blocks {
		if b.Zone == n.set.Location {
			names = append(names, b.Machine)
		}
	}
	return names
}

// namedByMe are the machines of a shard that this very session names under the
// shard's present term.
func (n *Node) namedByMe(i int) map[string]deputy.Named {
	named := map[string]deputy.Named{}
	rec := n.shardRecs[i].v
	for id, mine := range n.deputies.records {
		if id.Shard != i || id.Node != n.set.HostName || mine.v.Session != n.session || mine.v.Term != rec.Term {
			continue
		}
		for _, m := range mine.v.Machines {
			named[m] = deputy.Named{Stamp: mine.stamp}
		}
		c := n.deputies.confirmed[id].v
		if c.Stamp != mine.stamp || c.Term != rec.Term || c.Session != rec.Holder.Session {
			continue
		}
		for _, m := range c.Machines {
			named[m] = deputy.Named{Stamp: mine.stamp, Confirmed: true}
		}
	}
	return named
}

// confirmations are the writes by which this controller, as a holder, confirms what
// deputies name, and forgets what they name no more.
func (n *Node) confirmations() []protocol.Txn {
	var txns []protocol.Txn
	d := &n.deputies
	for id, rec := range d.records {
		s := n.shards[id.Shard]
		if s == nil || rec.v.Term != s.term {
			continue
		}
		want := storage.Confirmation{Stamp: rec.stamp, Session: n.session, Term: s.term, Machines: n.confirmable(s, rec.v.Machines)}
		was := d.confirmed[id]
		if was.v.Stamp == want.Stamp && was.v.Session == want.Session && was.v.Term == want.Term {
			// What was confirmed stays: nothing is sent straight to a machine that is named.
			want.Machines = union(was.v.Machines, want.Machines)
			if len(want.Machines) == len(was.v.Machines) {
				continue
			}
		}
		txns = append(txns, protocol.Txn{
			When: []protocol.Cond{{Path: storage.ShardKey(id.Shard), Stamp: s.stamp}, {Path: storage.DeputyKey(id), Stamp: rec.stamp},
				{Path: storage.ConfirmKey(id), Stamp: was.stamp}},
			Writes: []protocol.Write{{Put: storage.ConfirmKey(id), Data: want, Hold: n.session}}})
	}
	for id, c := range d.confirmed {
		if _, stands := d.records[id]; !stands && c.v.Session == n.session {
			txns = append(txns, protocol.Txn{When: []protocol.Cond{{Path: storage.ConfirmKey(id), Stamp: c.stamp}},
				Writes: []protocol.Write{{Delete: storage.ConfirmKey(id)}}})
		}
	}
	return txns
}

// confirmable lists the machines to which no start is under way that went straight
// there: it would be valid for as long as a deputy renews the worker's lease.
func (n *Node) confirmable(s *shard, names []string) []string {
	var clear []string
	for _, name := range names {
		m := s.machines[name]
		if m == nil || m.expired || m.gone || m.release {
			continue
		}
		if n.deputies.hasty || !m.startUnderWay() {
			clear = append(clear, name)
		}
	}
	return clear
}

// startUnderWay tells whether a start that went straight to a machine may still
// arrive there.
func (m *machine) startUnderWay() bool {
	for _, r := range m.runs {
		if r.start.Bound() {
			return true
		}
	}
	return false
}

// union merges two lists of names in order.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// deputyWrites brings the records to what the rosters want.
func (n *Node) deputyWrites(now time.Time) []protocol.Txn {
	var writes []protocol.Txn
	d := &n.deputies
	for _, i := range slices.Sorted(maps.Keys(d.rosters)) {
		r, named := d.rosters[i], n.namedByMe(i)
		r.Shown(named, now)
		wanted := n.stillGranted(i, r.Wanted(now))
		mine := n.myRecords(i)
		if !r.Changed(wanted, named) && (len(wanted) > 0 || len(mine) == 0) {
			if len(mine) == 0 && r.Empty() {
				delete(d.rosters, i)
			}
			continue
		}
		r.Removing(wanted, n.seen)
		if txn := n.nameTxn(i, wanted, mine); len(txn.Writes) > 0 {
			writes = append(writes, txn)
		}
	}
	return writes
}

// stillGranted leaves out machines that are not the shard's any more.
func (n *Node) stillGranted(i int, names []string) []string {
	return slices.DeleteFunc(names, func(m string) bool {
		shard, granted := n.owner[m]
		return !granted || shard != i
	})
}

// myRecords are this controller's records about a shard, of whatever session.
func (n *Node) myRecords(i int) map[int]entry[storage.Deputy] {
	mine := map[int]entry[storage.Deputy]{}
	for id, rec := range n.deputies.records {
		if id.Shard == i && id.Node == n.set.HostName {
			mine[id.Record] = rec
		}
	}
	return mine
}

// nameTxn names machines in as many records as they need, under the versions of the
// records and of the shard's lease, and deletes those that are left over.
func (n *Node) nameTxn(i int, names []string, mine map[int]entry[storage.Deputy]) protocol.Txn {
	lim := n.limits()
	txn := protocol.Txn{When: []protocol.Cond{{Path: storage.ShardKey(i), Stamp: n.shardRecs[i].stamp}}}
	record := 0
	for ; len(names) > 0 && len(txn.Writes) < lim.TxnOps; record++ {
		bytes, k := deputyBytes, 0
		for ; k < len(names) && bytes+len(names[k])+nameOverhead <= lim.ValueBytes(); k++ {
			bytes += len(names[k]) + nameOverhead
		}
		key := storage.DeputyKey(storage.DeputyID{Shard: i, Node: n.set.HostName, Record: record})
		txn.When = append(txn.When, protocol.Cond{Path: key, Stamp: mine[record].stamp})
		txn.Writes = append(txn.Writes, protocol.Write{Put: key, Hold: n.session,
			Data: storage.Deputy{Session: n.session, Term: n.shardRecs[i].v.Term, Machines: names[:k]}})
		names = names[k:]
	}
	for _, old := range slices.Sorted(maps.Keys(mine)) {
		if old >= record && len(txn.Writes) < lim.TxnOps {
			key := storage.DeputyKey(storage.DeputyID{Shard: i, Node: n.set.HostName, Record: old})
			txn.When = append(txn.When, protocol.Cond{Path: key, Stamp: mine[old].stamp})
			txn.Writes = append(txn.Writes, protocol.Write{Delete: key})
		}
	}
	return txn
}

// writeDeputies names the machines for which this controller is to answer, and
// confirms what others name of its own.
func (n *Node) writeDeputies(ctx context.Context) {
	n.mu.Lock()
	var txns []protocol.Txn
	if n.valid(n.now()) && n.deputiesOn() {
		txns = append(n.confirmations(), n.deputyWrites(n.now())...)
	}
	n.mu.Unlock()
	for _, txn := range txns {
		_, err := n.state.MultiSoon(ctx, txn)
		slog.Debug("named machines of a holder that is not reached", "writes", len(txn.Writes), "err", err)
	}
}

// answerFor answers a report in place of a holder that is not reached: it renews the
// worker's lease and stops what is cancelled, and starts nothing.
func (n *Node) answerFor(r *protocol.Report, i int, now time.Time) (protocol.Orders, bool) {
	roster := n.deputies.rosters[i]
	if roster == nil || !n.deputiesOn() || r.Zone != n.set.Location {
		return protocol.Orders{}, false
	}
	roster.Visited(r.Machine, now)
	token := n.tokenOf(i, r.Machine)
	if !roster.May(r.Machine) || r.Token > token {
		return protocol.Orders{}, false
	}
	out := protocol.Orders{Token: token, Orders: []protocol.Order{}}
	zero := 0.0
	for _, t := range r.Tasks {
		id := keyOf(t.Task).job
		if t.Status != protocol.Ended && n.jobs[id] == nil && !n.unread[id] {
			out.Orders = append(out.Orders, protocol.Order{Verb: protocol.VerbHalt, Task: t.Task, Attempt: t.Attempt, MercyS: &zero})
		}
	}
	// Lease and copy again, as the holder does.
	return out, n.valid(n.now())
}

// tokenOf is the token of a machine of a shard that another controller holds.
func (n *Node) tokenOf(i int, name string) uint64 {
	token := n.shardRecs[i].v.Term
	for _, b := range n.grantRecs[i].v.Blocks {
		if b.Machine == name {
			token = max(token, b.Term)
		}
	}
	return token
}
