package protocol

import (
	"bytes"
	"encoding/json"
	"math"
	"slices"
)

const (
	maxTextBytes = 200    // per text field of a submission
	maxTasks     = 100000 // per job
)

// ParseJob reads and validates a submission. Every error is an
// *InvalidFieldError that names the first invalid field; fields are checked in
// a fixed order.
func ParseJob(raw []byte) (*Job, error) {
	fields, err := decodeSubmission(raw)
	if err != nil {
		return nil, err
	}
	job := new(Job)
	steps := []func(*Job) error{
		fields.parseTexts,
		fields.parseTaskCount,
		fields.parseAmounts,
		fields.parseFlags,
		fields.parseMachineTypes,
		fields.parseZone,
		fields.parseDeadline,
		fields.parseDependencies,
	}
	for _, parse := range steps {
		if err := parse(job); err != nil {
			return nil, err
		}
	}
	return job, nil
}

// submission maps the wire names of a job's fields to their undecoded values.
type submission map[string]json.RawMessage

func decodeSubmission(raw []byte) (submission, error) {
	if len(raw) > MaxBodyBytes {
		return nil, &InvalidFieldError{"body", "over 64 KiB"}
	}
	var fields submission
	if err := json.Unmarshal(raw, &fields); err != nil || fields == nil {
		return nil, &InvalidFieldError{"body", "not a JSON object"}
	}
	return fields, nil
}

// isNull reports whether a field is absent or null, which are equivalent.
func (s submission) isNull(name string) bool {
	value, ok := s[name]
	return !ok || bytes.Equal(bytes.TrimSpace(value), []byte("null"))
}

// decode decodes a required field. expected describes its type in errors.
func (s submission) decode(name string, to any, expected string) error {
	if s.isNull(name) {
		return &InvalidFieldError{name, "missing"}
	}
	if err := json.Unmarshal(s[name], to); err != nil {
		return &InvalidFieldError{name, "must be " + expected}
	}
	return nil
}

// decodeAmount decodes a required number that must be finite and not negative.
func (s submission) decodeAmount(name string, to *float64) error {
	if err := s.decode(name, to, "a number"); err != nil {
		return err
	}
	if *to < 0 || math.IsNaN(*to) || math.IsInf(*to, 0) {
		return &InvalidFieldError{name, "must not be negative"}
	}
	return nil
}

// parseTexts decodes the text fields and validates those with a fixed format.
func (s submission) parseTexts(job *Job) error {
	for _, field := range []struct {
		name string
		to   *string
	}{
		{"id", &job.ID},
		{"jobclass", &job.Class},
		{"owner", &job.Team},
		{"shape", &job.Type},
		{"urgency", &job.Priority},
		{"bundle", &job.Image},
	} {
		if err := s.decode(field.name, field.to, "a string"); err != nil {
			return err
		}
		if *field.to == "" || len(*field.to) > maxTextBytes {
			return &InvalidFieldError{field.name, "must hold 1 to 200 bytes"}
		}
	}
	if !ValidJobID(job.ID) {
		return &InvalidFieldError{"id", "must look like wk-000412"}
	}
	if job.Type != JobTypeArray && !job.IsService() && !job.IsGang() {
		return &InvalidFieldError{"shape", "must be array, group or standing"}
	}
	if _, ok := priorities[job.Priority]; !ok {
		return &InvalidFieldError{"urgency", "must be prod, high, normal or low"}
	}
	return nil
}

func (s submission) parseTaskCount(job *Job) error {
	// Decoded as an int because json.Number also accepts a quoted number.
	if err := s.decode("parts", &job.Tasks, "a whole number"); err != nil {
		return err
	}
	if job.Tasks < 1 || job.Tasks > maxTasks {
		return &InvalidFieldError{"parts", "must be from 1 to 100000"}
	}
	return nil
}

func (s submission) parseAmounts(job *Job) error {
	for _, field := range []struct {
		name string
		to   *float64
	}{
		{"cores", &job.Cores},
		{"cards", &job.GPUs},
		{"ram_gb", &job.MemoryGB},
		{"pull_gb", &job.ImageGB},
		{"guess_s", &job.EstimatedSeconds},
		{"save_every_s", &job.CheckpointIntervalSeconds},
		{"save_takes_s", &job.CheckpointSeconds},
	} {
		if err := s.decodeAmount(field.name, field.to); err != nil {
			return err
		}
	}
	return nil
}

func (s submission) parseFlags(job *Job) error {
	for _, field := range []struct {
		name string
		to   *bool
	}{
		{"one_zone", &job.OneZone},
		{"spread", &job.Spread},
		{"loaners", &job.Spot},
	} {
		if err := s.decode(field.name, field.to, "true or false"); err != nil {
			return err
		}
	}
	return nil
}

func (s submission) parseMachineTypes(job *Job) error {
	if s.isNull("breeds") {
		return nil
	}
	if err := s.decode("breeds", &job.MachineTypes, "a list of strings"); err != nil {
		return err
	}
	if len(job.MachineTypes) == 0 {
		return &InvalidFieldError{"breeds", "must be null or name a type"}
	}
	return nil
}

func (s submission) parseZone(job *Job) error {
	if s.isNull("yard") {
		return nil
	}
	if err := s.decode("yard", &job.Zone, "a string"); err != nil {
		return err
	}
	if job.Zone == "" {
		return &InvalidFieldError{"yard", "must be null or name a zone"}
	}
	return nil
}

func (s submission) parseDeadline(job *Job) error {
	if s.isNull("due_s") {
		return nil
	}
	job.DeadlineSeconds = new(float64)
	return s.decodeAmount("due_s", job.DeadlineSeconds)
}

func (s submission) parseDependencies(job *Job) error {
	if s.isNull(FieldDependsOn) {
		return nil
	}
	if err := s.decode(FieldDependsOn, &job.DependsOn, "a list of job ids"); err != nil {
		return err
	}
	for _, id := range job.DependsOn {
		if !ValidJobID(id) {
			return &InvalidFieldError{FieldDependsOn, "each must look like wk-000412"}
		}
	}
	slices.Sort(job.DependsOn)
	job.DependsOn = slices.Compact(job.DependsOn)
	return nil
}
