package cluster

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// DigestBuckets is the number of digests that two members exchange for the attempts
// that both should hold. The hash of its key assigns each attempt to a bucket. More
// buckets narrow a difference down to fewer attempts, at 8 bytes per bucket.
const DigestBuckets = 1024

// maxAttemptsPerMessage limits the attempts in one response or request between members.
const maxAttemptsPerMessage = 1000

// digestSet holds the digests of this member's attempts, by the name of the member
// that they are compared with.
type digestSet struct {
	computedAt      time.Time
	computeDuration time.Duration
	version         uint64              // store version that the digests were computed from
	buckets         map[string][]uint64 // digests of the attempts that both members should hold
	surplus         map[string]uint64   // number of attempts that only the other member should hold
}

// digestCacheTTL is the age at which digests for views that are no longer requested are
// removed from the cache.
const digestCacheTTL = time.Minute

// digestsFor computes the digests for all other members in one pass over the store. A
// result is reused for ten times as long as it took to compute, so that computing
// digests takes at most a tenth of the time. A difference that a cached result misses
// is found in the next round.
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

// add adds an attempt that this member holds, given the members that should hold it.
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

// Digests returns the digests that a peer requests at the start of a repair round:
// those of the attempts that this member holds and both should hold.
func (n *Node) Digests(req *pb.DigestsRequest) *pb.DigestsResponse {
	set := n.digestsFor(viewFromProto(req.Members), int(req.Copies))
	buckets := set.buckets[req.Owner]
	if buckets == nil {
		buckets = make([]uint64, DigestBuckets)
	}
	return &pb.DigestsResponse{Buckets: buckets, Surplus: set.surplus[req.Owner]}
}

// Bucket lists attempts for a peer whose digests differ: those in the requested
// buckets, or with Surplus those that the peer should hold and this member should not.
func (n *Node) Bucket(req *pb.BucketRequest) *pb.BucketResponse {
	v := viewFromProto(req.Members)
	self, owner := v.Index(n.membership.Self.Name), v.Index(req.Owner)
	asked := map[int]bool{}
	for _, b := range req.Buckets {
		asked[int(b)] = true
	}
	resp := new(pb.BucketResponse)
	var keys [][]byte
	n.store.ForEachAttemptAfter(req.After, func(key []byte, _ uint64, _ *pb.AttemptState) bool {
		if !req.Surplus && !asked[bucketOf(key)] {
			return true
		}
		replicas := v.Replicas(outputs.Route(key), int(req.Copies))
		if !slices.Contains(replicas, owner) || slices.Contains(replicas, self) == req.Surplus {
			return true
		}
		if len(keys) == maxAttemptsPerMessage {
			resp.More = true
			return false
		}
		keys = append(keys, key)
		return true
	})
	resp.Held = n.heldLocally(keys)
	return resp
}

// heldLocally describes the replicas that this member holds of the given attempts.
func (n *Node) heldLocally(keys [][]byte) []*pb.Held {
	var held []*pb.Held
	for _, key := range keys {
		if h := n.store.Held(key); h != nil {
			held = append(held, h)
		}
	}
	return held
}
