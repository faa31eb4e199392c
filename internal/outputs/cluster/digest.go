package cluster

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// DigestBuckets is the number of digests that two members exchange about what both
// should hold. An attempt belongs to one bucket, by the hash of its key. More buckets
// narrow a difference down to fewer attempts, at 8 bytes a bucket.
const DigestBuckets = 1024

// maxAttemptsPerMessage bounds the attempts in one answer and in one request to a peer.
const maxAttemptsPerMessage = 1000

// digestSet is what this member holds, summed up for every other member by its name.
type digestSet struct {
	computedAt      time.Time
	computeDuration time.Duration
	version         uint64              // of the store
	buckets         map[string][]uint64 // of what both should hold
	surplus         map[string]uint64   // attempts that only the other should hold
}

// digestCacheTTL is when digests for a view that is no longer asked for go.
const digestCacheTTL = time.Minute

// digestsFor sums up what this member holds, for all others in one pass over the
// store. A result is used for ten times as long as it took to compute, so that
// digests take at most a tenth of the time; a difference that an old result does not
// show is found in the next round.
func (n *Node) digestsFor(v *View, factor int) *digestSet {
	name := fmt.Sprint(factor, v.Members)
	version := n.store.Version()
	n.digestMu.Lock()
	defer n.digestMu.Unlock()
	cached := n.digestCache[name]
	if cached != nil && (cached.version == version || time.Since(cached.computedAt) < 10*cached.computeDuration) {
		return cached
	}
	set := &digestSet{
		computedAt: time.Now(),
		version:    version,
		buckets:    map[string][]uint64{},
		surplus:    map[string]uint64{},
	}
	self := v.Index(n.membership.Self.Name)
	n.store.ForEachAttempt(func(key []byte, fingerprint uint64, _ *pb.AttemptState) bool {
		set.add(v, self, v.Replicas(outputs.Route(key), factor), bucketOf(key), fingerprint)
		return true
	})
	for other, old := range n.digestCache {
		if time.Since(old.computedAt) > digestCacheTTL {
			delete(n.digestCache, other)
		}
	}
	set.computeDuration = time.Since(set.computedAt)
	n.digestCache[name] = set
	return set
}

// add counts an attempt that this member holds, given the members that should.
func (s *digestSet) add(v *View, self int, replicas []int, bucket int, fingerprint uint64) {
	isReplica := slices.Contains(replicas, self)
	for _, i := range replicas {
		if i == self {
			continue
		}
		other := v.Members[i].Name
		if !isReplica {
			s.surplus[other]++
			continue
		}
		if s.buckets[other] == nil {
			s.buckets[other] = make([]uint64, DigestBuckets)
		}
		s.buckets[other][bucket] += fingerprint
	}
}

func bucketOf(key []byte) int { return int(xxhash.Sum64(key) % DigestBuckets) }

// Digests answers a peer that begins a round of repair: digests of what this member
// holds and both should.
func (n *Node) Digests(q *pb.DigestsRequest) *pb.DigestsResponse {
	set := n.digestsFor(viewFromProto(q.Members), int(q.Copies))
	buckets := set.buckets[q.Owner]
	if buckets == nil {
		buckets = make([]uint64, DigestBuckets)
	}
	return &pb.DigestsResponse{Buckets: buckets, Surplus: set.surplus[q.Owner]}
}

// Bucket answers a peer whose digests differ: the attempts of some buckets, or with
// Surplus those that the peer should hold and this member should not.
func (n *Node) Bucket(q *pb.BucketRequest) *pb.BucketResponse {
	v := viewFromProto(q.Members)
	self, owner := v.Index(n.membership.Self.Name), v.Index(q.Owner)
	asked := map[int]bool{}
	for _, b := range q.Buckets {
		asked[int(b)] = true
	}
	answer := new(pb.BucketResponse)
	var keys [][]byte
	n.store.ForEachAttemptAfter(q.After, func(key []byte, _ uint64, _ *pb.AttemptState) bool {
		if !q.Surplus && !asked[bucketOf(key)] {
			return true
		}
		replicas := v.Replicas(outputs.Route(key), int(q.Copies))
		if !slices.Contains(replicas, owner) || slices.Contains(replicas, self) == q.Surplus {
			return true
		}
		if len(keys) == maxAttemptsPerMessage {
			answer.More = true
			return false
		}
		keys = append(keys, key)
		return true
	})
	answer.Held = n.heldLocally(keys)
	return answer
}

// heldLocally returns what this member holds of some attempts.
func (n *Node) heldLocally(keys [][]byte) []*pb.Held {
	var held []*pb.Held
	for _, key := range keys {
		if h := n.store.Held(key); h != nil {
			held = append(held, h)
		}
	}
	return held
}
