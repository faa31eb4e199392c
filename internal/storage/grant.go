package storage

import (
	"encoding/json"
	"fmt"
)

// Block is a machine leased to a shard; its term is never below that of any
// earlier holder.
type Block struct {
	Machine string
	Breed   string
	Zone    string
	Spot    bool
	Term    uint64
	AtMS    int64 // time of day of the grant
}

// Grant is what a shard has been given: its blocks and its shares of the
// teams' limits. It is one record, so that both change together, and is
// written in columns: hundreds of machines have to fit one value.
type Grant struct {
	Blocks []Block
	Shares map[string]Amount
}

// columns is a list of blocks as written. A version that wrote a list of
// objects instead finds it unreadable and leaves the shard alone.
type columns struct {
	Kinds    []blockKind `json:"kinds,omitempty"`
	Machines []string    `json:"m,omitempty"`
	Kind     []int       `json:"k,omitempty"`
	Term     []uint64    `json:"t,omitempty"`
	From     int64       `json:"from,omitempty"` // AtMS of the first
	After    []int64     `json:"at,omitempty"`   // and how long after it the others came
}

type blockKind struct {
	Breed string `json:"b"`
	Zone  string `json:"z"`
	Spot  bool   `json:"s,omitempty"`
}

type grantJSON struct {
	Blocks columns           `json:"blocks"`
	Shares map[string]Amount `json:"shares"`
}

// MarshalJSON writes the grant in columns.
func (g Grant) MarshalJSON() ([]byte, error) {
	n := len(g.Blocks)
	c := columns{Machines: make([]string, n), Kind: make([]int, n), Term: make([]uint64, n), After: make([]int64, n)}
	index := map[blockKind]int{}
	for i, b := range g.Blocks {
		k := blockKind{b.Breed, b.Zone, b.Spot}
		at, ok := index[k]
		if !ok {
			at = len(c.Kinds)
			index[k] = at
			c.Kinds = append(c.Kinds, k)
		}
		if i == 0 {
			c.From = b.AtMS
		}
		c.Machines[i], c.Kind[i], c.Term[i], c.After[i] = b.Machine, at, b.Term, b.AtMS-c.From
	}
	return json.Marshal(grantJSON{c, g.Shares})
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (g *Grant) UnmarshalJSON(raw []byte) error {
	var w grantJSON
	if err := json.Unmarshal(raw, &w); err != nil {
		return err
	}
	c := w.Blocks
	n := len(c.Machines)
	if len(c.Kind) != n || len(c.Term) != n || len(c.After) != n {
		return fmt.Errorf("grant: columns of %d, %d, %d and %d", n, len(c.Kind), len(c.Term), len(c.After))
	}
	blocks := make([]Block, n)
	for i, m := range c.Machines {
		k := c.Kind[i]
		if k < 0 || k >= len(c.Kinds) {
			return fmt.Errorf("grant: machine %s is of kind %d of %d", m, k, len(c.Kinds))
		}
		blocks[i] = Block{m, c.Kinds[k].Breed, c.Kinds[k].Zone, c.Kinds[k].Spot, c.Term[i], c.From + c.After[i]}
	}
	*g = Grant{blocks, w.Shares}
	return nil
}

// BlockBytes bounds what one more block adds to a grant's text, its kind
// being known: a name in quotes, the number of its kind, a term and a time.
func BlockBytes(machine string) int {
	return len(machine) + len(`"",`) + len("100,") + len("18446744073709551615,") + len("-1000000000000,")
}
