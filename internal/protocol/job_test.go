package protocol

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const validSubmission = `{"id":"wk-000412","jobclass":"train","owner":"vision","shape":"array","urgency":"high","parts":16,
 "cores":8.0,"cards":1.0,"ram_gb":64.0,"bundle":"img-07","pull_gb":6.2,"breeds":["g8"],"yard":null,"one_zone":true,
 "spread":false,"loaners":true,"guess_s":240.0,"save_every_s":30.0,"save_takes_s":4.0,"due_s":900.0,"later":1}`

// submissionWith returns validSubmission with one field set to value, or without the
// field if value is nil.
func submissionWith(t *testing.T, field string, value any) []byte {
	t.Helper()
	var fields map[string]any
	if err := json.Unmarshal([]byte(validSubmission), &fields); err != nil {
		t.Fatal(err)
	}
	if value == nil {
		delete(fields, field)
	} else {
		fields[field] = value
	}
	raw, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// requireInvalidField checks that err is an InvalidFieldError for the given field.
func requireInvalidField(t *testing.T, err error, field string) {
	t.Helper()
	var invalid *InvalidFieldError
	if !errors.As(err, &invalid) || invalid.Field != field {
		t.Errorf("got %v, want an error of field %s", err, field)
	}
}

func TestParseJob(t *testing.T) {
	job, err := ParseJob([]byte(validSubmission))
	if err != nil {
		t.Fatal(err)
	}
	deadline := 900.0
	want := &Job{
		ID:                        "wk-000412",
		Class:                     "train",
		Team:                      "vision",
		Type:                      "array",
		Priority:                  "high",
		Tasks:                     16,
		Cores:                     8,
		GPUs:                      1,
		MemoryGB:                  64,
		Image:                     "img-07",
		ImageGB:                   6.2,
		MachineTypes:              []string{"g8"},
		OneZone:                   true,
		Spot:                      true,
		EstimatedSeconds:          240,
		CheckpointIntervalSeconds: 30,
		CheckpointSeconds:         4,
		DeadlineSeconds:           &deadline,
	}
	if diff := cmp.Diff(want, job); diff != "" {
		t.Error(diff)
	}
	t.Run("stored job reads back", func(t *testing.T) {
		stored, err := json.Marshal(job)
		if err != nil {
			t.Fatal(err)
		}
		restored := new(Job)
		if err := json.Unmarshal(stored, restored); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(job, restored); diff != "" {
			t.Error(diff)
		}
	})
	t.Run("null is absent", func(t *testing.T) {
		absent, errAbsent := ParseJob(submissionWith(t, "due_s", nil))
		null, errNull := ParseJob([]byte(strings.Replace(validSubmission, `"due_s":900.0`, `"due_s":null`, 1)))
		if errAbsent != nil || errNull != nil || cmp.Diff(absent, null) != "" {
			t.Error("null and absent differ:", errAbsent, errNull)
		}
	})
}

func TestParseJobInvalid(t *testing.T) {
	long := strings.Repeat("x", MaxBodyBytes)
	tooLarge := strings.Replace(validSubmission, `"cores":8.0`, `"cores":1e999`, 1)
	for _, test := range []struct {
		name  string
		raw   []byte
		field string
	}{
		{"not JSON", []byte("{"), "body"},
		{"list", []byte("[]"), "body"},
		{"null", []byte("null"), "body"},
		{"body too long", submissionWith(t, "jobclass", long), "body"},
		{"id missing", submissionWith(t, "id", nil), "id"},
		{"id of another form", submissionWith(t, "id", "wk-12x"), "id"},
		{"id a number", submissionWith(t, "id", 7), "id"},
		{"type unknown", submissionWith(t, "shape", "ring"), "shape"},
		{"priority unknown", submissionWith(t, "urgency", "soon"), "urgency"},
		{"no tasks", submissionWith(t, "parts", 0), "parts"},
		{"too many tasks", submissionWith(t, "parts", 100001), "parts"},
		{"tasks not whole", submissionWith(t, "parts", 1.5), "parts"},
		{"amount negative", submissionWith(t, "cores", -1), "cores"},
		{"amount too large", []byte(tooLarge), "cores"},
		{"spot missing", submissionWith(t, "loaners", nil), "loaners"},
		{"spot a string", submissionWith(t, "loaners", "yes"), "loaners"},
		{"machine types a string", submissionWith(t, "breeds", "g8"), "breeds"},
		{"deadline a string", submissionWith(t, "due_s", "soon"), "due_s"},
		{"estimate missing", submissionWith(t, "guess_s", nil), "guess_s"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseJob(test.raw)
			requireInvalidField(t, err, test.field)
		})
	}
}

// If several fields are invalid, the error names the first one in a fixed order.
func TestParseJobErrorOrder(t *testing.T) {
	order := []string{"id", "jobclass", "owner", "shape", "urgency", "bundle", "parts", "cores", "cards", "ram_gb", "pull_gb", "guess_s",
		"save_every_s", "save_takes_s", "one_zone", "spread", "loaners", "breeds", "yard", "due_s", FieldDependsOn}
	var fields map[string]any
	if err := json.Unmarshal([]byte(validSubmission), &fields); err != nil {
		t.Fatal(err)
	}
	for _, field := range slices.Backward(order) {
		fields[field] = map[string]any{}
		raw, err := json.Marshal(fields)
		if err != nil {
			t.Fatal(err)
		}
		_, err = ParseJob(raw)
		requireInvalidField(t, err, field)
	}
}

// Absent, null and empty dependencies are equivalent, duplicate IDs are removed, and
// anything but a list of IDs is rejected with an error for the field.
func TestParseJobDependencies(t *testing.T) {
	parse := func(dependencies string) (*Job, error) {
		return ParseJob([]byte(strings.Replace(validSubmission, `"later":1}`, `"waits_on":`+dependencies+"}", 1)))
	}
	for _, test := range []struct {
		dependencies string
		want         int
	}{
		{"null", 0},
		{"[]", 0},
		{`["wk-2"]`, 1},
		{`["wk-3","wk-2","wk-3"]`, 2},
	} {
		t.Run(test.dependencies, func(t *testing.T) {
			if job, err := parse(test.dependencies); err != nil || len(job.DependsOn) != test.want {
				t.Errorf("got %+v, %v, want %d dependencies", job, err, test.want)
			}
		})
	}
	for _, dependencies := range []string{`"wk-2"`, `[2]`, `["wk2"]`, `{}`, `[null]`, `[""]`} {
		t.Run("invalid "+dependencies, func(t *testing.T) {
			_, err := parse(dependencies)
			requireInvalidField(t, err, FieldDependsOn)
		})
	}
}
