package protocol

import (
	"encoding/json"
	"strconv"
	"strings"
)

// States and causes of a task on a worker.
const (
	Fetching = "fetching"
	Saving   = "saving"
	Ended    = "ended"

	CauseDone   = "done"
	CauseHalted = "halted"
	CauseError  = "error"

	VerbStart = "start"
	VerbHalt  = "halt"
	VerbClear = "clear"
)

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Task    string `json:"part"`
	Attempt uint64 `json:"try"`
	Status  string `json:"status"`
	Cause   string `json:"cause,omitempty"`
	Kept    bool   `json:"kept,omitempty"`
}

// Report is what a worker says of itself.
type Report struct {
	Machine  string       `json:"reed"`
	Address  string       `json:"address"`
	Breed    string       `json:"breed"`
	Zone     string       `json:"yard"`
	Spot     bool         `json:"loaners"`
	Session  uint64       `json:"stint"`
	Sequence uint64       `json:"tally"`
	Token    uint64       `json:"baton"`
	WarningS *float64     `json:"warning_s"`
	Tasks    []TaskReport `json:"parts"`
}

// ParseReport reads a worker's report. Every error is a *BadField.
func ParseReport(raw []byte) (*Report, error) {
	r := new(Report)
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, &BadField{"body", "not a worker's report"}
	}
	if r.Machine == "" || len(r.Machine) > 100 || strings.ContainsAny(r.Machine, " /") {
		return nil, &BadField{"reed", "missing or invalid"}
	}
	if r.Breed == "" {
		return nil, &BadField{"breed", "missing"}
	}
	if r.Zone == "" {
		return nil, &BadField{"yard", "missing"}
	}
	if r.Session == 0 {
		return nil, &BadField{"stint", "must be at least 1"}
	}
	for i := range r.Tasks {
		if _, _, err := SplitTask(r.Tasks[i].Task); err != nil {
			return nil, &BadField{"parts[" + strconv.Itoa(i) + "].part", "invalid"}
		}
		switch r.Tasks[i].Status {
		case Fetching, Running, Saving, Ended, "waiting":
		default:
			return nil, &BadField{"parts[" + strconv.Itoa(i) + "].status", "unknown"}
		}
	}
	return r, nil
}

// Order is a command to a worker.
type Order struct {
	Verb    string   `json:"verb"`
	Task    string   `json:"part"`
	Attempt uint64   `json:"try"`
	MercyS  *float64 `json:"mercy_s,omitempty"`
}

// Orders answers a report.
type Orders struct {
	Token  uint64  `json:"baton"`
	Orders []Order `json:"orders"`
}

// Direct is the body of a command sent straight to a worker.
type Direct struct {
	Token   uint64  `json:"baton"`
	Session uint64  `json:"stint"`
	Orders  []Order `json:"orders"`
}

// Redirect tells a worker where to report.
type Redirect struct {
	AnswerTo string `json:"answer_to,omitempty"`
}

// Breed is a machine type of the cloud's catalog.
type Breed struct {
	Name    string   `json:"sku"`
	Cores   float64  `json:"cores"`
	Cards   float64  `json:"cards"`
	RAM     float64  `json:"ram_gb"`
	CacheGB float64  `json:"local_gb"`
	FetchGB float64  `json:"fetch_gb_per_s"`
	Rate    float64  `json:"rate"`
	LowRate float64  `json:"low_price"`
	ReadyS  float64  `json:"ready_s"`
	Zones   []string `json:"yards"`
}

// Catalog is the cloud's list of machine types.
type Catalog struct {
	Breeds []Breed `json:"breeds"`
}

// Rental asks the cloud for machines.
type Rental struct {
	Ask     string `json:"ask"`
	Breed   string `json:"breed"`
	Zone    string `json:"yard"`
	Spot    bool   `json:"loaners"`
	HowMany int    `json:"how_many"`
}

// MachineNames is the cloud's answer to a rental, and a release.
type MachineNames struct {
	Machines []string `json:"reeds"`
}

// ListedMachine is a machine in the cloud's list.
type ListedMachine struct {
	ID      string  `json:"id"`
	Address string  `json:"address"`
	Breed   string  `json:"breed"`
	Zone    string  `json:"yard"`
	Spot    bool    `json:"loaners"`
	Status  string  `json:"status"`
	AgeS    float64 `json:"age_s"`
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `json:"reeds"`
	HasNext  bool            `json:"has_next"`
}

// Most that the cloud takes in one request.
const (
	MaxRental  = 50
	MaxRelease = 100
	MaxList    = 500
)
