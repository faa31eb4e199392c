package coordination

import (
	"encoding/json"
	"maps"
	"slices"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// draft collects the changes of one transaction that grants, and keeps it
// within what the state service takes: changes, bytes of a value and bytes of
// the whole. What does not fit waits for the next transaction, or for another
// shard; a write that can never succeed is not made.
type draft struct {
	n      *Node
	grants map[int]storage.Grant
	bytes  map[int]int // at most, of each shard's record
	total  int
}

const (
	// around is what keys, conditions and the term add per changed grant.
	around = 512
	// shareBytes bounds what one changed share adds, its name apart.
	shareBytes = 64
)

func newDraft(n *Node) *draft {
	return &draft{n: n, grants: map[int]storage.Grant{}, bytes: map[int]int{}, total: around}
}

// size bounds a shard's record as it stands in the draft.
func (d *draft) size(i int) int {
	if b, ok := d.bytes[i]; ok {
		return b
	}
	raw, err := json.Marshal(d.n.grantRecs[i].v)
	if err != nil {
		return protocol.MaxBody
	}
	d.bytes[i] = len(raw)
	return len(raw)
}

// fits tells whether a shard's record may grow by so many bytes.
func (d *draft) fits(i, more int) bool {
	st := &d.n.set.Deployment.State
	if d.size(i)+more > int(st.ValueKB*1024) {
		return false
	}
	total := d.total + more
	if _, ok := d.grants[i]; !ok {
		if len(d.grants)+2 > st.TxnOps {
			return false
		}
		total += d.size(i) + around
	}
	return total <= protocol.MaxBody
}

// edit returns a shard's grant for changes that add so many bytes.
func (d *draft) edit(i, more int) storage.Grant {
	d.total += more
	g, ok := d.grants[i]
	if !ok {
		d.total += d.size(i) + around
		old := d.n.grantRecs[i].v
		g = storage.Grant{Blocks: slices.Clone(old.Blocks), Shares: maps.Clone(old.Shares)}
		if g.Shares == nil {
			g.Shares = map[string]storage.Amount{}
		}
	}
	d.bytes[i] = d.size(i) + more
	return g
}

func blockBytes(k *rented) int {
	return storage.BlockBytes(k.id) + len(k.kind.Breed) + len(k.kind.Zone) + shareBytes
}

// takes tells whether a shard can be given one more machine.
func (d *draft) takes(i int, k *rented) bool { return d.fits(i, blockBytes(k)) }

// add gives a shard a machine that it takes.
func (d *draft) add(i int, b storage.Block) {
	g := d.edit(i, storage.BlockBytes(b.Machine)+len(b.Breed)+len(b.Zone)+shareBytes)
	g.Blocks = append(g.Blocks, b)
	d.grants[i] = g
}

// share sets a shard's share of a team's limit, if that fits.
func (d *draft) share(i int, team string, a storage.Amount) bool {
	more := len(team) + shareBytes
	if !d.fits(i, more) {
		return false
	}
	g := d.edit(i, more)
	g.Shares[team] = a
	d.grants[i] = g
	return true
}
