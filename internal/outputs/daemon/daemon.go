// Package daemon assembles and runs a store of task outputs. Its parts are the disk
// store, the cluster membership, the node that replicates and repairs attempts, and
// the server for writers, readers and other stores. [Start] creates them from a
// [Config] in this order, and [Daemon.Close] stops them in reverse order.
package daemon

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"time"

	"connectrpc.com/connect"

	"reedtrack/internal/outputs/access"
	"reedtrack/internal/outputs/client"
	"reedtrack/internal/outputs/cluster"
	"reedtrack/internal/outputs/disk"
	"reedtrack/internal/outputs/outputsv1/outputsv1connect"
	"reedtrack/internal/outputs/serve"
	"reedtrack/internal/outputs/tracing"
)

const (
	// connectionsPerPeer is the number of idle connections kept to another store, to
	// which writes are sent concurrently.
	connectionsPerPeer = 32
	// maxPeerMessageBytes limits a message from another store. It is well above the
	// size of the largest block of records and of the largest scan page.
	maxPeerMessageBytes = 16 << 20

	defaultCallTimeout         = 3 * time.Second
	defaultPinDuration         = time.Minute
	defaultMaintenanceInterval = 30 * time.Second

	serviceName = "reedtrack-outputs" // in traces
	membersFile = "members.json"      // cache of the last known members, in the data directory
)

// Daemon is a running store.
type Daemon struct {
	Node *cluster.Node
	URL  string // at which others reach the store

	store      *disk.Store
	server     *serve.Server
	stopNode   context.CancelFunc
	nodeDone   sync.WaitGroup
	stopTraces func()
}

// Start opens a store and starts to serve requests.
func Start(c Config) (d *Daemon, err error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	creds, err := loadCredentials(&c)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(c.Dir, 0o750); err != nil {
		return nil, err
	}
	storeID, err := loadStoreID(c.Dir)
	if err != nil {
		return nil, err
	}
	d = new(Daemon)
	defer func() {
		if err != nil {
			d.Close()
		}
	}()
	interceptors, stopTraces, err := tracing.Start(context.Background(), c.Settings.Trace, serviceName, c.Name)
	if err != nil {
		return nil, err
	}
	d.stopTraces = stopTraces
	if d.store, err = openDisk(&c); err != nil {
		return nil, err
	}
	dial, err := newPeerDialer(&c, creds.peerToken, interceptors)
	if err != nil {
		return nil, err
	}
	members := newMembership(&c, storeID)
	d.Node = cluster.New(d.store, members, nodeOptions(&c, dial))
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, err
	}
	if d.URL, err = advertisedURL(&c, creds.scheme(), ln.Addr()); err != nil {
		ln.Close()
		return nil, err
	}
	members.Self.Address = d.URL
	members.LoadCache()
	d.serve(ln, &c, creds, interceptors)
	d.runNode()
	slog.Info("outputs store started", "name", c.Name, "zone", c.Zone, "address", d.URL, "data", c.Dir,
		"copies", c.Settings.Copies, "alone", c.KeyValueStore == nil, "tokens", len(c.Settings.Tokens))
	return d, nil
}

func openDisk(c *Config) (*disk.Store, error) {
	return disk.Open(disk.Options{
		Dir:             c.Dir,
		FS:              c.FS,
		SegmentBytes:    c.Settings.SegmentBytes,
		MaxBytes:        c.Settings.MaxBytes,
		ReserveBytes:    c.Settings.ReserveBytes,
		CompactionDelay: c.CompactionDelay,
	})
}

// newPeerDialer returns a function that creates the client of another store.
func newPeerDialer(c *Config, peerToken string, interceptors []connect.Interceptor) (func(cluster.Member) cluster.Peer, error) {
	httpClient, err := access.NewHTTPClient(c.Settings.CA, connectionsPerPeer)
	if err != nil {
		return nil, err
	}
	if c.PeerTransport != nil {
		httpClient = &http.Client{Transport: c.PeerTransport}
	}
	return func(member cluster.Member) cluster.Peer {
		return outputsv1connect.NewPeerServiceClient(httpClient, member.Address,
			connect.WithInterceptors(append(interceptors, client.BearerToken(peerToken))...),
			connect.WithReadMaxBytes(maxPeerMessageBytes))
	}, nil
}

func newMembership(c *Config, storeID string) *cluster.Membership {
	return &cluster.Membership{
		Self:          cluster.Member{Name: c.Name, Zone: c.Zone, ID: storeID},
		KeyValueStore: c.KeyValueStore,
		LeaseDuration: c.Settings.Lease,
		WatchPause:    c.WatchPause,
		CacheFile:     filepath.Join(c.Dir, membersFile),
	}
}

func nodeOptions(c *Config, dial func(cluster.Member) cluster.Peer) cluster.Options {
	set := &c.Settings
	return cluster.Options{
		ReplicationFactor:    set.Copies,
		CallTimeout:          cmp.Or(c.CallTimeout, defaultCallTimeout),
		RepairInterval:       set.RepairInterval,
		RepairDelay:          set.RepairDelay,
		RepairBytesPerSecond: int(set.RepairRate),
		ScrubBytesPerSecond:  int(set.ScrubRate),
		ScrubInterval:        set.ScrubInterval,
		PinDuration:          cmp.Or(c.PinDuration, defaultPinDuration),
		MaintenanceInterval:  cmp.Or(c.MaintenanceInterval, defaultMaintenanceInterval),
		Retention:            set.RetentionFor,
		Limits: cluster.Limits{
			AttemptBytes:  set.AttemptBytes,
			AttemptRate:   set.AttemptRate,
			ArtefactBytes: set.ArtefactBytes,
			TeamRate:      set.TeamRate,
			TeamBytes:     set.TeamBytes,
			StoreRate:     set.StoreRate,
		},
		Dial: dial,
	}
}

// advertisedURL returns the URL at which others reach a store with the given listen
// address.
func advertisedURL(c *Config, scheme string, listen net.Addr) (string, error) {
	advertised := c.Advertise
	if advertised == "" {
		advertised = scheme + "://" + listen.String()
	}
	parsed, err := url.Parse(advertised)
	if err != nil || parsed.Host == "" || parsed.Scheme != scheme {
		return "", fieldError("--advertise", "must be an address as "+scheme+"://10.0.0.7:8110")
	}
	return advertised, nil
}

// serve starts to serve requests on a listener.
func (d *Daemon) serve(ln net.Listener, c *Config, creds *credentials, interceptors []connect.Interceptor) {
	limits := c.ConcurrencyLimits
	if limits == (serve.ConcurrencyLimits{}) {
		limits = serve.DefaultConcurrencyLimits()
	}
	var options []connect.HandlerOption
	if len(interceptors) > 0 {
		options = append(options, connect.WithInterceptors(interceptors...))
	}
	handler := serve.New(d.Node, creds.tokens, limits, options...)
	d.server = serve.Serve(ln, handler, creds.certificate, limits)
}

// runNode starts the node's background work.
func (d *Daemon) runNode() {
	var ctx context.Context
	ctx, d.stopNode = context.WithCancel(context.Background())
	d.nodeDone.Go(func() { d.Node.Run(ctx) })
}

// Close stops the store. It gives requests in progress a short time to finish, and
// writes the index to make the next start faster.
func (d *Daemon) Close() error {
	if d.stopNode != nil {
		d.stopNode()
	}
	var err error
	if d.server != nil {
		err = d.server.Close()
	}
	d.nodeDone.Wait()
	if d.store != nil {
		err = errors.Join(err, d.store.Close())
	}
	if d.stopTraces != nil {
		d.stopTraces()
	}
	return err
}

// kill stops the store as if its process were killed: requests are aborted and the
// index is not written. It is used in tests.
func (d *Daemon) kill() {
	d.stopNode()
	d.server.Kill()
	d.store.Kill()
	d.nodeDone.Wait()
}
