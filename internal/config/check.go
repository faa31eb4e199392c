package config

import (
	"fmt"
	"math"
	"net/netip"
)

// minTxnOps is the minimum number of writes per transaction that controllers require of
// the key-value store.
const minTxnOps = 4

// checker creates errors for settings of one file.
type checker struct{ file string }

func (c checker) errorf(field, format string, args ...any) error {
	return &FieldError{File: c.file, Field: field, Reason: fmt.Sprintf(format, args...)}
}

// address checks that value is an IP address with a port.
func (c checker) address(field, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return c.errorf(field, "not an address with a port: %s", value)
	}
	return nil
}

// number is a numeric setting and its value.
type number struct {
	field string
	value float64
}

// check returns a *FieldError for the first invalid setting.
func (s *Settings) check(file string) error {
	c := checker{file}
	for _, check := range []func(checker) error{
		s.checkAddresses, s.checkPeers, s.checkTeams, s.checkRates, s.checkStoreLimits,
	} {
		if err := check(c); err != nil {
			return err
		}
	}
	if s.Deployment.Limits.MaxSockets < 0 {
		return c.errorf("deployment.limits.max_sockets", "must not be negative")
	}
	return nil
}

func (s *Settings) checkAddresses(c checker) error {
	if s.HostName == "" {
		return c.errorf("host_name", "missing")
	}
	for _, a := range []struct{ field, address string }{
		{"listen", s.Listen},
		{"peer_bind", s.PeerBind},
		{"services.cloud", s.Services.Cloud},
		{"services.state", s.Services.State},
	} {
		if err := c.address(a.field, a.address); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkPeers(c checker) error {
	seen := map[string]bool{s.HostName: true}
	for i, p := range s.Siblings {
		field := fmt.Sprintf("siblings[%d]", i)
		if p.Name == "" || seen[p.Name] {
			return c.errorf(field+".host_name", "missing or named twice")
		}
		seen[p.Name] = true
		if err := c.address(field+".address", p.Address); err != nil {
			return err
		}
	}
	if s.Deployment.Count < 1 {
		return c.errorf("deployment.count", "must be at least 1")
	}
	return nil
}

func (s *Settings) checkTeams(c checker) error {
	seen := map[string]bool{}
	for i, t := range s.Deployment.Teams {
		field := fmt.Sprintf("deployment.teams[%d]", i)
		if t.Name == "" || seen[t.Name] {
			return c.errorf(field+".name", "missing or named twice")
		}
		seen[t.Name] = true
		for _, n := range []number{{"cpus", t.CPUs}, {"cpus_max", t.CPUsMax}, {"gpus", t.GPUs}, {"gpus_max", t.GPUsMax}} {
			if !(n.value >= 0) || math.IsInf(n.value, 0) {
				return c.errorf(field+"."+n.field, "must be a finite amount of at least 0")
			}
		}
	}
	return nil
}

// checkRates checks the settings that must be positive and finite: rates, periods and the
// current limits of the key-value store.
func (s *Settings) checkRates(c checker) error {
	workers, store, cloud := s.Deployment.Workers, s.Deployment.State, s.Deployment.Cloud
	for _, n := range []number{
		{"deployment.workers.report_s", workers.ReportS},
		{"deployment.workers.lease_s", workers.LeaseS},
		{"deployment.workers.cancel_s", workers.CancelS},
		{"deployment.state.rps", store.RPS},
		{"deployment.state.write_rps", store.WriteRPS},
		{"deployment.state.value_kb", store.ValueKB},
		{"deployment.state.txn_ops", float64(store.TxnOps)},
		{"deployment.cloud.rps", cloud.RPS},
		{"deployment.cloud.list_lag_s", cloud.ListLagS},
	} {
		if !isPositive(n.value) {
			return c.errorf(n.field, "must be above 0")
		}
	}
	return nil
}

// checkStoreLimits checks that records fit into the key-value store under both its current
// and its announced limits.
func (s *Settings) checkStoreLimits(c checker) error {
	for _, l := range []struct {
		field  string
		limits Limits
	}{
		{"deployment.state", s.currentStoreLimits()},
		{"deployment.state.next", s.StoreLimits()},
	} {
		if !isPositive(l.limits.WriteRPS) || !isPositive(l.limits.ValueKB) {
			return c.errorf(l.field, "write_rps and value_kb must be above 0")
		}
		if l.limits.TxnOps < minTxnOps {
			return c.errorf(l.field+".txn_ops", "must be at least %d", minTxnOps)
		}
		if space := s.recordSpace(l.limits); space < machineRecordBytes {
			return c.errorf(l.field+".value_kb", "%g KiB must hold the shares of %d teams and a machine: %d bytes are missing",
				l.limits.ValueKB, len(s.Deployment.Teams), machineRecordBytes-space)
		}
	}
	return nil
}

// isPositive reports whether v is finite and greater than 0; it is false for NaN.
func isPositive(v float64) bool { return v > 0 && !math.IsInf(v, 0) }
