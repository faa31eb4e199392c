// Package config reads and validates the settings of a controller and derives from them
// the durations and sizes that the other packages use.
//
// There are two settings files. The platform's file (TOML, type [Settings]) describes the
// deployment: its controllers, the key-value store, the cloud, the teams and the workers'
// guarantees. The operators' file (XML, type [Operator]) is optional and tunes reedtrack;
// each value in it has a default, derived from the platform's file where possible. Load
// the first with [Load] and the second with [Settings.LoadOperator]. Invalid settings are
// reported as a [*FieldError], which names the file and the setting.
//
// Fields with the suffix S, MS, KB or MB hold seconds, milliseconds, KiB or MiB; the
// suffix RPS stands for requests per second.
package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the content of the platform's settings file. Unknown keys are ignored.
// Errors of the TOML decoder contain the names of these types and fields.
type Settings struct {
	HostName string    `toml:"host_name"` // name of this controller, unique in the deployment
	Location string    `toml:"location"`  // zone of this controller
	Listen   string    `toml:"listen"`    // address for users and workers, as IP:PORT
	PeerBind string    `toml:"peer_bind"` // address for the other controllers, as IP:PORT
	Siblings []Sibling `toml:"siblings"`  // the other controllers
	// Services holds the addresses, as IP:PORT, of the services that a controller uses.
	Services struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"` // the key-value store
	} `toml:"services"`
	// Deployment holds the settings that are the same for all controllers.
	Deployment struct {
		Count        int         `toml:"count"` // number of controllers
		Zones        []string    `toml:"zones"`
		ClockErrorMS float64     `toml:"clock_error_ms"` // maximum error of a machine's wall clock
		Teams        []Team      `toml:"teams"`
		Objectives   []Objective `toml:"objectives"`
		// Workers holds the timing that workers guarantee.
		Workers struct {
			ReportS float64 `toml:"report_s"` // interval between a worker's heartbeats
			LeaseS  float64 `toml:"lease_s"`  // time without a response after which a worker drops its tasks
			CancelS float64 `toml:"cancel_s"` // time within which all tasks of a cancelled job must end
		} `toml:"workers"`
		// State holds the limits of the key-value store, for all controllers together.
		State struct {
			RPS      float64 `toml:"rps"`
			WriteRPS float64 `toml:"write_rps"`
			ValueKB  float64 `toml:"value_kb"`
			TxnOps   int     `toml:"txn_ops"`
			Next     *Limits `toml:"next"` // announced future limits; nil: none
		} `toml:"state"`
		// Cloud holds the limits and guarantees of the cloud API.
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"` // maximum staleness of the machine list
		} `toml:"cloud"`
		// Limits holds the resources that a controller may use on its machine; 0: no limit.
		Limits struct {
			CPUShare   float64 `toml:"cpu_share"` // as a fraction of one processor
			MemoryMB   float64 `toml:"memory_mb"`
			MaxSockets int     `toml:"max_sockets"`
		} `toml:"limits"`
	} `toml:"deployment"`
}

// Sibling is another controller of the deployment, a peer.
type Sibling struct {
	Name     string `toml:"host_name"`
	Location string `toml:"location"`
	Address  string `toml:"address"` // its Settings.PeerBind
}

// Team is a team's quota: its guaranteed amounts of processors and GPUs and its maximum
// amounts. Zero means no guarantee or no maximum.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective: the fraction Share of the events of type Kind
// must happen within WithinS seconds. Class is the job class that it applies to, if any.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// FieldError reports an invalid setting.
type FieldError struct {
	File   string // path of the file, or "settings" for a derived value
	Field  string // key of the setting, or its position if the key is unknown
	Reason string
}

// Error returns the file, the setting and the reason in one line.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.File, e.Field, e.Reason)
}

// Load reads and checks the platform's settings file.
func Load(path string) (*Settings, error) {
	raw, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, raw)
}

// Parse decodes and checks the platform's settings. Errors refer to the file as name.
func Parse(name string, raw []byte) (*Settings, error) {
	s := new(Settings)
	if err := toml.Unmarshal(raw, s); err != nil {
		return nil, &FieldError{File: name, Field: tomlErrorField(err), Reason: oneLine(err)}
	}
	if err := s.check(name); err != nil {
		return nil, err
	}
	return s, nil
}

// tomlErrorField returns the key that could not be decoded with its line, or only the
// position if the key is unknown.
func tomlErrorField(err error) string {
	var decodeError *toml.DecodeError
	if !errors.As(err, &decodeError) {
		return "syntax"
	}
	row, column := decodeError.Position()
	if key := decodeError.Key(); len(key) > 0 {
		return fmt.Sprintf("%v (line %d)", strings.Join(key, "."), row)
	}
	return fmt.Sprintf("line %d column %d", row, column)
}

// readFile reads a settings file. Errors are of type *FieldError.
func readFile(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &FieldError{File: path, Field: "file", Reason: err.Error()}
	}
	return raw, nil
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// oneLine joins the lines of an error message.
func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }
