// Package settings reads the part of the operators' XML that is about task
// outputs, the element <outputs>. [XML] is the element as it is written, and
// [Outputs] what follows from it. Controllers use only the address of the page for
// links to it; the stores use all of it.
package settings

import (
	"crypto/sha256"
	"time"
)

const day = 24 * time.Hour

// Outputs are the settings of task outputs. Sizes are in bytes, rates in bytes a
// second.
type Outputs struct {
	Page string // URL where people read outputs; empty: no links to it

	Copies     int
	Lease      time.Duration // without a renewal, a member is gone after this
	StateShare float64       // of the state service's rate, for all stores together

	SegmentBytes  int64
	MaxBytes      uint64 // on one store's disk; 0: no bound
	ReserveBytes  uint64 // of the disk left free
	AttemptBytes  uint64
	AttemptRate   uint64
	ArtefactBytes uint64 // of one attempt
	TeamBytes     uint64 // on one store's disk; 0: no bound
	TeamRate      uint64 // through one store; 0: no bound
	StoreRate     uint64 // through one store, of all teams; 0: no bound

	RepairInterval time.Duration
	RepairDelay    time.Duration // since a member went away
	RepairRate     uint64
	ScrubInterval  time.Duration
	ScrubRate      uint64
	Retention      []Retention

	Cert      string // file; empty: no TLS
	Key       string // file
	CA        string // file; empty: the system's authorities
	Tokens    []Token
	PeerToken string // file
	Trace     string // HOST:PORT of a collector of OTLP over HTTP, or file:PATH; empty: no traces
}

// Retention is how long outputs are kept. The entry that names most applies: team
// and class, then class, then team, then neither.
type Retention struct {
	Team     string
	Class    string
	Duration time.Duration // 0: for ever
}

// Token is one that is accepted, by the hash of its secret.
type Token struct {
	Team string
	Role string // write, read, all or peer
	Hash [sha256.Size]byte
}

// Defaults are the settings of an empty element.
func Defaults() Outputs {
	return Outputs{
		Copies:         2,
		Lease:          10 * time.Second,
		StateShare:     0.02,
		SegmentBytes:   64 * mebibyte,
		ReserveBytes:   512 * mebibyte,
		AttemptBytes:   64 * mebibyte,
		AttemptRate:    1 * mebibyte,
		ArtefactBytes:  1024 * mebibyte,
		RepairInterval: 15 * time.Second,
		RepairDelay:    time.Minute,
		RepairRate:     20 * mebibyte,
		ScrubInterval:  24 * time.Hour,
		ScrubRate:      10 * mebibyte,
		Retention:      []Retention{{Duration: 14 * day}},
	}
}

// RetentionFor returns how long outputs of a team and class are kept; 0: for ever.
func (o *Outputs) RetentionFor(team, class string) time.Duration {
	var duration time.Duration
	best := -1
	for _, retention := range o.Retention {
		if !retention.covers(team, class) {
			continue
		}
		if specificity := retention.specificity(); specificity > best {
			duration, best = retention.Duration, specificity
		}
	}
	return duration
}

func (r Retention) covers(team, class string) bool {
	return (r.Team == "" || r.Team == team) && (r.Class == "" || r.Class == class)
}

// specificity orders entries by what they name: a class counts more than a team.
func (r Retention) specificity() int {
	specificity := 0
	if r.Class != "" {
		specificity += 2
	}
	if r.Team != "" {
		specificity++
	}
	return specificity
}

func (r Retention) hasSameScope(other Retention) bool {
	return r.Team == other.Team && r.Class == other.Class
}
