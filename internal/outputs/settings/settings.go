// Package settings reads the settings of task outputs, which are the element <outputs>
// of the operators' XML file. [XML] is the element as written, and [Outputs] holds the
// resulting settings. Controllers use only the URL of the page, for links to it; the
// stores use all settings.
package settings

import (
	"crypto/sha256"
	"time"
)

const day = 24 * time.Hour

// Outputs are the settings of task outputs. Sizes are in bytes, rates in bytes per
// second.
type Outputs struct {
	Page string // URL of the page with outputs; empty: no links

	Copies     int
	Lease      time.Duration // a member's lease expires without a renewal in this time
	StateShare float64       // fraction of the state service's rates, for all stores together

	SegmentBytes  int64
	MaxBytes      uint64 // on one store's disk; 0: unlimited
	ReserveBytes  uint64 // disk space left free
	AttemptBytes  uint64
	AttemptRate   uint64
	ArtefactBytes uint64 // of one attempt
	TeamBytes     uint64 // on one store's disk; 0: unlimited
	TeamRate      uint64 // through one store; 0: unlimited
	StoreRate     uint64 // through one store, of all teams; 0: unlimited

	RepairInterval time.Duration
	RepairDelay    time.Duration // after a member was lost
	RepairRate     uint64
	ScrubInterval  time.Duration
	ScrubRate      uint64
	Retention      []Retention

	Cert      string // file; empty: no TLS
	Key       string // file
	CA        string // file; empty: the system's certificate authorities
	Tokens    []Token
	PeerToken string // file
	Trace     string // HOST:PORT of an OTLP/HTTP collector, or file:PATH; empty: no traces
}

// Retention is how long outputs are kept. The most specific entry applies: one with
// team and class, then with class, then with team, then with neither.
type Retention struct {
	Team     string
	Class    string
	Duration time.Duration // 0: forever
}

// Token is an accepted token, identified by the hash of its secret.
type Token struct {
	Team string
	Role string // write, read, all or peer
	Hash [sha256.Size]byte
}

// Defaults returns the settings of an empty element.
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

// RetentionFor returns how long outputs of a team and class are kept; 0 means
// forever.
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

// specificity ranks entries by their selectors: a class ranks higher than a team.
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
