package config

import (
	"strings"
	"testing"
	"time"
)

func TestDerivedSettings(t *testing.T) {
	s := parseSite(t)
	op := s.Defaults()
	if op.HolderLease != 8*time.Second || op.FillMachines != 675 || op.Shards != 2 {
		t.Errorf("defaults %+v", op)
	}
	timing := s.Timing(op)
	if timing.LeaseValidity >= op.HolderLease {
		t.Errorf("lease validity %v is not below the lease of %v", timing.LeaseValidity, op.HolderLease)
	}
	if timing.WorkerTimeout <= 20*time.Second {
		t.Errorf("worker timeout %v is not above the workers' lease of 20 s", timing.WorkerTimeout)
	}
}

// An invalid setting is rejected with a one-line error that names the file and the setting.
func TestParseRefusesInvalidSettings(t *testing.T) {
	for _, c := range []struct{ name, old, new, field string }{
		{"no name", `host_name = "n0"`, ``, "host_name"},
		{"address without a port", `listen = "10.0.0.1:8080"`, `listen = "10.0.0.1"`, "listen"},
		{"peer without an address", `address = "10.0.0.2:8081"`, `address = "b"`, "siblings[0].address"},
		{"name used twice", `host_name = "n1"`, `host_name = "n0"`, "siblings[0].host_name"},
		{"negative quota", `cpus_max = 8.0`, `cpus_max = -1.0`, "deployment.teams[0].cpus_max"},
		{"quota not a number", `cpus_max = 8.0`, `cpus_max = nan`, "deployment.teams[0].cpus_max"},
		{"missing lease", `lease_s = 20.0`, ``, "deployment.workers.lease_s"},
		{"wrong type", `rps = 10.0`, `rps = "ten"`, "deployment.cloud.rps"},
		{"wrong syntax", `count = 2`, `count = [`, "line"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("site.toml", []byte(strings.Replace(siteTOML, c.old, c.new, 1)))
			if err == nil || !strings.HasPrefix(err.Error(), "site.toml: "+c.field) {
				t.Fatalf("%s: error %v, want one about %s", c.new, err, c.field)
			}
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: error of several lines: %v", c.new, err)
			}
		})
	}
}
