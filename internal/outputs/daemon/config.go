package daemon

import (
	"net/http"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/access"
	"reedtrack/internal/outputs/cluster"
	"reedtrack/internal/outputs/disk"
	"reedtrack/internal/outputs/serve"
	"reedtrack/internal/outputs/settings"
	"reedtrack/internal/storage"
)

// configSource names the program in errors about its configuration.
const configSource = "outputs"

// Config describes the store to run.
type Config struct {
	Name      string // unique among the stores
	Zone      string
	Listen    string // HOST:PORT
	Advertise string // URL at which others reach it; empty: made of Listen
	Dir       string // data directory, created if need be
	Settings  settings.Outputs

	// State is the key-value store in which the members find each other; nil: the
	// store is alone. StatePollInterval is the time between two reads of it.
	KeyValueStore cluster.KeyValueStore
	WatchPause    func(stores int) time.Duration

	ConcurrencyLimits serve.ConcurrencyLimits // zero: serve.DefaultBounds
	FS                disk.FS                 // nil: the system's

	// Tests shorten these; zero values are replaced by those of production.
	MaintenanceInterval time.Duration
	PinDuration         time.Duration
	CallTimeout         time.Duration
	CompactionDelay     time.Duration

	PeerTransport http.RoundTripper // of requests to other stores; nil: over the network
}

// Check says what is wrong with a configuration before anything is opened. Every
// error is a *config.FieldError.
func (c *Config) Check() error {
	if err := outputs.CheckName("name", c.Name); err != nil {
		return fieldError("--name", err.Error())
	}
	if err := outputs.CheckName("zone", c.Zone); err != nil {
		return fieldError("--zone", err.Error())
	}
	if c.Dir == "" {
		return fieldError("--data", "missing")
	}
	set := &c.Settings
	isProtected := set.Cert != "" && len(set.Tokens) > 0
	if !access.IsLoopback(c.Listen) && !isProtected {
		return fieldError("--listen", c.Listen+" is reached from other machines: outputs/tls and outputs/token are needed")
	}
	if len(set.Tokens) > 0 && set.PeerToken == "" && c.KeyValueStore != nil {
		return fieldError("outputs/peer-token-file", "missing: with tokens, stores need one for each other")
	}
	return nil
}

func fieldError(field, reason string) error {
	return &config.FieldError{File: configSource, Field: field, Reason: reason}
}

const (
	// minWatchPause and maxStatePoll bound the time between two reads of the members:
	// more often only costs requests, and more seldom leaves members unnoticed.
	minWatchPause = time.Second
	maxWatchPause = 30 * time.Second
)

// NewKeyValueStoreClient returns a client of the platform's key-value store that uses no
// more than a share of its request rates, and how often to poll it with so many
// stores.
func NewKeyValueStoreClient(platform *config.Settings, share float64) (cluster.KeyValueStore, func(stores int) time.Duration) {
	readRate := platform.Deployment.State.RPS * share
	writeRate := platform.StoreLimits().WriteRPS * share
	pollInterval := func(stores int) time.Duration {
		interval := storage.WatchPause(readRate, max(1, stores))
		return min(max(interval, minWatchPause), maxWatchPause)
	}
	return storage.NewClient(platform.Services.State, readRate, writeRate, 1), pollInterval
}
