package config

import (
	"errors"
	"time"

	"reedtrack/internal/outputs/settings"
)

// Ranges of the operators' settings.
const (
	maxUCfitParameter   = 100
	maxShards           = 64
	maxIdleBoots        = 1000
	maxLatencyIntervalS = 3600
)

// Range of a controller's default lease: a shorter one expires too easily, a longer one
// delays failover.
const (
	minDefaultHolderLease = 2 * time.Second
	maxDefaultHolderLease = 10 * time.Second
)

// Operator holds the operators' settings with defaults applied.
type Operator struct {
	UCfitA, UCfitB, UCfitC float64 // parameters of the UCfit placement

	Shards             int           // number of shards that jobs, machines and quotas are divided into
	FillMachines       int           // a shard gets new jobs until it reaches this number of machines
	HolderLease        time.Duration // a controller's lease in the key-value store
	IdleBoots          float64       // how long an idle machine is kept, as a multiple of the cost of booting a new one
	StatusListen       string        // address of the operators' endpoint as IP:PORT; empty: none
	LatencyLogInterval time.Duration // interval between logs of task latencies; 0: latencies are not recorded
	Outputs            settings.Outputs
}

// Defaults derives default operator settings from the platform's settings.
func (s *Settings) Defaults() Operator {
	workers := s.Deployment.Workers
	// A third of the time that remains for a cancellation after the workers' lease; the
	// rest is reserved for failover and for commands in transit.
	lease := Seconds((workers.CancelS - workers.LeaseS) / 3)
	return Operator{
		UCfitA:       2,
		UCfitB:       1,
		UCfitC:       0.2,
		Shards:       s.Deployment.Count,
		FillMachines: s.defaultFillMachines(),
		HolderLease:  min(max(lease, minDefaultHolderLease), maxDefaultHolderLease),
		IdleBoots:    1,
	}
}

// LoadOperator reads the operators' settings file and applies it to the defaults. If path
// is empty, it returns the defaults.
func (s *Settings) LoadOperator(path string) (Operator, error) {
	if path == "" {
		op := s.Defaults()
		return op, s.checkDerivedBound(op)
	}
	raw, err := readFile(path)
	if err != nil {
		return s.Defaults(), err
	}
	return s.ParseOperator(path, raw)
}

// ParseOperator decodes and checks the operators' settings and applies them to the
// defaults. Errors refer to the file as file. On error, it returns the settings decoded so
// far.
func (s *Settings) ParseOperator(file string, raw []byte) (Operator, error) {
	op := s.Defaults()
	x, err := parseOperatorXML(file, raw)
	if err != nil {
		return op, err
	}
	x.apply(&op)
	c := checker{file}
	if x.LatencyLogS != nil {
		if !(*x.LatencyLogS >= 0 && *x.LatencyLogS <= maxLatencyIntervalS) {
			return op, c.errorf("stages-every-s", "must be from 0 to %d", maxLatencyIntervalS)
		}
		op.LatencyLogInterval = Seconds(*x.LatencyLogS)
	}
	if op.Outputs, err = readOutputs(file, x.Outputs); err != nil {
		return op, err
	}
	if err := s.checkOperator(c, &op); err != nil {
		return op, err
	}
	if x.HolderLeaseS == nil {
		return op, s.checkDerivedBound(op)
	}
	return op, s.CheckCancelBound(file, "holder-lease-s", op)
}

// checkDerivedBound checks the bound on cancellations for a derived lease. If the bound is
// exceeded, the error names a platform setting, since the lease follows from those.
func (s *Settings) checkDerivedBound(op Operator) error {
	return s.CheckCancelBound("settings", "deployment.workers.cancel_s", op)
}

// checkOperator checks the ranges of the operators' settings.
func (s *Settings) checkOperator(c checker, op *Operator) error {
	for _, n := range []number{{"ucfit/a", op.UCfitA}, {"ucfit/b", op.UCfitB}, {"ucfit/c", op.UCfitC}} {
		if !(n.value >= 0 && n.value <= maxUCfitParameter) {
			return c.errorf(n.field, "must be from 0 to %d", maxUCfitParameter)
		}
	}
	if op.Shards < 1 || op.Shards > maxShards {
		return c.errorf("shards", "must be from 1 to %d", maxShards)
	}
	if op.StatusListen != "" {
		if err := c.address("status-listen", op.StatusListen); err != nil {
			return err
		}
	}
	if limit := max(s.SingleRecordCapacity(), s.MaxShardMachines()); op.FillMachines < 1 || op.FillMachines > limit {
		return c.errorf("fill-machines", "must be from 1 to %d, what a record of state.value_kb %g or three quarters of limits.max_sockets allow",
			limit, s.Deployment.State.ValueKB)
	}
	if !(op.IdleBoots >= 0 && op.IdleBoots <= maxIdleBoots) {
		return c.errorf("idle-boots", "must be from 0 to %d", maxIdleBoots)
	}
	return nil
}

// LoadOutputs reads only the settings of task outputs from the operators' settings file,
// for programs without platform settings. If path is empty, it returns the defaults.
func LoadOutputs(path string) (settings.Outputs, error) {
	if path == "" {
		return settings.Defaults(), nil
	}
	raw, err := readFile(path)
	if err != nil {
		return settings.Outputs{}, err
	}
	x, err := parseOperatorXML(path, raw)
	if err != nil {
		return settings.Outputs{}, err
	}
	return readOutputs(path, x.Outputs)
}

// readOutputs converts and checks the settings of task outputs; x is nil if the file has
// none.
func readOutputs(file string, x *settings.XML) (settings.Outputs, error) {
	outputs, err := x.Read()
	var bad *settings.FieldError
	if errors.As(err, &bad) {
		return outputs, &FieldError{File: file, Field: "outputs/" + bad.Field, Reason: bad.Reason}
	}
	return outputs, err
}
