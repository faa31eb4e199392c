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
//
// In the split form the record holds the shares alone, and the blocks stand in
// pieces that name the same Of.
type Grant struct {
	Of     uint64 // 0: not split
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

// splitJSON is a grant in the split form. A former version finds a word where
// it expects blocks, and so a record that it can't read instead of one without
// machines.
type splitJSON struct {
	Blocks string            `json:"blocks"`
	Of     uint64            `json:"of"`
	Shares map[string]Amount `json:"shares"`
}

const inPieces = "in pieces"

type pieceJSON struct {
	Of     uint64  `json:"of"`
	Blocks columns `json:"blocks"`
}

// MarshalJSON writes the grant: in columns, or without its blocks if they stand
// in pieces.
func (g Grant) MarshalJSON() ([]byte, error) {
	if g.Of != 0 {
		return json.Marshal(splitJSON{inPieces, g.Of, g.Shares})
	}
	return json.Marshal(grantJSON{inColumns(g.Blocks), g.Shares})
}

// MarshalJSON writes the piece's blocks in columns.
func (p Piece) MarshalJSON() ([]byte, error) {
	return json.Marshal(pieceJSON{p.Of, inColumns(p.Blocks)})
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (p *Piece) UnmarshalJSON(raw []byte) error {
	var w pieceJSON
	if err := json.Unmarshal(raw, &w); err != nil {
		return err
	}
	blocks, err := w.Blocks.blocks()
	if err != nil {
		return err
	}
	*p = Piece{w.Of, blocks}
	return nil
}

func inColumns(list []Block) columns {
	n := len(list)
	c := columns{Names: make([]string, n), Kind: make([]int, n), Term: make([]uint64, n), After: make([]int64, n)}
	index := map[blockKind]int{}
	for i, b := range list {
		k := blockKind{b.Breed, b.Zone, b.Spot}
		at, ok := index[k]
		if !ok {
			at = len(c.Kinds)
			index[k] = at
			c.Kinds = append(c.Kinds, k)
		}
		before := ""
		if i > 0 {
			before = list[i-1].Machine
		} else {
			c.From = b.At
		}
		c.Names[i], c.Kind[i], c.Term[i], c.After[i] = follow(before, b.Machine), at, b.Term, b.At-c.From
	}
	return c
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (g *Grant) UnmarshalJSON(raw []byte) error {
	var s splitJSON
	if json.Unmarshal(raw, &s) == nil && s.Blocks == inPieces && s.Of != 0 {
		*g = Grant{Of: s.Of, Shares: s.Shares}
		return nil
	}
	var w grantJSON
	if err := json.Unmarshal(raw, &w); err != nil {
		return err
	}
	blocks, err := w.Blocks.blocks()
	if err != nil {
		return err
	}
	*g = Grant{Blocks: blocks, Shares: w.Shares}
	return nil
}

func (c columns) blocks() ([]Block, error) {
	n := len(c.Names)
	if len(c.Kind) != n || len(c.Term) != n || len(c.After) != n {
		return nil, fmt.Errorf("grant: columns of %d, %d, %d and %d", n, len(c.Kind), len(c.Term), len(c.After))
	}
	blocks := make([]Block, n)
	before := ""
	for i, name := range c.Names {
		m, err := unfollow(before, name)
		if err != nil {
			return nil, err
		}
		before = m
		k := c.Kind[i]
		if k < 0 || k >= len(c.Kinds) {
			return nil, fmt.Errorf("grant: machine %s is of kind %d of %d", m, k, len(c.Kinds))
		}
		blocks[i] = Block{m, c.Kinds[k].Breed, c.Kinds[k].Zone, c.Kinds[k].Spot, c.Term[i], c.From + c.After[i]}
	}
	return blocks, nil
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
