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
	// MaxName is the maximum length of the name of a team, machine or class, in bytes.
	MaxName = 100
	// maxTasks is the maximum number of tasks in a job array.
	maxTasks = 100000
	// runBytes is the length of a run ID and the minimum length of a secret.
	runBytes = 16
)

// RunFromSecret returns the run ID of a writer, which is derived from its secret. Only a
// client with the secret can append to attempts with this run ID, so stores don't
// have to record which client owns an attempt.
func RunFromSecret(secret []byte) []byte {
	sum := sha256.Sum256(secret)
	return sum[:runBytes]
}

// OwnsAttempt reports whether an attempt's run ID is derived from the secret.
func OwnsAttempt(a *pb.Attempt, secret []byte) bool {
	return len(secret) >= runBytes && subtle.ConstantTimeCompare(a.GetRun(), RunFromSecret(secret)) == 1
}

// CheckAttempt validates the fields of an attempt. Every error is a
// *protocol.InvalidFieldError.
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

// CheckName validates the name of a team, machine or class.
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

// Key encodes an attempt as a byte string that sorts in listing order: by job, team,
// task, try, machine, stint, run. Strings are zero-terminated; integers are big-endian.
func Key(a *pb.Attempt) []byte {
	k := JobPrefix(a.Job, a.Team)
	k = binary.BigEndian.AppendUint32(k, a.Task)
	k = binary.BigEndian.AppendUint64(k, a.Try)
	k = append(append(k, a.Machine...), 0)
	k = binary.BigEndian.AppendUint64(k, a.Stint)
	return append(k, a.Run...)
}

// JobPrefix returns the key prefix of a job's attempts that belong to a team, or to any
// team if team is empty.
func JobPrefix(job, team string) []byte {
	k := append([]byte(job), 0)
	if team != "" {
		k = append(append(k, team...), 0)
	}
	return k
}

// TaskPrefix returns the key prefix of a task's attempts that belong to a team.
func TaskPrefix(job, team string, task uint32) []byte {
	return binary.BigEndian.AppendUint32(JobPrefix(job, team), task)
}

var errKey = errors.New("not an attempt's key")

// ParseKey decodes a key into its attempt.
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

// Route returns the part of a key that determines which members store an attempt: job,
// team and task. All attempts of a task are stored on the same members, so that a file
// that several of them produce is stored only once.
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

// FormatAttempt formats an attempt for display.
func FormatAttempt(a *pb.Attempt) string {
	return fmt.Sprintf("%s/%d try %d on %s.%d.%x", a.Job, a.Task, a.Try, a.Machine, a.Stint, a.Run[:min(2, len(a.Run))])
}
