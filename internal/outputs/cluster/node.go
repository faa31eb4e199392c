package cluster

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel"
	"golang.org/x/time/rate"

	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/disk"
	"reedtrack/internal/outputs/outputsv1/outputsv1connect"
)

// Peer is the client of another member.
type Peer = outputsv1connect.PeerServiceClient

// Options configure a [Node]. All fields must be set; package settings has defaults.
type Options struct {
	ReplicationFactor    int
	CallTimeout          time.Duration // of one request to a peer
	RepairInterval       time.Duration // between rounds of anti-entropy repair
	RepairDelay          time.Duration // from the loss of a member until its replicas are copied to others
	RepairBytesPerSecond int
	ScrubBytesPerSecond  int // for scrub and compaction each
	ScrubInterval        time.Duration
	// PinDuration is how long a replica is kept after it was confirmed to another
	// member, which may then drop its own.
	PinDuration time.Duration
	// Retention returns how long outputs of a team and job class are kept; 0 means
	// forever.
	Retention           func(team, class string) time.Duration
	Limits              Limits
	Dial                func(Member) Peer
	MaintenanceInterval time.Duration // between rounds of expiry, removal of surplus replicas and compaction
}

// Minimum burst sizes of the background limiters. A whole block must fit.
const (
	minRepairBurst = 8 << 20
	minScrubBurst  = 1 << 20
)

// Node is this member of the cluster, with its store.
type Node struct {
	options       Options
	store         *disk.Store
	membership    *Membership
	health        peerHealth
	limiter       *limiter
	started       time.Time
	repairLimiter *rate.Limiter

	repairMu sync.Mutex // held during a round of repair

	peerMu sync.Mutex
	peers  map[string]peerClient // by member name

	pinMu sync.Mutex
	pins  map[string]time.Time // by key: time until which other members may rely on the local replica

	digestMu    sync.Mutex
	digestCache map[string]*digestSet // by replication factor and view
}

type peerClient struct {
	address string
	peer    Peer
}

// ErrUnavailable means that none of the members that could serve a request answered.
var ErrUnavailable = errors.New("no store that could answer did")

var tracer = otel.Tracer("reedtrack/outputs")

// New returns the node of a store. [Node.Run] starts its background work.
func New(store *disk.Store, membership *Membership, options Options) *Node {
	repairRate := options.RepairBytesPerSecond
	return &Node{
		options:       options,
		store:         store,
		membership:    membership,
		health:        peerHealth{backoffs: map[string]*peerBackoff{}},
		limiter:       newLimiter(options.Limits),
		started:       time.Now(),
		repairLimiter: rate.NewLimiter(rate.Limit(repairRate), max(repairRate, minRepairBurst)),
		peers:         map[string]peerClient{},
		pins:          map[string]time.Time{},
		digestCache:   map[string]*digestSet{},
	}
}

// Store returns the store of this member.
func (n *Node) Store() *disk.Store { return n.store }

// Membership returns the cluster membership of this member.
func (n *Node) Membership() *Membership { return n.membership }

// ReplicationFactor returns how many members should hold each attempt.
func (n *Node) ReplicationFactor() int { return n.options.ReplicationFactor }

// Limits returns the limits that apply to writers.
func (n *Node) Limits() Limits { return n.options.Limits }

// Run runs membership, repair, maintenance and scrubbing until the context is done.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){n.membership.Run, n.repairLoop, n.maintenanceLoop, n.scrubLoop} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// peer returns the client of a member, and creates a new one if its address changed.
func (n *Node) peer(m Member) Peer {
	n.peerMu.Lock()
	defer n.peerMu.Unlock()
	c, ok := n.peers[m.Name]
	if !ok || c.address != m.Address {
		c = peerClient{address: m.Address, peer: n.options.Dial(m)}
		n.peers[m.Name] = c
	}
	return c.peer
}

func (n *Node) isSelf(m Member) bool { return m.Name == n.membership.Self.Name }

// call sends a request to a peer with the call timeout and updates the peer's backoff.
func (n *Node) call(ctx context.Context, m Member, send func(ctx context.Context, p Peer) error) error {
	callCtx, cancel := context.WithTimeout(ctx, n.options.CallTimeout)
	defer cancel()
	err := send(callCtx, n.peer(m))
	if ctx.Err() == nil || err == nil { // a canceled call is no evidence of the peer's health
		n.health.record(m, err)
	}
	return err
}

// peerMethod is a unary method of the peer service, such as Peer.Held.
type peerMethod[Q, R any] func(Peer, context.Context, *connect.Request[Q]) (*connect.Response[R], error)

// callPeer sends one unary request with [Node.call].
func callPeer[Q, R any](ctx context.Context, n *Node, m Member, method peerMethod[Q, R], request *Q) (*R, error) {
	var resp *R
	err := n.call(ctx, m, func(ctx context.Context, p Peer) error {
		r, err := method(p, ctx, connect.NewRequest(request))
		if err == nil {
			resp = r.Msg
		}
		return err
	})
	return resp, err
}

// maintenanceLoop periodically drops expired and over-replicated attempts, removes
// orphan chunks and compacts the disk.
func (n *Node) maintenanceLoop(ctx context.Context) {
	limiter := n.newScrubLimiter()
	for sleep(ctx, n.options.MaintenanceInterval) {
		n.dropExpired(ctx, time.Now())
		n.dropOverReplicated(ctx)
		if removed, err := n.store.RemoveOrphanChunks(); err != nil {
			slog.Warn("orphan chunks not removed", "err", err)
		} else if removed > 0 {
			slog.Info("orphan chunks removed", "chunks", removed)
		}
		n.compact(ctx, limiter)
	}
}

// compact runs rounds of compaction until no segment needs compaction.
func (n *Node) compact(ctx context.Context, limiter *rate.Limiter) {
	for {
		worked, err := n.store.Compact(ctx, throttle(limiter))
		if err != nil && ctx.Err() == nil {
			slog.Warn("compaction failed", "err", err)
		}
		if err != nil || !worked {
			return
		}
	}
}

// scrubLoop scrubs the disk once per interval, to find damage while another replica
// is still intact.
func (n *Node) scrubLoop(ctx context.Context) {
	for sleep(ctx, n.options.ScrubInterval) {
		if err := n.Scrub(ctx); err != nil && ctx.Err() == nil {
			slog.Warn("scrub failed", "err", err)
		}
	}
}

// Scrub reads and verifies the whole disk once. Damaged entries count as missing, so
// that repair copies them again. An attempt that does not match its seal is invalidated
// if another member has a complete replica.
func (n *Node) Scrub(ctx context.Context) error {
	found, err := n.store.Scrub(ctx, throttle(n.newScrubLimiter()))
	for _, key := range found.Mismatched {
		list, _ := n.replicas(ctx, key, true)
		repairable := slices.ContainsFunc(list, func(r replica) bool {
			return !n.isSelf(r.member) && r.held.Complete
		})
		a, _ := outputs.ParseKey(key)
		slog.Error("attempt digest mismatched", "attempt", outputs.FormatAttempt(a), "repairable", repairable)
		if repairable {
			err = errors.Join(err, n.store.Invalidate(key))
		}
	}
	slog.Info("scrub completed", "entries", found.Entries, "damaged", found.Damaged, "mismatched", len(found.Mismatched))
	return err
}

func (n *Node) newScrubLimiter() *rate.Limiter {
	bytesPerSecond := n.options.ScrubBytesPerSecond
	return rate.NewLimiter(rate.Limit(bytesPerSecond), max(bytesPerSecond, minScrubBurst))
}

// throttle returns a function that waits until a limiter admits a number of bytes. It
// reserves them in parts no larger than the limiter's burst.
func throttle(l *rate.Limiter) func(ctx context.Context, bytes int) error {
	return func(ctx context.Context, bytes int) error {
		for bytes > 0 {
			piece := min(bytes, l.Burst())
			if err := l.WaitN(ctx, piece); err != nil {
				return err
			}
			bytes -= piece
		}
		return nil
	}
}
