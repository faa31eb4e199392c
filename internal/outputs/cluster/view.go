package cluster

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	pb "reedtrack/internal/outputs/outputsv1"
)

// Member is a store process that belongs to the cluster.
type Member struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// ID identifies the data directory. The same name with a different ID is a
	// different store.
	ID string `json:"id"`
}

// View is the list of cluster members as known to one member. It is immutable once
// published.
type View struct {
	Members []Member // sorted by name
	// Confirmed is whether the list comes from the key-value store. Otherwise it was
	// cached by a previous process.
	Confirmed bool
}

// memberScore is the rendezvous hash of a member for one route.
type memberScore struct {
	index int
	score uint64
}

// PreferenceList orders the indices of the members for a route (see
// [outputs.Route]): first the members that should hold it, then the fallbacks for
// members that are unreachable.
//
// The order is by rendezvous hashing, so a member that joins or leaves moves only
// the routes that it gains or loses. Zones alternate, so that the replicas are in as
// many different zones as possible.
func (v *View) PreferenceList(route []byte) []int {
	scores := v.scores(route)
	order := make([]int, 0, len(scores))
	for len(scores) > 0 { // each round takes the best remaining member of every zone
		zones := map[string]bool{}
		rest := scores[:0]
		for _, s := range scores {
			zone := v.Members[s.index].Zone
			if zones[zone] {
				rest = append(rest, s)
				continue
			}
			zones[zone] = true
			order = append(order, s.index)
		}
		scores = rest
	}
	return order
}

// scores returns the members' rendezvous hashes for a route, highest first.
func (v *View) scores(route []byte) []memberScore {
	scores := make([]memberScore, len(v.Members))
	routeHash := xxhash.Sum64(route)
	var buf [16]byte
	for i, m := range v.Members {
		binary.LittleEndian.PutUint64(buf[:], routeHash)
		binary.LittleEndian.PutUint64(buf[8:], xxhash.Sum64String(m.Name))
		scores[i] = memberScore{index: i, score: xxhash.Sum64(buf[:])}
	}
	slices.SortFunc(scores, func(a, b memberScore) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
	})
	return scores
}

// Replicas returns the indices of the members that should hold a route's attempts.
// There are fewer than factor if the cluster is smaller.
func (v *View) Replicas(route []byte, factor int) []int {
	order := v.PreferenceList(route)
	return order[:min(factor, len(order))]
}

// Index returns the index of the member with a name, or -1.
func (v *View) Index(name string) int {
	return slices.IndexFunc(v.Members, func(m Member) bool { return m.Name == name })
}

func (v *View) toProto() []*pb.Member {
	var list []*pb.Member
	for _, m := range v.Members {
		list = append(list, &pb.Member{Name: m.Name, Zone: m.Zone, Address: m.Address})
	}
	return list
}

func viewFromProto(members []*pb.Member) *View {
	v := new(View)
	for _, m := range members {
		v.Members = append(v.Members, Member{Name: m.Name, Zone: m.Zone, Address: m.Address})
	}
	return v
}

func (v *View) equal(o *View) bool {
	return v.Confirmed == o.Confirmed && slices.Equal(v.Members, o.Members)
}
