package coordination

import (
	"testing"
	"time"

	"reedtrack/internal/protocol"
)

// The log describes the changes of a grant in one line.
func TestGrantChangesText(t *testing.T) {
	for _, c := range []struct {
		name    string
		changes grantChanges
		want    string
	}{
		{"none", grantChanges{}, ""},
		{"shard", grantChanges{shard: &grantedShard{shard: 3, holder: "n1", fencingToken: 17}}, "shard 3 to n1, term 17"},
		{"split", grantChanges{splitStep: "grant split"}, "grant split"},
		{"machines and quota", grantChanges{
			machines: []grantedMachine{{"a", 0}, {"b", 2}},
			quota:    []grantedQuota{{"red", 2.5, 1}},
		}, " a->0 b->2 red+2.5->1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.changes.String(); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// A list proves that a machine was removed only if it does not contain the machine and
// reflects a later time than the machine's first listing.
func TestListShowsRemovedMachine(t *testing.T) {
	requestedAt := time.Now()
	list := machineList{
		machines:    map[string]protocol.ListedMachine{"listed": {ID: "listed"}},
		requestedAt: requestedAt,
		maxAge:      5 * time.Second,
	}
	for _, c := range []struct {
		name          string
		id            string
		firstListedAt time.Time
		want          bool
	}{
		{"still listed", "listed", requestedAt.Add(-time.Hour), false},
		{"never listed", "other", time.Time{}, false},
		{"list may be older", "other", requestedAt.Add(-5 * time.Second), false},
		{"list is newer", "other", requestedAt.Add(-6 * time.Second), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			machine := &cloudMachine{id: c.id, firstListedAt: c.firstListedAt}
			if got := list.confirmsRemoval(machine); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// A controller tries to become the leader only if the leader's key is vacant or names the
// controller itself.
func TestCandidacy(t *testing.T) {
	for _, c := range []struct {
		name   string
		leader string // name in the leader's key; empty: no key
		want   bool
	}{
		{"vacant", "", true},
		{"former session of its own", "self", true},
		{"another leads", "other", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(1, nil)
			n := New(w.settings, w.settings.Defaults(), nil, nil, nil, nil)
			n.session.id = 8
			if c.leader != "" {
				name := c.leader
				if name == "self" {
					name = n.settings.HostName
				}
				n.records.Leader.Value.Name = name
				n.records.Leader.Value.Session = 7
				n.records.Leader.Revision = 5
			}
			candidacy := n.planCandidacy()
			if (candidacy != nil) != c.want {
				t.Fatalf("candidacy %v", candidacy)
			}
			if c.want && (candidacy.Preconditions[0].Revision != n.records.Leader.Revision || candidacy.Writes[0].LeaseID != 8) {
				t.Errorf("not conditional on the key, or not bound to the session: %+v", candidacy)
			}
		})
	}
}
