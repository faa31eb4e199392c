package config

import (
	"strings"
	"testing"
	"time"
)

// The bound covers both leases and both timer margins, and clock drift adds less than
// 100 ms.
func TestCancelBoundTerms(t *testing.T) {
	s := parseSite(t)
	op := s.Defaults()
	bound := s.CancelBound(op)
	least := op.HolderLease + Seconds(s.Deployment.Workers.LeaseS) + 2*s.TimerMargin()
	if sum := SumTerms(bound); sum <= least || sum > least+100*time.Millisecond {
		t.Errorf("%s, want slightly more than %v", FormatTerms(bound), least)
	}
}

// The bound grows with each setting that lets a task stay on its machine longer.
func TestCancelBoundGrowsWithSettings(t *testing.T) {
	s := parseSite(t)
	op := s.Defaults()
	workers := &s.Deployment.Workers
	for _, c := range []struct {
		name    string
		prolong func()
	}{
		{"holder's lease", func() { op.HolderLease += time.Second }},
		{"workers' lease", func() { workers.LeaseS++ }},
		{"heartbeat interval", func() { workers.ReportS += 2 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := SumTerms(s.CancelBound(op))
			if c.prolong(); SumTerms(s.CancelBound(op)) < before+900*time.Millisecond {
				t.Errorf("a longer %s does not increase the bound: %s", c.name, FormatTerms(s.CancelBound(op)))
			}
		})
	}
}

// Settings under which the bound exceeds workers.cancel_s are rejected with an error that
// names the invalid setting and the sum.
func TestCancelBoundIsChecked(t *testing.T) {
	for _, c := range []struct {
		name      string
		cancelS   float64
		xml       string
		wantField string // empty: accepted
	}{
		{"derived lease", 44, "<reedtrack/>", ""},
		{"no lease is short enough", 26, "<reedtrack/>", "settings: deployment.workers.cancel_s: "},
		{"longest lease", 44, "<reedtrack><holder-lease-s>19</holder-lease-s></reedtrack>", ""},
		{"lease too long", 44, "<reedtrack><holder-lease-s>21</holder-lease-s></reedtrack>", "op.xml: holder-lease-s: "},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := parseSite(t)
			s.Deployment.Workers.CancelS = c.cancelS
			op, err := s.ParseOperator("op.xml", []byte(c.xml))
			sum := SumTerms(s.CancelBound(op))
			if c.wantField == "" {
				if err != nil {
					t.Fatal(err)
				}
				if sum >= Seconds(c.cancelS) {
					t.Errorf("a bound of %v was accepted for %g s", sum, c.cancelS)
				}
				return
			}
			if err == nil || !strings.HasPrefix(err.Error(), c.wantField) {
				t.Fatalf("error %v, want one about %s", err, c.wantField)
			}
			if text := sum.Round(time.Millisecond).String(); !strings.Contains(err.Error(), text) {
				t.Errorf("error %q does not name the sum %s", err, text)
			}
		})
	}
}
