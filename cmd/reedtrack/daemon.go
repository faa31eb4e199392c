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
	// heapShare is the part of limits.memory_mb that the Go runtime may use; the
	// rest is for what it does not count, such as the program itself.
	heapShare = 0.7
	// gcPercent makes collections rarer than the runtime's 100: the processor is
	// scarcer than memory.
	gcPercent = 400
	// maxUserRequests is how many requests of users are answered at a time.
	maxUserRequests = 128
	// connsPerPeer is how many connections each other controller may have open.
	connsPerPeer = 4
	// maxOperatorConns is how many connections the operators' endpoint takes.
	maxOperatorConns = 8
	// reservedSockets is how many sockets are kept from users and workers at most,
	// for the services and the other controllers.
	reservedSockets = 200
	// requestGracePeriod is how long a request may take to arrive while others find no
	// socket.
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
	// Both listeners are open before the node opens its session: that the addresses
	// are ours proves that no process of this name is left, however it ended.
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
		// Not waited for: the controller does not depend on this address.
		go serveOperators(ctx, op.StatusListen, node)
	}
	slog.Info("controller started", "controller", set.HostName, "listen", set.Listen, "holder_lease", op.HolderLease)
	node.Run(ctx)
	return server.Close()
}

// logLevel returns the level that the environment variable LOG_LEVEL names.
func logLevel() slog.Level {
	switch os.Getenv("LOG_LEVEL") {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}

// limitMemory sets the limits of the Go runtime; 0 MiB: no limit.
func limitMemory(memoryMB float64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB * heapShare * (1 << 20)))
	}
	debug.SetGCPercent(gcPercent)
}

// newNode connects a controller with its services and peers.
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

// sendDirect returns the function that sends direct commands to workers. Only an
// answer that can be read tells whether they were carried out.
func sendDirect(workers *transport.WorkerClient) coordination.Direct {
	return func(ctx context.Context, address string, command protocol.DirectCommands) coordination.DirectAnswer {
		result := workers.Do(ctx, address, command)
		answer := coordination.DirectAnswer{Report: result.Heartbeat}
		switch {
		case !result.Sent:
			answer.Outcome = coordination.Unsent
		case result.StatusCode == http.StatusOK && result.Heartbeat != nil:
			answer.Outcome = coordination.Done
		case result.StatusCode == http.StatusConflict || result.StatusCode == http.StatusBadRequest:
			answer.Outcome = coordination.Denied
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
