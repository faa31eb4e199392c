package transport

import (
	_ "embed" // for overview.html
	"html/template"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	operatorReadHeaderTimeout = 5 * time.Second
	operatorIdleTimeout       = time.Minute
	// overviewMaxAge is how long a rendered page is cached.
	overviewMaxAge = time.Second
)

// Overview is the content of the operators' status page. The template overview.html
// refers to its fields by name.
type Overview struct {
	Name            string // of this controller
	Leader          string // name of the leader; empty: none
	HoldsLease      bool
	LeaseRemaining  time.Duration
	Shards          []ShardView
	Teams           []TeamView
	Machines        []MachineView
	Jobs            []JobView
	MoreJobs        int    // number of jobs that are not in Jobs
	UpgradeProgress string // human-readable progress of a schema upgrade
	OutputsURL      string // base URL of the task outputs for users; empty: none
}

// ShardView describes a shard's lease and size.
type ShardView struct {
	Index        int
	Holder       string // name of the controller that holds the lease
	FencingToken uint64
	Machines     int
	Jobs         int
	// Reconciled, BootingMachines and PendingTasks are known only for local shards.
	Reconciled      bool // its state has been confirmed by heartbeats
	Local           bool // held by this controller
	BootingMachines int
	PendingTasks    int
}

// TeamView describes a team's core usage in this controller's shards.
type TeamView struct {
	Name      string
	Used      float64
	FairShare float64
	Guarantee float64
	Limit     float64 // 0: none
}

// MachineView describes a machine in this controller's shards.
type MachineView struct {
	Name           string
	MachineType    string
	Zone           string
	Kind           string // spot or ordinary
	State          string // human-readable
	Tasks          int
	UsedCores      float64
	Cores          float64
	SinceHeartbeat time.Duration
}

// JobView describes a job in this controller's shards.
type JobView struct {
	ID              string
	Class           string
	Team            string
	Priority        string
	Tasks           int
	Done            int // completed tasks
	Placed          int // tasks assigned to a machine
	Pending         int // tasks waiting for a machine
	Age             time.Duration
	WithinGuarantee bool // the job is within its team's guaranteed quota
	Dependencies    int  // number of jobs that must be done first
}

// JobOutputURL returns the URL of the outputs of a job's tasks, or an empty string if
// there is none.
func (o Overview) JobOutputURL(job string) string {
	if o.OutputsURL == "" {
		return ""
	}
	return o.OutputsURL + "/jobs/" + job
}

// OverviewProvider returns a current overview.
type OverviewProvider interface{ Overview() Overview }

//go:embed overview.html
var overviewHTML string

var overviewTemplate = template.Must(template.New("page").Parse(overviewHTML))

// NewOperatorServer returns the server of the operators' endpoint: the status page at /
// and metrics at /metrics. The page is rendered at most once per second.
func NewOperatorServer(p OverviewProvider) *http.Server {
	page := &overviewPage{provider: p}
	e := echo.New()
	e.GET("/", page.serve)
	e.GET("/metrics", echo.WrapHandler(promhttp.Handler()))
	return &http.Server{
		Handler:           e,
		ReadHeaderTimeout: operatorReadHeaderTimeout,
		IdleTimeout:       operatorIdleTimeout,
	}
}

// overviewPage renders and caches the operators' status page.
type overviewPage struct {
	provider OverviewProvider

	mu         sync.Mutex
	renderedAt time.Time
	html       string
}

func (p *overviewPage) serve(c echo.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.renderedAt) > overviewMaxAge {
		var b strings.Builder
		if err := overviewTemplate.Execute(&b, p.provider.Overview()); err != nil {
			return err
		}
		p.renderedAt, p.html = time.Now(), b.String()
	}
	return c.HTML(http.StatusOK, p.html)
}
