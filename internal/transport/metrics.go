package transport

import (
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics of the requests of users and workers.
var (
	requestsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "reedtrack_requests_total",
		Help: "Requests answered, by kind and status.",
	}, []string{"kind", "status"})
	requestSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "reedtrack_request_seconds",
		Help:    "Time from a request's arrival to its answer.",
		Buckets: []float64{.002, .005, .01, .02, .05, .1, .25, .5, 1, 2.5, 5},
	}, []string{"kind"})
)

// Metrics that are updated by the controller.
var (
	// RecordSchemaVersion is the version of the schema that records are written in.
	RecordSchemaVersion = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "reedtrack_record_form",
		Help: "Form in which records are written; 2 once every controller has run a version that knows it.",
	})
	// UpgradedControllers is the number of controllers that have run a version that
	// supports the newest schema.
	UpgradedControllers = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "reedtrack_upgraded_controllers",
		Help: "Controllers that have run a version that knows the newest form.",
	})
	// LeaseRenewals counts the lease renewals that this controller sent.
	LeaseRenewals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "reedtrack_lease_renewals_total",
		Help: "Renewals of this controller's lease that were sent, by outcome.",
	}, []string{"outcome"})
	// HeartbeatRelays counts the heartbeats that this controller relayed to shard holders.
	HeartbeatRelays = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "reedtrack_heartbeat_relays_total",
		Help: "Heartbeats relayed to the holder of the machine's shard, by outcome.",
	}, []string{"outcome"})
	// AcknowledgementSeconds is how long machines whose shard holder is unreachable
	// waited until this controller was allowed to respond to them.
	AcknowledgementSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "reedtrack_delegation_acknowledgement_seconds",
		Help:    "Time from when a machine was to be delegated to this controller until its holder's acknowledgement was known.",
		Buckets: []float64{.1, .25, .5, 1, 2, 4, 6, 10, 15},
	})
	// ShardFences counts the fencing tokens that this controller issued to its shards.
	ShardFences = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "reedtrack_shard_fences_total",
		Help: "Newer fencing tokens issued to the machines of this controller's shards, after which direct commands sent before are rejected.",
	})
	// RetainedAttempts is the number of ended attempts that workers are not told to clear.
	RetainedAttempts = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "reedtrack_retained_attempts",
		Help: "Ended attempts kept on the machines of this controller's shards, since the direct commands that started them may arrive again.",
	})
	// BlockedJobs is the number of jobs in this controller's shards that are blocked by
	// a dependency.
	BlockedJobs = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "reedtrack_jobs_held",
		Help: "Jobs of this controller's shards that wait for other jobs.",
	})
)

func init() {
	prometheus.MustRegister(requestsTotal, requestSeconds, RecordSchemaVersion, UpgradedControllers, BlockedJobs, HeartbeatRelays, AcknowledgementSeconds, LeaseRenewals, ShardFences, RetainedAttempts)
}

// measure records the count and latency of requests of the given kind.
func measure(kind string, next echo.HandlerFunc) echo.HandlerFunc {
	seconds := requestSeconds.WithLabelValues(kind)
	return func(c echo.Context) error {
		start := time.Now()
		err := next(c)
		seconds.Observe(time.Since(start).Seconds())
		requestsTotal.WithLabelValues(kind, strings.TrimSpace(http.StatusText(c.Response().Status))).Inc()
		return err
	}
}
