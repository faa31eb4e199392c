package coordination

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"reedtrack/internal/config"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// draft collects the changes of one transaction that grants, and keeps it
// within what the state service takes: changes, bytes of a value and bytes of
// the whole. What does not fit waits for the next transaction, or for another
// shard; a write that can never succeed is not made.
type draft struct {
	n      *Node
	lim    config.Limits
	grants map[int]storage.Grant
	pieces map[recID]storage.Piece
	bytes  map[recID]int // at most, of each record
	total  int
}

// recID names a shard's grant, or a piece of it.
type recID struct{ shard, piece int }

func whole(i int) recID { return recID{i, -1} }

const (
	// around is what keys, conditions and the term add per changed record.
	around = 512
	// shareBytes bounds what one changed share adds, its name apart.
	shareBytes = 64
	// pieceBytes bounds a piece without blocks.
	pieceBytes = 128
)

func newDraft(n *Node) *draft {
	return &draft{n: n, lim: n.limits(), grants: map[int]storage.Grant{}, pieces: map[recID]storage.Piece{}, bytes: map[recID]int{}, total: around}
}

func (d *draft) changed() int { return len(d.grants) + len(d.pieces) }

// size bounds a record as it stands in the draft.
func (d *draft) size(r recID) int {
	if b, ok := d.bytes[r]; ok {
		return b
	}
	var raw []byte
	var err error
	if r.piece < 0 {
		raw, err = json.Marshal(d.n.grantRecs[r.shard].v)
	} else if p := d.piece(r); p == nil {
		return pieceBytes
	} else if p.bytes > 0 {
		return p.bytes
	} else if raw, err = json.Marshal(p.v); err == nil {
		p.bytes = len(raw)
	}
	if err != nil {
		return protocol.MaxBody
	}
	d.bytes[r] = len(raw)
	return len(raw)
}

// piece is a piece that counts, or nil.
func (d *draft) piece(r recID) *pieceRec {
	if p := d.n.pieces[r.shard][r.piece]; p != nil && p.v.Of == d.n.grantRecs[r.shard].v.Of {
		return p
	}
	return nil
}

func (d *draft) has(r recID) bool {
	_, ok := d.pieces[r]
	if r.piece < 0 {
		_, ok = d.grants[r.shard]
	}
	return ok
}

// fits tells whether a record may grow by so many bytes.
func (d *draft) fits(r recID, more int) bool {
	if d.size(r)+more > d.lim.ValueBytes() {
		return false
	}
	total := d.total + more
	if !d.has(r) {
		// One change for the term, and up to three conditions for a record.
		if d.changed()+2 > d.lim.TxnOps {
			return false
		}
		total += d.size(r) + around
	}
	return total <= protocol.MaxBody
}

// take counts what a record grows by.
func (d *draft) take(r recID, more int) {
	d.total += more
	if !d.has(r) {
		d.total += d.size(r) + around
	}
	d.bytes[r] = d.size(r) + more
}

// edit returns a shard's grant for changes that add so many bytes.
func (d *draft) edit(i, more int) storage.Grant {
	d.take(whole(i), more)
	g, ok := d.grants[i]
	if !ok {
		old := d.n.grantRecs[i].v
		g = storage.Grant{Of: old.Of, Blocks: slices.Clone(old.Blocks), Shares: maps.Clone(old.Shares)}
		if g.Shares == nil {
			g.Shares = map[string]storage.Amount{}
		}
	}
	return g
}

func blockBytes(b storage.Block) int {
	return storage.BlockBytes(b.Machine) + len(b.Breed) + len(b.Zone) + shareBytes
}

// settledForm tells whether a shard's grant may be changed: not while it waits
// to be split.
func (n *Node) settledForm(i int) bool { return !n.switched() || n.grantRecs[i].v.Of != 0 }

// record is the record in which a shard has room for one more machine.
func (d *draft) record(i, more int) (recID, bool) {
	if !d.n.settledForm(i) {
		return recID{}, false
	}
	if d.n.grantRecs[i].v.Of == 0 {
		return whole(i), d.fits(whole(i), more)
	}
	if len(d.n.grantRecs[i].v.Blocks) >= d.n.capacity() {
		return recID{}, false
	}
	// Those that are in the draft come first: they cost no further change.
	for _, drafted := range []bool{true, false} {
		for k := range len(d.n.pieces[i]) + d.changed() + 1 {
			if r := (recID{i, k}); d.has(r) == drafted && d.fits(r, more) {
				return r, true
			}
		}
	}
	return recID{}, false
}

// takes tells whether a shard can be given one more machine.
func (d *draft) takes(i int, k *rented) bool {
	_, ok := d.record(i, blockBytes(storage.Block{Machine: k.id, Breed: k.kind.Breed, Zone: k.kind.Zone}))
	return ok
}

// add gives a shard a machine that it takes.
func (d *draft) add(i int, b storage.Block) {
	more := blockBytes(b)
	r, ok := d.record(i, more)
	if !ok {
		return
	}
	if r.piece < 0 {
		g := d.edit(i, more)
		g.Blocks = append(g.Blocks, b)
		d.grants[i] = g
		return
	}
	d.take(r, more)
	p, ok := d.pieces[r]
	if !ok {
		p.Of = d.n.grantRecs[i].v.Of
		if old := d.piece(r); old != nil {
			p.Blocks = slices.Clone(old.v.Blocks)
		}
	}
	p.Blocks = append(p.Blocks, b)
	d.pieces[r] = p
}

// share sets a shard's share of a team's limit, if that fits.
func (d *draft) share(i int, team string, a storage.Amount) bool {
	more := len(team) + shareBytes
	if !d.n.settledForm(i) || !d.fits(whole(i), more) {
		return false
	}
	g := d.edit(i, more)
	g.Shares[team] = a
	d.grants[i] = g
	return true
}

// into adds the draft's changes to a transaction, each under its record's
// version and under that of the shard's lease.
func (d *draft) into(txn *protocol.Txn) {
	shards := map[int]bool{}
	for _, i := range slices.Sorted(maps.Keys(d.grants)) {
		shards[i] = true
		txn.When = append(txn.When, protocol.Cond{Path: storage.GrantKey(i), Stamp: d.n.grantRecs[i].stamp})
		txn.Writes = append(txn.Writes, protocol.Write{Put: storage.GrantKey(i), Data: d.grants[i]})
	}
	for _, r := range slices.SortedFunc(maps.Keys(d.pieces), func(a, b recID) int {
		return cmp.Or(cmp.Compare(a.shard, b.shard), cmp.Compare(a.piece, b.piece))
	}) {
		shards[r.shard] = true
		txn.When = append(txn.When, d.n.pieceCond(r.shard, r.piece))
		txn.Writes = append(txn.Writes, protocol.Write{Put: storage.PieceKey(r.shard, r.piece), Data: d.pieces[r]})
	}
	for _, i := range slices.Sorted(maps.Keys(shards)) {
		txn.When = append(txn.When, protocol.Cond{Path: storage.ShardKey(i), Stamp: d.n.shardRecs[i].stamp})
	}
}

func (n *Node) pieceCond(i, k int) protocol.Cond {
	c := protocol.Cond{Path: storage.PieceKey(i, k)}
	if p := n.pieces[i][k]; p != nil {
		c.Stamp = p.stamp
	}
	return c
}
