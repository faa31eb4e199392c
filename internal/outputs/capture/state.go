package capture

import (
	"encoding/json"
	"os"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// Files that a capture keeps in its spool, beside the records.
const (
	attemptFile  = "about.json" // an AttemptInfo
	resultFile   = "ended.json" // a Result, when the command has ended
	progressFile = "acked.json" // a progress
)

// AttemptInfo describes an attempt, so that another process can ship its spool.
type AttemptInfo struct {
	Job     string   `json:"job"`
	Task    uint32   `json:"task"`
	Try     uint64   `json:"try"`
	Team    string   `json:"team"`
	Class   string   `json:"class,omitempty"`
	Machine string   `json:"machine"`
	Stint   uint64   `json:"stint"`
	Secret  []byte   `json:"secret"` // proves to the stores that they hear from the attempt's writer
	BegunNs int64    `json:"begun_ns"`
	Dir     string   `json:"dir"`  // of the task
	Keep    []string `json:"keep"` // patterns of files to keep
}

func (a *AttemptInfo) attempt() *pb.Attempt {
	return &pb.Attempt{
		Job:     a.Job,
		Task:    a.Task,
		Try:     a.Try,
		Team:    a.Team,
		Machine: a.Machine,
		Stint:   a.Stint,
		Run:     outputs.RunFromSecret(a.Secret),
	}
}

func (a *AttemptInfo) meta() *pb.Meta {
	return &pb.Meta{JobClass: a.Class, BegunNs: a.BegunNs}
}

// Attempt returns the attempt of a writer that has no secret yet, to be checked.
func Attempt(job string, task uint32, try uint64, team, machine string, stint uint64) *pb.Attempt {
	a := AttemptInfo{Job: job, Task: task, Try: try, Team: team, Machine: machine, Stint: stint}
	return a.attempt()
}

// Causes of a command's end, as a seal has them.
const (
	causeExit       = "exit"
	causeSignal     = "signal"
	causeNotStarted = "not_started"
	causeLost       = "lost" // nobody saw how it ended
)

// Result is how a command ended, and the files that it left.
type Result struct {
	AtNs    int64           `json:"at_ns"`
	Exit    int32           `json:"exit"`
	Signal  string          `json:"signal,omitempty"`
	Cause   string          `json:"cause"`
	Files   []collectedFile `json:"files,omitempty"`
	Refused []refusedFile   `json:"left,omitempty"`
}

// collectedFile is a file that is kept, and where its copy is.
type collectedFile struct {
	Path      string   `json:"path"`
	Size      uint64   `json:"size"`
	ChangedNs int64    `json:"changed_ns"`
	Mode      uint32   `json:"mode"`
	SHA256    []byte   `json:"sha256"`
	Chunks    [][]byte `json:"chunks"` // hashes
	Copy      string   `json:"copy"`   // name in the spool
}

// refusedFile is a file, or a pattern, of which nothing is kept.
type refusedFile struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// progress is what the stores have acknowledged.
type progress struct {
	Seq              uint64 `json:"seq"`
	Digest           []byte `json:"digest"`            // its state, to go on with
	Missing          []byte `json:"missing,omitempty"` // the sum of all gaps so far
	DigestIncomplete bool   `json:"unsure,omitempty"`  // the digest is not of everything
}

func readJSON(path string, v any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, v)
}

// writeJSON replaces a file in one step: a process that is killed in it leaves the old
// one.
func writeJSON(path string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
