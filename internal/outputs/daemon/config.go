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

// configSource is the source named in errors about the command line and settings.
const configSource = "outputs"

// Config is the configuration of a store.
type Config struct {
	Name      string // unique among the stores
	Zone      string
	Listen    string // HOST:PORT
	Advertise string // URL at which others reach the store; empty: derived from Listen
	Dir       string // data directory, created if it does not exist
	Settings  settings.Outputs

	// KeyValueStore is where the members register; nil: single-member cluster.
	// WatchPause returns the pause between two watch requests to it.
	KeyValueStore cluster.KeyValueStore
	WatchPause    func(stores int) time.Duration

	ConcurrencyLimits serve.ConcurrencyLimits // zero: serve.DefaultConcurrencyLimits
	FS                disk.FS                 // nil: the operating system's

	// Tests set shorter durations; zero values are replaced by the defaults.
	MaintenanceInterval time.Duration
	PinDuration         time.Duration
	CallTimeout         time.Duration
	CompactionDelay     time.Duration

	PeerTransport http.RoundTripper // for requests to other stores; nil: the network
}

// Check validates a configuration before any resource is opened. Every error is a
// *config.FieldError.
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
	// minWatchPause and maxWatchPause limit the pause between two watch requests:
	// shorter pauses only cost requests, and longer ones delay the discovery of members.
	minWatchPause = time.Second
	maxWatchPause = 30 * time.Second
)

// NewKeyValueStoreClient returns a client of the platform's key-value store that uses at
// most a share of the store's request rates, and the pause between watch requests for
// a given number of stores.
func NewKeyValueStoreClient(platform *config.Settings, share float64) (cluster.KeyValueStore, func(stores int) time.Duration) {
	readRate := platform.Deployment.State.RPS * share
	writeRate := platform.StoreLimits().WriteRPS * share
	watchPause := func(stores int) time.Duration {
		pause := storage.WatchPause(readRate, max(1, stores))
		return min(max(pause, minWatchPause), maxWatchPause)
	}
	return storage.NewClient(platform.Services.State, readRate, writeRate, 1), watchPause
}
