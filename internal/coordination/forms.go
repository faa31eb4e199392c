package coordination

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"

	"reedtrack/internal/config"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
	"reedtrack/internal/transport"
)

// pieceRec is a piece of a shard's grant as it stands, with the size of its
// text, worked out when it is wanted.
type pieceRec struct {
	v     storage.Piece
	stamp uint64
	bytes int
}

// switched tells whether every controller has run a version that knows the
// split form, so that it may be written.
func (n *Node) switched() bool { return n.form.v.Form >= storage.FormSplit }

// knowsForm tells whether this version knows the form that records have. One
// that doesn't must not act.
func (n *Node) knowsForm() bool { return n.form.v.Form <= storage.FormNewest }

// deputiesOn tells whether every controller knows what a deputy's record means.
func (n *Node) deputiesOn() bool { return n.form.v.Form >= storage.FormDeputies }

// limits are what the state service is known to take of writes from now on.
// What production writes before the switch fits the present limits; afterwards
// lower ones may come without notice.
func (n *Node) limits() config.Limits {
	if n.switched() {
		return n.set.Limits()
	}
	st := &n.set.Deployment.State
	return config.Limits{WriteRPS: st.WriteRPS, ValueKB: st.ValueKB, TxnOps: st.TxnOps}
}

// capacity is how many machines a shard can have.
func (n *Node) capacity() int {
	if n.switched() {
		return n.set.Machines()
	}
	return n.set.Capacity()
}

// leaveMark writes, once, that this controller has run this version, and makes
// the switch when all have. Marks hang on no lease, so the controllers need not
// be up at the same time, and nothing ever takes the switch back.
func (n *Node) leaveMark(ctx context.Context) {
	n.mu.Lock()
	form := storage.Form{Form: storage.FormNewest}
	var txn protocol.Txn
	what := ""
	knows := 0
	for _, m := range n.marks {
		if m.v.Form >= storage.FormNewest {
			knows++
		}
	}
	switch {
	case n.form.v.Form >= storage.FormNewest:
	case n.marks[n.set.HostName].v.Form < storage.FormNewest:
		what = "mark"
		txn.Writes = []protocol.Write{{Put: storage.MarkKey(n.set.HostName), Data: form}}
	case knows >= n.set.Deployment.Count && n.me(n.leaderRec.v):
		what = "switch"
		txn.When = []protocol.Cond{{Path: storage.FormKey, Stamp: n.form.stamp}}
		txn.Writes = []protocol.Write{{Put: storage.FormKey, Data: form}}
	}
	n.mu.Unlock()
	if what == "" {
		return
	}
	_, err := n.state.Multi(ctx, txn)
	slog.Info("upgrade", "step", what, "controllers", knows, "of", n.set.Deployment.Count, "err", err)
}

// applyForm follows the keys of an upgrade.
func (n *Node) applyForm(path string, data []byte, stamp uint64) (mine bool, err error) {
	if name, ok := storage.CutMark(path); ok {
		err := put(n.marks, name, data, stamp)
		transport.Marks.Set(float64(len(n.marks)))
		return true, err
	}
	if path != storage.FormKey {
		return false, nil
	}
	was := n.switched()
	defer func() { transport.Form.Set(float64(max(n.form.v.Form, storage.FormWhole))) }()
	if err := one(&n.form, data, stamp); err != nil {
		n.form.v.Form = storage.FormNewest + 1 // not known: this version must not act
		return true, err
	}
	if n.switched() && !was {
		slog.Info("upgrade is over: every controller runs the new version, new forms are written", "form", n.form.v.Form)
	}
	return true, nil
}

// applyPiece follows the pieces of grants. One that can't be read leaves its
// shard as it was.
func (n *Node) applyPiece(i, k int, data []byte, stamp uint64) error {
	if n.pieces[i] == nil {
		n.pieces[i] = map[int]*pieceRec{}
	}
	if data == nil {
		delete(n.pieces[i], k)
		return nil
	}
	p := &pieceRec{stamp: stamp}
	if err := p.v.UnmarshalJSON(data); err != nil {
		p.v.Blocks, p.bytes = nil, -1
		n.pieces[i][k] = p
		return err
	}
	n.pieces[i][k] = p
	return nil
}

// compose puts a shard's grant together from its record and its pieces; false
// means that some of it can't be read, and that what was known stays.
func (n *Node) compose(i int) (storage.Grant, bool) {
	g := n.heads[i].v
	if g.Of == 0 {
		return g, true
	}
	for _, k := range slices.Sorted(maps.Keys(n.pieces[i])) {
		p := n.pieces[i][k]
		if p.bytes < 0 {
			return g, false
		}
		if p.v.Of == g.Of {
			g.Blocks = append(g.Blocks, p.v.Blocks...)
		}
	}
	return g, true
}

// splitTxn is the next step of splitting a shard's grant, or nil. The pieces
// are staged under the condition that the grant is as it was, each within the
// limits that are to come; then one small write makes them count. A step that
// arrives late fails or repeats what stands, so the work can stop and go on at
// any point, under another leader too. Meanwhile nobody changes the grant.
func (n *Node) splitTxn() (*protocol.Txn, string) {
	for i := range n.op.Shards {
		rec, ok := n.grantRecs[i]
		if !ok || rec.v.Of != 0 {
			continue
		}
		lim := n.limits()
		txn := &protocol.Txn{When: []protocol.Cond{{Path: storage.LeaderKey, Stamp: n.leaderRec.stamp}, {Path: storage.GrantKey(i), Stamp: rec.stamp}}}
		total := around
		for k, blocks := range chunks(rec.v.Blocks, lim.ValueBytes()) {
			var stamp uint64
			if p := n.pieces[i][k]; p != nil {
				if p.v.Of == rec.stamp && p.bytes >= 0 {
					continue // staged
				}
				stamp = p.stamp
			}
			if total += lim.ValueBytes(); len(txn.Writes) == lim.TxnOps || len(txn.Writes) > 0 && total > protocol.MaxBody {
				break
			}
			txn.When = append(txn.When, protocol.Cond{Path: storage.PieceKey(i, k), Stamp: stamp})
			txn.Writes = append(txn.Writes, protocol.Write{Put: storage.PieceKey(i, k), Data: storage.Piece{Of: rec.stamp, Blocks: blocks}})
		}
		if len(txn.Writes) > 0 {
			return txn, "pieces staged"
		}
		txn.Writes = []protocol.Write{{Put: storage.GrantKey(i), Data: storage.Grant{Of: rec.stamp, Shares: rec.v.Shares}}}
		return txn, "grant split"
	}
	return nil, ""
}

// chunks divides blocks into pieces of at most so many bytes.
func chunks(blocks []storage.Block, most int) [][]storage.Block {
	var out [][]storage.Block
	size := most
	for _, b := range blocks {
		more := blockBytes(b)
		if size+more > most {
			out, size = append(out, nil), pieceBytes
		}
		size += more
		out[len(out)-1] = append(out[len(out)-1], b)
	}
	return out
}

// sweepParts deletes what is left of jobs that have ended, as far as writes
// can be spared.
func (n *Node) sweepParts(ctx context.Context) {
	n.mu.Lock()
	var txn protocol.Txn
	most := min(n.state.Spare(), n.limits().TxnOps)
	if n.lead != nil && n.valid(n.now()) && most > 0 {
		for id, parts := range n.parts {
			if n.jobs[id] != nil || n.unread[id] {
				continue
			}
			for from, p := range parts {
				if len(txn.Writes) < most {
					txn.When = append(txn.When, protocol.Cond{Path: storage.PartKey(id, from), Stamp: p.stamp}, protocol.Cond{Path: storage.JobKey(id)})
					txn.Writes = append(txn.Writes, protocol.Write{Delete: storage.PartKey(id, from)})
				}
			}
			if len(txn.Writes) >= most {
				break
			}
		}
	}
	n.mu.Unlock()
	if len(txn.Writes) > 0 {
		if _, err := n.state.Multi(ctx, txn); err != nil && !errors.Is(err, storage.ErrConflict) {
			slog.Debug("not swept", "err", err)
		}
	}
}
