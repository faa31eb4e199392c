package cluster

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// Repair metrics.
var (
	repairedAttempts = prometheus.NewCounter(prometheus.CounterOpts{Name: "reedtrack_outputs_repaired_attempts_total",
		Help: "Attempts of which something was copied from another store."})
	repairedBytes = prometheus.NewCounter(prometheus.CounterOpts{Name: "reedtrack_outputs_repaired_bytes_total",
		Help: "Bytes copied from other stores, compressed."})
	repairBacklog = prometheus.NewGauge(prometheus.GaugeOpts{Name: "reedtrack_outputs_repair_behind",
		Help: "Attempts that this store should hold more of, as of the last round."})
	underReplicatedAttempts = prometheus.NewGauge(prometheus.GaugeOpts{Name: "reedtrack_outputs_thin",
		Help: "Attempts acknowledged with fewer copies than wanted, as of the last round."})
)

func init() {
	prometheus.MustRegister(repairedAttempts, repairedBytes, repairBacklog, underReplicatedAttempts)
}

// pullConcurrency is the number of attempts that are copied from a peer concurrently:
// enough to hide its latency, but few enough that it can still serve its writers.
const pullConcurrency = 4

// repairLoop runs a repair round per interval, and immediately when the view changes.
// After a member has left, rounds are suspended for the repair delay, in case the member
// returns.
func (n *Node) repairLoop(ctx context.Context) {
	previous, lostAt := n.membership.View(), time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.membership.Changed():
		case <-time.After(jitter(n.options.RepairInterval)):
		}
		v := n.membership.View()
		for _, m := range previous.Members {
			if v.Index(m.Name) < 0 {
				lostAt = time.Now()
			}
		}
		previous = v
		if !lostAt.IsZero() && time.Since(lostAt) < n.options.RepairDelay {
			continue
		}
		n.Repair(ctx, v)
		n.clearFullyReplicated(ctx, v)
	}
}

func jitter(d time.Duration) time.Duration { return nextBackoff(d/2, d, d) }

// repairResult is the result of a comparison with a peer.
type repairResult struct {
	repaired int // attempts of which data was copied
	missing  int // attempts of which the peer holds more data
}

func (c *repairResult) add(o repairResult) {
	c.repaired += o.repaired
	c.missing += o.missing
}

// Repair runs one round of anti-entropy repair against all peers and returns the
// number of attempts of which it copied data.
func (n *Node) Repair(ctx context.Context, v *View) int {
	n.repairMu.Lock()
	defer n.repairMu.Unlock()
	var total repairResult
	for _, m := range v.Members {
		if n.isSelf(m) || !n.health.isAvailable(m) || ctx.Err() != nil {
			continue
		}
		result, err := n.repairFrom(ctx, v, m)
		total.add(result)
		if err != nil && ctx.Err() == nil {
			slog.Warn("anti-entropy comparison failed", "member", m.Name, "err", err)
		}
	}
	repairBacklog.Set(float64(total.missing - total.repaired))
	return total.repaired
}

// repairFrom compares digests with one peer and copies missing data.
func (n *Node) repairFrom(ctx context.Context, v *View, m Member) (repairResult, error) {
	owner, members, factor := n.membership.Self.Name, v.toProto(), uint32(n.options.ReplicationFactor)
	remote, err := callPeer(ctx, n, m, Peer.Digests, &pb.DigestsRequest{Owner: owner, Members: members, Copies: factor})
	if err != nil {
		return repairResult{}, err
	}
	if len(remote.Buckets) != DigestBuckets {
		return repairResult{}, fmt.Errorf("%d buckets, not %d", len(remote.Buckets), DigestBuckets)
	}
	local := n.digestsFor(v, n.options.ReplicationFactor).buckets[m.Name]
	var total repairResult
	if differing := differingBuckets(local, remote.Buckets); len(differing) > 0 {
		req := &pb.BucketRequest{Owner: owner, Members: members, Copies: factor, Buckets: differing}
		total, err = n.pullMissing(ctx, m, req)
	}
	if err == nil && remote.Surplus > 0 {
		var result repairResult
		req := &pb.BucketRequest{Owner: owner, Members: members, Copies: factor, Surplus: true}
		result, err = n.pullMissing(ctx, m, req)
		total.add(result)
	}
	if total.repaired > 0 {
		slog.Info("attempts repaired", "from", m.Name, "attempts", total.repaired, "missing", total.missing)
	}
	return total, err
}

// differingBuckets returns the indices of the buckets whose digests differ. Without
// local digests, each of them counts as zero.
func differingBuckets(local, remote []uint64) []uint32 {
	var differing []uint32
	for i, digest := range remote {
		if local == nil && digest != 0 || local != nil && digest != local[i] {
			differing = append(differing, uint32(i))
		}
	}
	return differing
}

// pullMissing lists attempts that a peer holds, page by page, and copies the data that
// this member lacks.
func (n *Node) pullMissing(ctx context.Context, m Member, req *pb.BucketRequest) (repairResult, error) {
	var total repairResult
	for {
		page, err := callPeer(ctx, n, m, Peer.Bucket, req)
		if err != nil {
			return total, err
		}
		result, err := n.pullPage(ctx, m, page.Held)
		total.add(result)
		if err != nil || !page.More || len(page.Held) == 0 {
			return total, err
		}
		req = proto.CloneOf(req)
		req.After = page.Held[len(page.Held)-1].Key
	}
}

// pullPage copies the data that this member lacks of the given attempts, several
// concurrently. It tries all of them and returns the first error.
func (n *Node) pullPage(ctx context.Context, m Member, page []*pb.Held) (repairResult, error) {
	var (
		mu       sync.Mutex
		wg       sync.WaitGroup
		result   repairResult
		firstErr error
	)
	slots := make(chan struct{}, pullConcurrency)
	for _, held := range page {
		if !n.needsRepair(held) {
			continue
		}
		slots <- struct{}{}
		result.missing++
		wg.Go(func() {
			defer func() { <-slots }()
			err := n.pullAttempt(ctx, m, held)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				result.repaired++
			} else if firstErr == nil {
				firstErr = err
			}
		})
	}
	wg.Wait()
	return result, firstErr
}

// needsRepair reports whether this member lacks data of a peer's replica.
func (n *Node) needsRepair(remote *pb.Held) bool {
	if n.isExpired(remote.Summary, time.Now().Add(n.retentionMargin(remote.Summary))) {
		return false // it would be dropped soon and copied again in each round
	}
	local := n.store.Held(remote.Key)
	if local == nil {
		return true
	}
	if local.Complete {
		return false
	}
	if remote.Complete || remote.Summary.Sealed && !local.Summary.Sealed {
		return true
	}
	if remote.Summary.Meta != nil && local.Summary.Meta == nil {
		return true
	}
	return !containsSpans(local.Spans, remote.Spans)
}

// containsSpans reports whether a set of spans covers all records of another.
func containsSpans(have, other []*pb.Span) bool {
	for _, x := range other {
		if len(outputs.Spans(have).Missing(x.From, x.To)) > 0 {
			return false
		}
	}
	return true
}
