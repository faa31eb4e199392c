package emulator

import (
	"fmt"
	"strings"
	"text/template"
)

// Site describes a deployment of controllers reed-0, reed-1 and so on that use the
// emulated services. It is the input for their settings files.
type Site struct {
	Listen     []string // addresses of the controllers for users and workers
	PeerBind   []string // addresses of the controllers for each other
	Cloud      string   // address of the Fleet
	KVStore    string   // address of the KVStore
	Zones      []string
	ReportS    float64 // seconds between a worker's heartbeats
	LeaseS     float64 // duration of a worker's lease in seconds
	CloudRPS   float64 // requests per second that the cloud accepts
	ListLagS   float64 // maximum staleness of the cloud's list in seconds
	NextLimits bool    // announce lower limits of the key-value store
}

// Limits of the key-value store of a Site.
const (
	siteValueKB  = 32
	siteTxnOps   = 12
	siteWriteRPS = 200
)

// NewSiteKVStore returns an empty store with the limits that are given in the settings of
// a Site.
func NewSiteKVStore() *KVStore {
	store := NewKVStore()
	store.SetLimits(siteValueKB<<10, siteTxnOps, siteWriteRPS)
	return store
}

// ControllerName returns the name of the controller with the given index.
func ControllerName(index int) string { return fmt.Sprintf("reed-%d", index) }

var siteTemplate = template.Must(template.New("settings").Funcs(template.FuncMap{
	"float":  formatFloat,
	"quoted": func(text string) string { return fmt.Sprintf("%q", text) },
	"list":   formatList,
}).Parse(`host_name = {{quoted .Name}}
location = "a"
listen = {{quoted .Listen}}
peer_bind = {{quoted .PeerBind}}
{{range .Peers}}[[siblings]]
host_name = {{quoted .Name}}
location = "a"
address = {{quoted .Address}}
{{end}}
[services]
cloud = {{quoted .Site.Cloud}}
state = {{quoted .Site.KVStore}}
[deployment]
count = {{.Count}}
zones = {{list .Site.Zones}}
[[deployment.teams]]
name = "demo"
cpus = 8.0
cpus_max = 32.0
[deployment.workers]
report_s = {{float .Site.ReportS}}
lease_s = {{float .Site.LeaseS}}
cancel_s = 24.0
[deployment.state]
rps = 500.0
write_rps = {{float .Limits.WriteRPS}}
value_kb = {{float .Limits.ValueKB}}
txn_ops = {{.Limits.TxnOps}}
{{if .Site.NextLimits}}[deployment.state.next]
write_rps = 40.0
value_kb = 2.0
txn_ops = 4
{{end}}[deployment.cloud]
rps = {{float .Site.CloudRPS}}
list_lag_s = {{float .Site.ListLagS}}
[deployment.limits]
cpu_share = 1.0
memory_mb = 256.0
max_sockets = 500
`))

// controllerSettings is the data of siteTemplate.
type controllerSettings struct {
	Site     *Site
	Name     string
	Listen   string
	PeerBind string
	Peers    []sitePeer
	Count    int
	Limits   siteLimits
}

// sitePeer is another controller.
type sitePeer struct{ Name, Address string }

// siteLimits are the limits of the key-value store.
type siteLimits struct {
	WriteRPS, ValueKB float64
	TxnOps            int
}

// SettingsTOML returns the settings file of the controller with the given index.
func (s *Site) SettingsTOML(index int) string {
	settings := controllerSettings{
		Site:     s,
		Name:     ControllerName(index),
		Listen:   s.Listen[index],
		PeerBind: s.PeerBind[index],
		Count:    len(s.Listen),
		Limits:   siteLimits{WriteRPS: siteWriteRPS, ValueKB: siteValueKB, TxnOps: siteTxnOps},
	}
	for k, address := range s.PeerBind {
		if k != index {
			settings.Peers = append(settings.Peers, sitePeer{ControllerName(k), address})
		}
	}
	var text strings.Builder
	if err := siteTemplate.Execute(&text, settings); err != nil {
		panic(err) // the template and the types of its values are constant
	}
	return text.String()
}

// formatFloat formats a number as a TOML float, which requires a decimal point.
func formatFloat(v float64) string {
	text := fmt.Sprint(v)
	if !strings.Contains(text, ".") {
		text += ".0"
	}
	return text
}

// formatList formats strings as a TOML array.
func formatList(items []string) string {
	var quoted []string
	for _, item := range items {
		quoted = append(quoted, fmt.Sprintf("%q", item))
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}
