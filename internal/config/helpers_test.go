package config

import (
	"strings"
	"testing"
)

// siteTOML is a platform settings file with all required settings.
const siteTOML = `
host_name = "n0"
location = "a"
listen = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
unknown = 1
[[siblings]]
host_name = "n1"
location = "b"
address = "10.0.0.2:8081"
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[deployment]
count = 2
zones = ["a", "b"]
[[deployment.teams]]
name = "red"
cpus = 4.0
cpus_max = 8.0
[deployment.workers]
report_s = 3.0
lease_s = 20.0
cancel_s = 44.0
[deployment.state]
rps = 250.0
write_rps = 60.0
value_kb = 16.0
txn_ops = 12
[deployment.cloud]
rps = 10.0
list_lag_s = 4.0
[deployment.limits]
cpu_share = 0.1
memory_mb = 100.0
max_sockets = 1000
`

// parseSite returns the settings parsed from siteTOML.
func parseSite(t *testing.T) *Settings {
	t.Helper()
	s, err := Parse("site.toml", []byte(siteTOML))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// expectError fails the test unless err contains text.
func expectError(t *testing.T, err error, text string) {
	t.Helper()
	if err == nil {
		t.Fatalf("no error, want one with %q", text)
	}
	if !strings.Contains(err.Error(), text) {
		t.Errorf("error %q, want one with %q", err, text)
	}
}
