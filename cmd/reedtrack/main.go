// Command reedtrack schedules jobs on rented machines: it is the daemon that
// every controller of a deployment runs, and the client for its users.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"reedtrack/internal/config"
	"reedtrack/internal/coordination"
	"reedtrack/internal/storage"
	"reedtrack/internal/transport"
)

type cli struct {
	Daemon  daemonCmd  `cmd:"" default:"withargs" help:"Run a controller (the default)."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

type daemonCmd struct {
	Config   string `required:"" placeholder:"FILE" help:"Settings of the platform (TOML)."`
	Operator string `placeholder:"FILE" env:"REEDTRACK_OPERATOR" help:"Operators' own settings (XML)."`
}

type versionCmd struct{}

// version is the release; the build may set it.
var version = "0.1.0"

// Run prints the version.
func (versionCmd) Run() error {
	fmt.Println("reedtrack", version)
	return nil
}

func main() {
	var c cli
	parser, err := kong.New(&c, kong.Name("reedtrack"), kong.Description("A cluster scheduler for rented machines."))
	if err != nil {
		panic(err)
	}
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "reedtrack:", err)
		os.Exit(2)
	}
	err = ctx.Run()
	var fe *config.FieldError
	switch {
	case errors.As(err, &fe):
		fmt.Fprintln(os.Stderr, "reedtrack:", err)
		os.Exit(2)
	case err != nil:
		fmt.Fprintln(os.Stderr, "reedtrack:", err)
		os.Exit(1)
	}
}

func level() slog.Level {
	switch os.Getenv("LOG_LEVEL") {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}

// Run starts the daemon.
func (d *daemonCmd) Run() error {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level()})))
	set, err := config.Load(d.Config)
	if err != nil {
		return err
	}
	op, err := set.LoadOperator(d.Operator)
	if err != nil {
		return err
	}
	dep := &set.Deployment
	if mb := dep.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb * 0.7 * (1 << 20)))
	}
	// The processor is scarcer than memory: collect less often.
	debug.SetGCPercent(400)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	state := storage.NewClient(set.Services.State, dep.State.RPS, dep.State.WriteRPS, dep.Count)
	peers := map[string]coordination.Peer{}
	for _, s := range set.Siblings {
		peers[s.Name] = transport.NewLink(s.Address)
	}
	node := coordination.New(set, op, state, transport.NewCloud(set.Services.Cloud, coordination.ErrNoCapacity), peers, transport.SendDirect())
	peerLn, err := net.Listen("tcp", set.PeerBind)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", set.Listen)
	if err != nil {
		return err
	}
	if n := dep.Limits.MaxSockets; n > 0 {
		ln = transport.LimitListener(ln, max(n*3/4, n-200))
	}
	srv := transport.NewServer(coordination.Service{Node: node}, 128)
	go transport.ServeLinks(ctx, peerLn, 4*max(1, len(peers)), node.Hear)
	go srv.Serve(ln)
	slog.Info("started", "name", set.HostName, "listen", set.Listen, "holder_lease", op.HolderLease)
	node.Run(ctx)
	return srv.Close()
}
