package config

import "testing"

func TestStoreLimitsWithoutNext(t *testing.T) {
	s := parseSite(t)
	if s.StoreLimits() != s.currentStoreLimits() {
		t.Errorf("limits %+v, want the current ones %+v", s.StoreLimits(), s.currentStoreLimits())
	}
}

// Announced limits of the key-value store are validated like the current ones, and the
// lower of the two apply.
func TestNextStoreLimits(t *testing.T) {
	for _, c := range []struct{ name, next, wantError string }{
		{"accepted", "write_rps = 42.0\nvalue_kb = 2.0\ntxn_ops = 4", ""},
		{"transactions too small", "write_rps = 42.0\nvalue_kb = 2.0\ntxn_ops = 3", "txn_ops"},
		{"values too small", "write_rps = 42.0\nvalue_kb = 0.5\ntxn_ops = 4", "value_kb"},
		{"missing rate", "value_kb = 2.0\ntxn_ops = 4", "write_rps"},
		{"negative size", "write_rps = 42.0\nvalue_kb = -2.0\ntxn_ops = 4", "value_kb"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, err := Parse("site.toml", []byte(siteTOML+"\n[deployment.state.next]\n"+c.next+"\n"))
			if c.wantError != "" {
				expectError(t, err, c.wantError)
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			store := s.Deployment.State
			want := Limits{WriteRPS: min(42, store.WriteRPS), ValueKB: min(2, store.ValueKB), TxnOps: 4}
			if got := s.StoreLimits(); got != want {
				t.Errorf("limits %+v, want %+v", got, want)
			}
			if got, want := s.MaxDependencies(), want.MaxValueBytes()/2/24; got != want {
				t.Errorf("%d dependencies at most, want %d", got, want)
			}
		})
	}
}
