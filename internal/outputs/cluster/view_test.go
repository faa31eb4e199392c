package cluster

import (
	"fmt"
	"slices"
	"testing"
)

func newView(n, zones int) *View {
	v := new(View)
	for i := range n {
		v.Members = append(v.Members, Member{
			Name:    fmt.Sprintf("s%02d", i),
			Zone:    fmt.Sprintf("z%d", i%zones),
			Address: fmt.Sprintf("http://10.0.0.%d:1", i),
		})
	}
	return v
}

func memberNames(v *View, indices []int) []string {
	var names []string
	for _, i := range indices {
		names = append(names, v.Members[i].Name)
	}
	return names
}

// Replicas are in different zones, members hold about the same number of them, and a
// member that leaves moves only the routes that it held.
func TestReplicaPlacementSpreadsZonesAndMovesFewRoutes(t *testing.T) {
	const routes, factor = 20000, 2
	v := newView(9, 3)
	removed := v.Members[4].Name
	smaller := &View{Members: slices.Delete(slices.Clone(v.Members), 4, 5)}
	share := map[string]int{}
	for i := range routes {
		route := fmt.Appendf(nil, "wk-%d", i)
		replicas := v.Replicas(route, factor)
		if v.Members[replicas[0]].Zone == v.Members[replicas[1]].Zone {
			t.Fatalf("both replicas of %s are in one zone", route)
		}
		if order := v.PreferenceList(route); len(order) != 9 || !slices.Equal(order[:2], replicas) {
			t.Fatalf("preference list %v does not begin with the replicas %v", order, replicas)
		}
		before, after := memberNames(v, replicas), memberNames(smaller, smaller.Replicas(route, factor))
		for _, name := range before {
			share[name]++
		}
		if !slices.Contains(before, removed) && !slices.Equal(before, after) {
			t.Fatalf("%s moved from %v to %v though %s had no replica", route, before, after, removed)
		}
	}
	for name, n := range share {
		if n < routes*factor/9*85/100 || n > routes*factor/9*115/100 {
			t.Errorf("%s has %d of %d replicas", name, n, routes*factor)
		}
	}
	if got := newView(1, 1).Replicas([]byte("x"), factor); len(got) != 1 {
		t.Errorf("replicas %v in a cluster of one member", got)
	}
}
