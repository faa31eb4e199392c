package storage

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// Block is a machine leased to a shard; its term is never below that of any
// earlier holder.
type Block struct {
	Machine string
	Breed   string
	Zone    string
	Spot    bool
	Term    uint64
	At      int64 // time of day of the grant, in seconds, rounded up
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
	Kinds []blockKind `json:"kinds,omitempty"`
	Names []string    `json:"names,omitempty"` // each as what differs from the one before
	Kind  []int       `json:"k,omitempty"`
	Term  []uint64    `json:"t,omitempty"`
	From  int64       `json:"from,omitempty"` // the first grant, in seconds
	After []int64     `json:"at,omitempty"`   // and how long after it the others came
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
	c := columns{Names: make([]string, n), Kind: make([]int, n), Term: make([]uint64, n), After: make([]int64, n)}
	index := map[blockKind]int{}
	for i, b := range g.Blocks {
		k := blockKind{b.Breed, b.Zone, b.Spot}
		at, ok := index[k]
		if !ok {
			at = len(c.Kinds)
			index[k] = at
			c.Kinds = append(c.Kinds, k)
		}
		before := ""
		if i > 0 {
			before = g.Blocks[i-1].Machine
		} else {
			c.From = b.At
		}
		c.Names[i], c.Kind[i], c.Term[i], c.After[i] = follow(before, b.Machine), at, b.Term, b.At-c.From
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
	n := len(c.Names)
	if len(c.Kind) != n || len(c.Term) != n || len(c.After) != n {
		return fmt.Errorf("grant: columns of %d, %d, %d and %d", n, len(c.Kind), len(c.Term), len(c.After))
	}
	blocks := make([]Block, n)
	before := ""
	for i, name := range c.Names {
		m, err := unfollow(before, name)
		if err != nil {
			return err
		}
		before = m
		k := c.Kind[i]
		if k < 0 || k >= len(c.Kinds) {
			return fmt.Errorf("grant: machine %s is of kind %d of %d", m, k, len(c.Kinds))
		}
		blocks[i] = Block{m, c.Kinds[k].Breed, c.Kinds[k].Zone, c.Kinds[k].Spot, c.Term[i], c.From + c.After[i]}
	}
	*g = Grant{blocks, w.Shares}
	return nil
}

// follow writes a name as one digit, of base 36, that counts the bytes it has
// in common with the name before it, and the rest.
func follow(before, name string) string {
	n := 0
	for n < min(len(before), len(name), 35) && before[n] == name[n] && name[n] < utf8.RuneSelf {
		n++
	}
	return strconv.FormatInt(int64(n), 36) + name[n:]
}

func unfollow(before, text string) (string, error) {
	if text == "" {
		return "", errors.New("grant: empty name")
	}
	n, err := strconv.ParseInt(text[:1], 36, 32)
	if err != nil || int(n) > len(before) {
		return "", fmt.Errorf("grant: name %q after %q", text, before)
	}
	return before[:n] + text[1:], nil
}

// BlockBytes bounds what one more block adds to a grant's text, its kind
// being known: a name in quotes, the number of its kind, a term and a time.
func BlockBytes(machine string) int {
	return len(machine) + len(`"0",`) + len("100,") + len("18446744073709551615,") + len("-1000000000000,")
}
