// Package coordination implements the controller of a deployment: it keeps its lease in
// the key-value store, takes part in leader election, acquires and releases shards, plans
// where tasks run, and reconciles the workers' reports with the records.
//
// One mutex guards all state. Loops and request handlers lock it, decide, and unlock it
// before they call the store, the cloud, a worker or another controller; they lock it
// again to record the outcome. Transactions are conditional on the revisions of the
// records that they depend on, so an outdated decision fails instead of being applied.
package coordination

import (
	"context"
	"errors"
	"sync"
	"time"

	"reedtrack/internal/clusterstate"
	"reedtrack/internal/config"
	"reedtrack/internal/dispatch"
	"reedtrack/internal/latency"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// watchesPerLease is how many watch requests to the store fit into the duration of a
// lease. A watch without changes confirms that the replicated records are recent, which
// holdsLease requires, so several watches in a row may fail.
const watchesPerLease = 4

// Node is one controller process.
type Node struct {
	settings     *config.Settings
	latency      *latency.Recorder // nil: latency is not recorded
	operator     config.Operator
	timing       config.Timing
	store        *storage.Client
	cloud        Cloud
	peers        map[string]Peer
	direct       DirectSender
	limiter      *dispatch.Limiter
	guards       dispatch.DisabledGuards // disabled one at a time by tests
	withoutFence bool                    // set by tests: no shard is fenced, as before every controller supports that
	now          func() time.Time
	cpuTime      func() time.Duration                     // CPU time that the process has used
	findEndedJob func(id string) (storage.EndedJob, bool) // returns how a job ended, if its end is confirmed to be stored
	replica      *storage.Replica
	readIndex    *storage.ReadIndex
	confirm      func(context.Context) error // updates the replicated records below with everything that was committed before the call

	wake wakeChannels

	// mu guards all fields below.
	mu sync.Mutex

	session   controllerSession
	records   *clusterstate.Records
	endedJobs endedJobCache

	// Derived from the records and the settings.
	teams         map[string]teamQuota
	serviceLevels serviceLevels // recent service levels of classes and teams

	// Shards and planning state.
	shards           map[int]*shard // shards that this controller holds
	lastFullPlan     time.Time      // time of the last full plan, see shard.plan
	pendingJobs      map[string]pendingJob
	noCapacityUntil  map[machineKind]time.Time
	removedMachines  map[string]bool // machines that the leader reported as removed by the cloud
	cordonedMachines map[string]bool // faulty or slow machines that the leader is to replace
	cpuMeter         cpuMeter
	failureDetector  failureDetector
	heartbeatProxy   heartbeatProxy
	heartbeatRelay   heartbeatRelay

	// The other controllers, and leadership.
	ordinal            int // position of this controller among all, by name
	peerStatus         map[string]*Status
	publishedStatus    *Status                   // status last sent to the peers
	loggedStatusErrors map[statusValueError]bool // ignored values in peers' statuses that were already logged
	leadership         *leadership               // nil: another controller leads
}

// Peer calls another controller.
type Peer interface {
	// Call sends a message and decodes the reply into out. After an error the message may
	// still have been received.
	Call(timeout time.Duration, in, out any) error
	// TryCall is like Call, but fails immediately while another TryCall is in progress. It
	// never delays a Call.
	TryCall(timeout time.Duration, in, out any) error
}

// Cloud is the API of the cloud provider. A failed call may still have been executed: the
// list of machines is authoritative.
type Cloud interface {
	// Catalog returns the machine types that can be requested.
	Catalog(ctx context.Context) (protocol.Catalog, error)
	// RequestMachines requests machines and returns their names. It fails with
	// ErrNoCapacity if the cloud has no capacity of the kind.
	RequestMachines(ctx context.Context, r protocol.MachineRequest) ([]string, error)
	// Release returns machines to the cloud.
	Release(ctx context.Context, names []string) error
	// List returns a page of the existing machines: those after the machine named since,
	// which is the last one of the previous page. An empty since returns the first page.
	List(ctx context.Context, since string) (protocol.MachineList, error)
}

// ErrNoCapacity is returned by a Cloud that has no capacity for the requested kind of
// machine.
var ErrNoCapacity = errors.New("cloud: no capacity")

// New returns a controller; Run starts it. A controller without a store, a cloud or peers,
// as some tests create it, must not be run.
func New(settings *config.Settings, operator config.Operator, store *storage.Client, cloud Cloud, peers map[string]Peer, direct DirectSender) *Node {
	n := &Node{
		settings: settings,
		operator: operator,
		timing:   settings.Timing(operator),
		store:    store,
		cloud:    cloud,
		peers:    peers,
		direct:   direct,
		now:      time.Now,
		cpuTime:  processTime,

		wake: newWakeChannels(),
		records: clusterstate.New(func(record *storage.Job) float64 {
			return deadlineSeconds(record, settings.Deployment.Objectives)
		}),
		endedJobs: newEndedJobCache(),

		teams:         teamQuotas(settings.Deployment.Teams),
		serviceLevels: newServiceLevels(),

		shards:           map[int]*shard{},
		pendingJobs:      map[string]pendingJob{},
		noCapacityUntil:  map[machineKind]time.Time{},
		removedMachines:  map[string]bool{},
		cordonedMachines: map[string]bool{},

		ordinal:            ordinalOf(settings),
		peerStatus:         map[string]*Status{},
		loggedStatusErrors: map[statusValueError]bool{},
	}
	n.session = newControllerSession(n.timing, settings)
	n.findEndedJob = n.endedJobs.get
	n.initWorkers()
	n.initReplica()
	return n
}

// initWorkers sets up the components that interact with workers. Their timing derives from
// the heartbeat interval.
func (n *Node) initWorkers() {
	limits := &n.settings.Deployment.Limits
	heartbeatInterval := config.Seconds(n.settings.Deployment.Workers.ReportS)
	n.heartbeatProxy = newHeartbeatProxy(n.timing)
	n.heartbeatRelay = newHeartbeatRelay()
	n.failureDetector = newFailureDetector(heartbeatInterval)
	n.limiter = dispatch.NewLimiter(dispatch.LimitsFor(heartbeatInterval, limits.CPUShare, limits.MaxSockets))
	if n.operator.LatencyLogInterval > 0 {
		n.latency = latency.New()
	}
}

// initReplica sets up the replica of the records and the read index, which confirms that
// the replica is recent.
func (n *Node) initReplica() {
	deployment := &n.settings.Deployment
	n.replica = &storage.Replica{
		Client:       n.store,
		Apply:        n.applyAll,
		Synced:       n.onSync,
		WatchTimeout: n.operator.HolderLease / watchesPerLease,
		WatchPause:   storage.WatchPause(deployment.State.RPS, deployment.Count),
	}
	n.readIndex = storage.NewReadIndex(n.replica, deployment.State.RPS, deployment.Count)
	n.confirm = n.readIndex.Confirm
}

// teamQuotas returns the quotas of all teams by name.
func teamQuotas(teams []config.Team) map[string]teamQuota {
	quotas := map[string]teamQuota{}
	for _, team := range teams {
		quotas[team.Name] = teamQuota{
			limit:     storage.Resources{Cores: team.CPUsMax, GPUs: team.GPUsMax},
			guarantee: storage.Resources{Cores: team.CPUs, GPUs: team.GPUs},
		}
	}
	return quotas
}

// ordinalOf returns the position of this controller among all, by name.
func ordinalOf(settings *config.Settings) int {
	ordinal := 0
	for _, peer := range settings.Siblings {
		if peer.Name < settings.HostName {
			ordinal++
		}
	}
	return ordinal
}
