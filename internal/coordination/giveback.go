package coordination

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// giveBack marks blocks that this shard has no more use for: empty, and
// certain to be so. A silent machine is kept for as long again as it took to be
// certain of that: it may only have been cut off, and spares a boot if it
// comes back.
// One that has not been heard yet is not idle, but on its way.
// What is away with the rest of its zone, or while nothing is heard at all, is
// kept for longer if work waits that nothing else will serve sooner: all of it
// comes back together.
func (s *shard) giveBack(p *planner, now time.Time, silent time.Duration, idle func(kind) time.Duration) {
	for _, m := range s.machines {
		patience := 2 * silent
		if (p.blind || p.away[m.block.Zone]) && len(s.queue) > 0 {
			patience = 6 * silent
		}
		if m.release || !m.settled || len(m.runs) > 0 || len(m.stray) > 0 || m.odd {
			continue
		}
		if m.gone || m.bad || m.slow || m.vacate || m.expired && now.Sub(m.answered) > patience ||
			!m.expired && m.heard() && now.Sub(m.idle) > idle(m.kind()) {
			m.release = true
		}
	}
}

// unseen is how long a successful write may take to show in the copies before
// it is no longer waited for.
const unseen = time.Second

// giveBackEvery is how often a shard's grant is written by its holder.
const giveBackEvery = 500 * time.Millisecond

// writeGrants writes the grants of this controller's shards without the blocks
// and the shares that are given back.
func (n *Node) writeGrants(ctx context.Context) {
	type change struct {
		s   *shard
		txn protocol.Txn
		out []string
	}
	var changes []change
	n.mu.Lock()
	now := n.now()
	lim := n.limits()
	for i, s := range n.shards {
		g, ok := n.grantRecs[i]
		// A write that has succeeded is first seen in the record: another
		// one before then would only fail.
		// And they are gathered: with hundreds of machines something could be
		// given back all the time, and job records have to be written too.
		if !ok || !n.settledForm(i) || s.writes || n.seen < s.wrote && now.Sub(s.wroteAt) < unseen || now.Sub(s.triedAt) < giveBackEvery {
			continue
		}
		txn := protocol.Txn{When: []protocol.Cond{{Path: storage.ShardKey(i), Stamp: s.stamp}}}
		next := storage.Grant{Of: g.v.Of}
		var out []string
		next.Blocks, out = s.keptBlocks(g.v.Blocks)
		shares, lowered := n.lowerShares(s, g.v.Shares, now)
		next.Shares = shares
		if g.v.Of == 0 && len(out) > 0 || lowered {
			txn.When = append(txn.When, protocol.Cond{Path: storage.GrantKey(i), Stamp: g.stamp})
			txn.Writes = append(txn.Writes, protocol.Write{Put: storage.GrantKey(i), Data: next})
			// Lower at once: what is being given back is not used any more,
			// whether or not the answer arrives. Nor does a later write raise
			// it: the earlier one may still be applied, and the room be granted
			// to another. Only a newer record does.
			s.shares = next.Shares
			s.loweredAt = now
		}
		if g.v.Of != 0 {
			out = nil
			for _, c := range n.lighter(s, g.v.Of) {
				// No more than there are writes for: a transaction that waits
				// for all that it could hold waits for ever while others are
				// written, and machines that were given up stand idle.
				if len(txn.Writes) > 0 && (len(txn.Writes) >= min(lim.TxnOps, n.state.Had()) || (len(txn.Writes)+2)*lim.ValueBytes() > protocol.MaxBody) {
					break
				}
				txn.When = append(txn.When, n.pieceCond(i, c.k))
				txn.Writes = append(txn.Writes, protocol.Write{Put: storage.PieceKey(i, c.k), Data: storage.Piece{Of: g.v.Of, Blocks: c.kept}})
				out = append(out, c.out...)
			}
		}
		if len(txn.Writes) == 0 {
			continue
		}
		s.writes, s.triedAt = true, now
		changes = append(changes, change{s, txn, out})
	}
	n.mu.Unlock()
	for _, c := range changes {
		rev, err := n.state.Multi(ctx, c.txn)
		n.mu.Lock()
		c.s.writes = false
		if err == nil {
			c.s.wrote, c.s.wroteAt = rev, n.now()
		}
		n.mu.Unlock()
		if errors.Is(err, storage.ErrBudget) || errors.Is(err, storage.ErrConflict) {
			slog.Debug("not given back", "shard", c.s.index, "err", err)
		} else {
			slog.Info("gave back", "shard", c.s.index, "blocks", c.out, "err", err)
		}
	}
}

// keptBlocks divides blocks into those that are kept and the names of those
// that are given back.
func (s *shard) keptBlocks(blocks []storage.Block) (kept []storage.Block, out []string) {
	for _, b := range blocks {
		if m := s.machines[b.Machine]; m != nil && m.release {
			out = append(out, b.Machine)
		} else {
			kept = append(kept, b)
		}
	}
	return kept, out
}

// lightened is a piece without the blocks that are given back.
type lightened struct {
	k    int
	kept []storage.Block
	out  []string
}

// lighter lists the pieces of which blocks are given back, those with most of
// them first.
func (n *Node) lighter(s *shard, of uint64) []lightened {
	var list []lightened
	for k, p := range n.pieces[s.index] {
		if p.v.Of != of {
			continue
		}
		if kept, out := s.keptBlocks(p.v.Blocks); len(out) > 0 {
			list = append(list, lightened{k, kept, out})
		}
	}
	slices.SortFunc(list, func(a, b lightened) int { return cmp.Or(len(b.out)-len(a.out), a.k-b.k) })
	return list
}
