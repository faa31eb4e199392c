package emulator

import (
	"testing"

	"reedtrack/internal/config"
)

// The generated settings of each controller are valid, name it and its peers, and contain
// the limits of the store.
func TestSiteSettingsAreAccepted(t *testing.T) {
	site := Site{
		Listen:     []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"},
		PeerBind:   []string{"127.0.0.1:4", "127.0.0.1:5", "127.0.0.1:6"},
		Cloud:      "127.0.0.1:7",
		KVStore:    "127.0.0.1:8",
		Zones:      []string{"a", "b"},
		ReportS:    0.5,
		LeaseS:     9,
		CloudRPS:   20,
		ListLagS:   1,
		NextLimits: true,
	}
	store := NewSiteKVStore()
	for i := range site.Listen {
		t.Run(ControllerName(i), func(t *testing.T) {
			s, err := config.Parse("settings.toml", []byte(site.SettingsTOML(i)))
			if err != nil {
				t.Fatal(err)
			}
			if s.HostName != ControllerName(i) || s.Listen != site.Listen[i] || s.PeerBind != site.PeerBind[i] {
				t.Errorf("controller %d is %s at %s and %s", i, s.HostName, s.Listen, s.PeerBind)
			}
			if len(s.Siblings) != 2 || s.Deployment.Count != 3 {
				t.Errorf("%d controllers with the peers %+v", s.Deployment.Count, s.Siblings)
			}
			if s.Deployment.Workers.ReportS != 0.5 || s.Deployment.Workers.LeaseS != 9 || s.Deployment.Cloud.RPS != 20 {
				t.Errorf("deployment %+v", s.Deployment)
			}
			stated := s.Deployment.State
			if int(stated.ValueKB)<<10 != store.maxValueBytes || stated.TxnOps != store.maxTxnOps || stated.WriteRPS != float64(store.writeLimiter.Limit()) {
				t.Errorf("the settings contain the limits %+v", stated)
			}
			if stated.Next == nil {
				t.Error("no limits are announced")
			}
		})
	}
}
