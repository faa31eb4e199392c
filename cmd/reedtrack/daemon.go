package main

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/coordination"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
	"reedtrack/internal/transport"
)

const (
	// heapShare is the fraction of limits.memory_mb that the Go runtime may use; the
	// rest is for memory that it does not account for, such as the program itself.
	heapShare = 0.7
	// gcPercent makes garbage collections less frequent than the default of 100, since
	// CPU time is scarcer than memory.
	gcPercent = 400
	// maxUserRequests is the maximum number of user requests in progress.
	maxUserRequests = 128
	// connsPerPeer is the maximum number of connections of each other controller.
	connsPerPeer = 4
	// maxOperatorConns is the maximum number of connections of the operators' endpoint.
	maxOperatorConns = 8
	// reservedSockets is the maximum number of sockets that are reserved for the
	// services and the other controllers, and not available to users and workers.
	reservedSockets = 200
	// requestGracePeriod is how long a request may take to arrive before its connection
	// can be evicted for a new one at the connection limit.
	requestGracePeriod = time.Second
)

type daemonCmd struct{ settingsFlags }

// Run runs a controller until it is interrupted.
func (d *daemonCmd) Run() error {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()})))
	set, op, err := d.load()
	if err != nil {
		return err
	}
	limitMemory(set.Deployment.Limits.MemoryMB)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	node := newNode(set, op)
	// Both listeners are opened before the node opens its session: holding the addresses
	// proves that no earlier process of this controller is still running.
	peerListener, err := transport.Listen(ctx, set.PeerBind)
	if err != nil {
		return err
	}
	listener, err := transport.Listen(ctx, set.Listen)
	if err != nil {
		return err
	}
	server := transport.NewServer(coordination.Service{Node: node}, maxUserRequests)
	if sockets := set.Deployment.Limits.MaxSockets; sockets > 0 {
		limiter := transport.NewConnLimiter(listener, max(sockets*3/4, sockets-reservedSockets), requestGracePeriod)
		limiter.Track(server)
		listener = limiter
	}
	go transport.ServePeers(ctx, peerListener, connsPerPeer*max(1, len(set.Siblings)), node.ReceiveMessage)
	go server.Serve(listener)
	if op.StatusListen != "" {
		// Runs in the background, since the controller does not depend on this address.
		go serveOperators(ctx, op.StatusListen, node)
	}
	slog.Info("controller started", "controller", set.HostName, "listen", set.Listen, "holder_lease", op.HolderLease)
	node.Run(ctx)
	return server.Close()
}

// logLevel returns the log level set in the environment variable LOG_LEVEL.
func logLevel() slog.Level {
	switch os.Getenv("LOG_LEVEL") {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}

// limitMemory sets the memory limit and GC target of the Go runtime; 0 MiB: no limit.
func limitMemory(memoryMB float64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB * heapShare * (1 << 20)))
	}
	debug.SetGCPercent(gcPercent)
}

// newNode creates a node with clients for its services and peers.
func newNode(set *config.Settings, op config.Operator) *coordination.Node {
	deployment := &set.Deployment
	store := storage.NewClient(set.Services.State, deployment.State.RPS, deployment.State.WriteRPS, deployment.Count)
	cloud := transport.NewCloudClient(set.Services.Cloud, coordination.ErrNoCapacity)
	peers := map[string]coordination.Peer{}
	for _, s := range set.Siblings {
		peers[s.Name] = transport.NewPeerClient(s.Address)
	}
	return coordination.New(set, op, store, cloud, peers, sendDirect(transport.NewWorkerClient()))
}

// sendDirect returns the function that sends direct commands to workers. Only a valid
// response shows whether the commands were executed.
func sendDirect(workers *transport.WorkerClient) coordination.DirectSender {
	return func(ctx context.Context, address string, command protocol.DirectCommands) coordination.DirectAnswer {
		result := workers.Do(ctx, address, command)
		answer := coordination.DirectAnswer{Report: result.Heartbeat}
		switch {
		case !result.Sent:
			answer.Outcome = coordination.DirectUnsent
		case result.StatusCode == http.StatusOK && result.Heartbeat != nil:
			answer.Outcome = coordination.DirectDone
		case result.StatusCode == http.StatusConflict || result.StatusCode == http.StatusBadRequest:
			answer.Outcome = coordination.DirectRejected
		}
		return answer
	}
}

// serveOperators serves the operators' endpoint.
func serveOperators(ctx context.Context, address string, node *coordination.Node) {
	listener, err := transport.Listen(ctx, address)
	if err != nil {
		slog.Error("operators' endpoint failed", "address", address, "err", err)
		return
	}
	transport.NewOperatorServer(node).Serve(transport.LimitListener(listener, maxOperatorConns))
}
