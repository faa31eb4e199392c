package outputs

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"fmt"

	pb "reedtrack/internal/outputs/outputsv1"
	"reedtrack/internal/protocol"
)

const (
	// MaxName bounds the names of teams, machines and classes, in bytes.
	MaxName = 100
	// maxTasks bounds the tasks of a job array.
	maxTasks = 100000
	// runBytes is the length of a run; a secret has at least as many.
	runBytes = 16
)

// RunFromSecret returns the public name of the writer with a secret. Only who knows the secret
// can add to attempts of that name, so that no store has to remember whose an attempt
// is.
func RunFromSecret(secret []byte) []byte {
	sum := sha256.Sum256(secret)
	return sum[:runBytes]
}

// OwnsAttempt reports whether a secret is the one behind an attempt's run.
func OwnsAttempt(a *pb.Attempt, secret []byte) bool {
	return len(secret) >= runBytes && subtle.ConstantTimeCompare(a.GetRun(), RunFromSecret(secret)) == 1
}

// CheckAttempt checks the fields of an attempt. Every error is a *protocol.BadField.
func CheckAttempt(a *pb.Attempt) error {
	if !protocol.ValidJobID(a.GetJob()) {
		return &protocol.InvalidFieldError{Field: "attempt.job", Reason: "must look like wk-000412"}
	}
	if a.Task >= maxTasks {
		return &protocol.InvalidFieldError{Field: "attempt.task", Reason: "must be below 100000"}
	}
	if err := CheckName("attempt.team", a.Team); err != nil {
		return err
	}
	if err := CheckName("attempt.machine", a.Machine); err != nil {
		return err
	}
	if len(a.Run) != runBytes {
		return &protocol.InvalidFieldError{Field: "attempt.run", Reason: fmt.Sprintf("must hold %d bytes", runBytes)}
	}
	return nil
}

// CheckName checks the name of a team, a machine or a class.
func CheckName(field, name string) error {
	if name == "" || len(name) > MaxName {
		return &protocol.InvalidFieldError{Field: field, Reason: fmt.Sprintf("must hold 1 to %d bytes", MaxName)}
	}
	for i := range len(name) {
		if c := name[i]; c <= ' ' || c >= 0x7f || c == '/' {
			return &protocol.InvalidFieldError{Field: field, Reason: "must hold printable ASCII without spaces and slashes"}
		}
	}
	return nil
}

// Key returns an attempt as bytes, by whose order attempts are listed: by job, team,
// task, try, machine, stint, run. Names end with a zero byte; numbers are big-endian.
func Key(a *pb.Attempt) []byte {
	k := JobPrefix(a.Job, a.Team)
	k = binary.BigEndian.AppendUint32(k, a.Task)
	k = binary.BigEndian.AppendUint64(k, a.Try)
	k = append(append(k, a.Machine...), 0)
	k = binary.BigEndian.AppendUint64(k, a.Stint)
	return append(k, a.Run...)
}

// JobPrefix returns what the keys of a job's attempts begin with: those of a team, or
// of all teams if it is empty.
func JobPrefix(job, team string) []byte {
	k := append([]byte(job), 0)
	if team != "" {
		k = append(append(k, team...), 0)
	}
	return k
}

// TaskPrefix returns what the keys of a task's attempts of a team begin with.
func TaskPrefix(job, team string, task uint32) []byte {
	return binary.BigEndian.AppendUint32(JobPrefix(job, team), task)
}

var errKey = errors.New("not an attempt's key")

// ParseKey returns the attempt of a key.
func ParseKey(k []byte) (*pb.Attempt, error) {
	a := new(pb.Attempt)
	name := func() string {
		i := bytes.IndexByte(k, 0)
		if i < 0 {
			k = nil
			return ""
		}
		s := string(k[:i])
		k = k[i+1:]
		return s
	}
	a.Job, a.Team = name(), name()
	if len(k) < 12 {
		return nil, errKey
	}
	a.Task, a.Try = binary.BigEndian.Uint32(k), binary.BigEndian.Uint64(k[4:])
	k = k[12:]
	a.Machine = name()
	if len(k) != 8+runBytes {
		return nil, errKey
	}
	a.Stint, a.Run = binary.BigEndian.Uint64(k), bytes.Clone(k[8:])
	if CheckAttempt(a) != nil {
		return nil, errKey
	}
	return a, nil
}

// Route returns the part of a key that decides which members hold an attempt: job,
// team and task. All attempts of a task are held together, so that a file that each of
// them leaves is stored once.
func Route(key []byte) []byte {
	at := 0
	for range 2 {
		i := bytes.IndexByte(key[at:], 0)
		if i < 0 {
			return key
		}
		at += i + 1
	}
	return key[:min(len(key), at+4)]
}

// FormatAttempt returns an attempt as people read it.
func FormatAttempt(a *pb.Attempt) string {
	return fmt.Sprintf("%s/%d try %d on %s.%d.%x", a.Job, a.Task, a.Try, a.Machine, a.Stint, a.Run[:min(2, len(a.Run))])
}
