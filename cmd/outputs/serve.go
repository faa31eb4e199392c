package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"reedtrack/internal/config"
	"reedtrack/internal/outputs/daemon"
)

// settingsFlags are the flags that configure a store, shared by serve and check.
type settingsFlags struct {
	Config    string `placeholder:"FILE" help:"Settings of the platform (TOML), for the state service's address and limits. Absent: the store is alone."`
	Operator  string `placeholder:"FILE" env:"REEDTRACK_OPERATOR" help:"Operators' own settings (XML)."`
	Name      string `required:"" help:"The store's name, one of its own."`
	Zone      string `required:"" help:"The zone that it stands in."`
	Listen    string `default:"127.0.0.1:8110" placeholder:"HOST:PORT" help:"Where it listens."`
	Advertise string `placeholder:"URL" help:"At what address others reach it, if not where it listens."`
	Data      string `required:"" placeholder:"DIR" help:"Directory of what it keeps; made if need be."`
}

// load reads the settings files and validates them together with the flags.
func (f *settingsFlags) load() (daemon.Config, error) {
	outputs, err := config.LoadOutputs(f.Operator)
	if err != nil {
		return daemon.Config{}, err
	}
	c := daemon.Config{
		Name:      f.Name,
		Zone:      f.Zone,
		Listen:    f.Listen,
		Advertise: f.Advertise,
		Dir:       f.Data,
		Settings:  outputs,
	}
	if f.Config != "" {
		platform, err := config.Load(f.Config)
		if err != nil {
			return c, err
		}
		c.KeyValueStore, c.WatchPause = daemon.NewKeyValueStoreClient(platform, outputs.StateShare)
	}
	return c, c.Check()
}

// serveCmd implements the command serve.
type serveCmd struct{ settingsFlags }

// Run runs the store until it receives SIGINT or SIGTERM.
func (s *serveCmd) Run() error {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()})))
	c, err := s.load()
	if err != nil {
		return err
	}
	if c.KeyValueStore == nil && c.Settings.Copies > 1 {
		slog.Warn("store runs alone, outputs have one copy", "configured_copies", c.Settings.Copies)
	}
	d, err := daemon.Start(c)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	slog.Info("store stopping")
	return d.Close()
}

// logLevel returns the log level set by the environment variable LOG_LEVEL; the
// default is info.
func logLevel() slog.Level {
	switch os.Getenv("LOG_LEVEL") {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}
