package storage

import (
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// leaseColumns is the stored form of a list of machine leases, with a column for each field.
// Versions that wrote a list of objects can't decode it, and don't touch the shard.
type leaseColumns struct {
	Kinds          []leaseKind `json:"kinds,omitempty"`
	MachineNames   []string    `json:"names,omitempty"` // see encodeName
	KindIndices    []int       `json:"k,omitempty"`
	FencingTokens  []uint64    `json:"t,omitempty"`
	FirstGrantedAt int64       `json:"from,omitempty"` // of the first machine, Unix time in seconds
	GrantedAfter   []int64     `json:"at,omitempty"`   // seconds since FirstGrantedAt
}

// leaseKind holds the properties that many machine leases share.
type leaseKind struct {
	MachineType string `json:"b"`
	Zone        string `json:"z"`
	Spot        bool   `json:"s,omitempty"`
}

func encodeLeases(leases []MachineLease) leaseColumns {
	n := len(leases)
	c := leaseColumns{
		MachineNames:  make([]string, n),
		KindIndices:   make([]int, n),
		FencingTokens: make([]uint64, n),
		GrantedAfter:  make([]int64, n),
	}
	if n > 0 {
		c.FirstGrantedAt = leases[0].GrantedAt
	}
	kindIndices := map[leaseKind]int{}
	previous := ""
	for i, lease := range leases {
		kind := leaseKind{lease.MachineType, lease.Zone, lease.Spot}
		index, ok := kindIndices[kind]
		if !ok {
			index = len(c.Kinds)
			kindIndices[kind] = index
			c.Kinds = append(c.Kinds, kind)
		}
		c.MachineNames[i] = encodeName(previous, lease.Machine)
		c.KindIndices[i] = index
		c.FencingTokens[i] = lease.FencingToken
		c.GrantedAfter[i] = lease.GrantedAt - c.FirstGrantedAt
		previous = lease.Machine
	}
	return c
}

func (c leaseColumns) decode() ([]MachineLease, error) {
	n := len(c.MachineNames)
	if len(c.KindIndices) != n || len(c.FencingTokens) != n || len(c.GrantedAfter) != n {
		return nil, fmt.Errorf("grant: columns of %d, %d, %d and %d", n, len(c.KindIndices), len(c.FencingTokens), len(c.GrantedAfter))
	}
	leases := make([]MachineLease, n)
	previous := ""
	for i, encoded := range c.MachineNames {
		name, err := decodeName(previous, encoded)
		if err != nil {
			return nil, err
		}
		previous = name
		index := c.KindIndices[i]
		if index < 0 || index >= len(c.Kinds) {
			return nil, fmt.Errorf("grant: machine %s is of kind %d of %d", name, index, len(c.Kinds))
		}
		kind := c.Kinds[index]
		leases[i] = MachineLease{
			Machine:      name,
			MachineType:  kind.MachineType,
			Zone:         kind.Zone,
			Spot:         kind.Spot,
			FencingToken: c.FencingTokens[i],
			GrantedAt:    c.FirstGrantedAt + c.GrantedAfter[i],
		}
	}
	return leases, nil
}

const (
	prefixLengthBase = 36
	maxPrefixLength  = prefixLengthBase - 1 // one digit
)

// encodeName encodes a machine's name as one digit, the length of the common prefix with
// the previous name in bytes, followed by the rest of the name.
func encodeName(previous, name string) string {
	n := 0
	for n < min(len(previous), len(name), maxPrefixLength) && previous[n] == name[n] && name[n] < utf8.RuneSelf {
		n++
	}
	return strconv.FormatInt(int64(n), prefixLengthBase) + name[n:]
}

func decodeName(previous, encoded string) (string, error) {
	if encoded == "" {
		return "", errors.New("grant: empty name")
	}
	n, err := strconv.ParseInt(encoded[:1], prefixLengthBase, 32)
	if err != nil || int(n) > len(previous) {
		return "", fmt.Errorf("grant: name %q after %q", encoded, previous)
	}
	return previous[:n] + encoded[1:], nil
}

// MaxMachineLeaseBytes returns the maximum size that one more machine adds to a stored grant
// that already has machines of its kind: a quoted name, the index of its kind, a fencing
// token and a time.
func MaxMachineLeaseBytes(machine string) int {
	return len(machine) + len(`"0",`) + len("100,") + len("18446744073709551615,") + len("-1000000000000,")
}
