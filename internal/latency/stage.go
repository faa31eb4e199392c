package latency

// Stage is a stage in the life cycle of a job or task.
type Stage uint8

// The stages, in the order in which a task passes through them. Propagate to Start add up
// to the waiting time that users see.
const (
	// Accept lasts from the arrival of a submission to its response; recorded once per job.
	Accept Stage = iota
	// Propagate lasts from acceptance until the holder of the job's shard learned of the job.
	Propagate
	// Blocked lasts until the job's tasks could be started: the job had dependencies, or
	// was not confirmed yet after a failover.
	Blocked
	// AwaitCapacity lasts until there was capacity on an existing machine.
	AwaitCapacity
	// AwaitMachine lasts until there was capacity on a machine that booted later.
	AwaitMachine
	// Dispatch lasts from placement until the start command reached the worker.
	Dispatch
	// Start lasts from then until the task was running, including its image fetch.
	Start
	// Run lasts until the end of the task was observed.
	Run
	// LostAttempt lasts from a placement until the attempt was known to be lost.
	LostAttempt
	// StoreCompletion lasts from the end of a job's last task until the completion was
	// stored; recorded once per job.
	StoreCompletion

	stageCount
)

// stageNames are the names in the log. They must not change, since operators search for
// them.
var stageNames = [stageCount]string{
	Accept:          "accept",
	Propagate:       "known",
	Blocked:         "gate",
	AwaitCapacity:   "room",
	AwaitMachine:    "boot",
	Dispatch:        "carry",
	Start:           "fetch",
	Run:             "run",
	LostAttempt:     "lost",
	StoreCompletion: "tell",
}

// String returns the stage's name in the log.
func (s Stage) String() string { return stageNames[s] }
