package capture

import (
	"encoding/json"
	"os"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// Files of a spool, in addition to the records.
const (
	attemptFile  = "about.json" // an AttemptInfo
	resultFile   = "ended.json" // a Result, once the command has ended
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
	Secret  []byte   `json:"secret"` // authenticates the attempt's writer to the stores
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

// Attempt returns an attempt without a writer's secret, for validation.
func Attempt(job string, task uint32, try uint64, team, machine string, stint uint64) *pb.Attempt {
	a := AttemptInfo{Job: job, Task: task, Try: try, Team: team, Machine: machine, Stint: stint}
	return a.attempt()
}

// Causes of a command's end, as stored in a seal.
const (
	causeExit       = "exit"
	causeSignal     = "signal"
	causeNotStarted = "not_started"
	causeLost       = "lost" // its end was not observed
)

// Result describes how a command ended, and lists its artefacts.
type Result struct {
	AtNs    int64           `json:"at_ns"`
	Exit    int32           `json:"exit"`
	Signal  string          `json:"signal,omitempty"`
	Cause   string          `json:"cause"`
	Files   []collectedFile `json:"files,omitempty"`
	Refused []refusedFile   `json:"left,omitempty"`
}

// collectedFile is an artefact that was copied to the spool.
type collectedFile struct {
	Path      string   `json:"path"`
	Size      uint64   `json:"size"`
	ChangedNs int64    `json:"changed_ns"`
	Mode      uint32   `json:"mode"`
	SHA256    []byte   `json:"sha256"`
	Chunks    [][]byte `json:"chunks"` // SHA-256 hashes
	Copy      string   `json:"copy"`   // name in the spool
}

// refusedFile is a file that was not kept, or a pattern without matches.
type refusedFile struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// progress describes the records that the stores have acknowledged.
type progress struct {
	Seq              uint64 `json:"seq"`
	Digest           []byte `json:"digest"`            // hash state, see outputs.ResumeDigest
	Missing          []byte `json:"missing,omitempty"` // encoded sum of all gaps so far
	DigestIncomplete bool   `json:"unsure,omitempty"`  // the digest does not cover all records
}

func readJSON(path string, v any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, v)
}

// writeJSON replaces a file atomically: if the process is killed, the old file remains.
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
