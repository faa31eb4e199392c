package cluster

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"sync"

	"connectrpc.com/connect"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

const (
	defaultListLimit = 100                   // attempts per page if the request sets no limit
	maxListLimit     = maxAttemptsPerMessage // maximum attempts per page
)

// List lists the attempts of a job on all members, ordered by key. The response names
// the members that did not answer; attempts that only they hold are missing from it.
func (n *Node) List(ctx context.Context, team string, q *pb.ListRequest) (*pb.ListResponse, error) {
	ctx, span := tracer.Start(ctx, "list")
	defer span.End()
	limit := min(int(cmp.Or(q.Limit, defaultListLimit)), maxListLimit)
	pages, unreachable := n.scanMembers(ctx, &pb.ScanRequest{
		Job:   q.Job,
		Team:  team,
		Task:  q.Task,
		Which: q.Which,
		Limit: uint32(limit),
		After: q.After,
	})
	keys, byKey, more := mergePages(pages)
	if q.Which == pb.Which_WHICH_OPEN && len(keys) > 0 {
		n.addHeldElsewhere(ctx, keys[:min(limit, len(keys))], byKey)
	}
	answer := &pb.ListResponse{Unreachable: unreachable}
	for _, key := range keys[:min(limit, len(keys))] {
		held := mergeHeld(byKey[key])
		answer.Next = []byte(key)
		if q.Which == pb.Which_WHICH_OPEN && held.Summary.Sealed {
			continue
		}
		answer.Attempts = append(answer.Attempts, held.Summary)
	}
	if !more && len(keys) <= limit {
		answer.Next = nil
	}
	return answer, nil
}

// scanMembers requests the same page from all members.
func (n *Node) scanMembers(ctx context.Context, scan *pb.ScanRequest) (pages []*pb.ScanResponse, unreachable []string) {
	var mu sync.Mutex
	unreachable = n.forEachMember(ctx, func(ctx context.Context, _ Member, p Peer) error {
		page := n.Scan(scan)
		if p != nil {
			r, err := p.Scan(ctx, connect.NewRequest(scan))
			if err != nil {
				return err
			}
			page = r.Msg
		}
		mu.Lock()
		defer mu.Unlock()
		pages = append(pages, page)
		return nil
	})
	return pages, unreachable
}

// mergePages merges the pages of several members. It returns the sorted keys of the
// range that all pages cover, the held replicas by key, and whether any member has more.
func mergePages(pages []*pb.ScanResponse) (keys []string, byKey map[string][]*pb.Held, more bool) {
	// A page with more to come does not cover the keys after its last one.
	var bound []byte
	byKey = map[string][]*pb.Held{}
	for _, page := range pages {
		if k := len(page.Held); page.More && k > 0 && (bound == nil || bytes.Compare(page.Held[k-1].Key, bound) < 0) {
			bound = page.Held[k-1].Key
		}
		for _, held := range page.Held {
			byKey[string(held.Key)] = append(byKey[string(held.Key)], held)
		}
	}
	for key := range byKey {
		if bound == nil || key <= string(bound) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys, byKey, bound != nil
}

// addHeldElsewhere adds the replicas that all members hold of the given attempts. An
// attempt that is open on a member without the seal may be sealed on another, which
// does not list it as open.
func (n *Node) addHeldElsewhere(ctx context.Context, keys []string, byKey map[string][]*pb.Held) {
	var wanted [][]byte
	for _, key := range keys {
		wanted = append(wanted, []byte(key))
	}
	var mu sync.Mutex
	n.forEachMember(ctx, func(ctx context.Context, m Member, _ Peer) error {
		list := n.heldOn(ctx, m, wanted)
		mu.Lock()
		defer mu.Unlock()
		for _, held := range list {
			byKey[string(held.Key)] = append(byKey[string(held.Key)], held)
		}
		return nil
	})
}

// Scan lists the attempts of a job, or of one of its tasks, that this member holds.
func (n *Node) Scan(q *pb.ScanRequest) *pb.ScanResponse {
	limit := int(min(max(q.Limit, 1), maxListLimit))
	page := new(pb.ScanResponse)
	for _, prefix := range n.scanPrefixes(q) {
		var held []*pb.Held
		held, page.More = n.store.Scan(prefix, q.After, q.Which, limit-len(page.Held))
		page.Held = append(page.Held, held...)
		if page.More {
			break
		}
	}
	return page
}

// scanPrefixes returns the key prefixes of the requested attempts, in order.
func (n *Node) scanPrefixes(q *pb.ScanRequest) [][]byte {
	if q.Task == nil {
		return [][]byte{outputs.JobPrefix(q.Job, q.Team)}
	}
	teams := []string{q.Team}
	if q.Team == "" {
		teams = n.store.Teams(q.Job)
	}
	var prefixes [][]byte
	for _, team := range teams {
		prefixes = append(prefixes, outputs.TaskPrefix(q.Job, team, *q.Task))
	}
	return prefixes
}
