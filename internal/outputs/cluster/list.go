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
func (n *Node) List(ctx context.Context, team string, req *pb.ListRequest) (*pb.ListResponse, error) {
	ctx, span := tracer.Start(ctx, "list")
	defer span.End()
	limit := min(int(cmp.Or(req.Limit, defaultListLimit)), maxListLimit)
	pages, unreachable := n.scanMembers(ctx, &pb.ScanRequest{
		Job:   req.Job,
		Team:  team,
		Task:  req.Task,
		Which: req.Which,
		Limit: uint32(limit),
		After: req.After,
	})
	keys, byKey, more := mergePages(pages)
	if req.Which == pb.Which_WHICH_OPEN && len(keys) > 0 {
		n.addHeldElsewhere(ctx, keys[:min(limit, len(keys))], byKey)
	}
	resp := &pb.ListResponse{Unreachable: unreachable}
	for _, key := range keys[:min(limit, len(keys))] {
		held := mergeHeld(byKey[key])
		resp.Next = []byte(key)
		if req.Which == pb.Which_WHICH_OPEN && held.Summary.Sealed {
			continue
		}
		resp.Attempts = append(resp.Attempts, held.Summary)
	}
	if !more && len(keys) <= limit {
		resp.Next = nil
	}
	return resp, nil
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
func (n *Node) Scan(req *pb.ScanRequest) *pb.ScanResponse {
	limit := int(min(max(req.Limit, 1), maxListLimit))
	page := new(pb.ScanResponse)
	for _, prefix := range n.scanPrefixes(req) {
		var held []*pb.Held
		held, page.More = n.store.Scan(prefix, req.After, req.Which, limit-len(page.Held))
		page.Held = append(page.Held, held...)
		if page.More {
			break
		}
	}
	return page
}

// scanPrefixes returns the key prefixes of the requested attempts, in order.
func (n *Node) scanPrefixes(req *pb.ScanRequest) [][]byte {
	if req.Task == nil {
		return [][]byte{outputs.JobPrefix(req.Job, req.Team)}
	}
	teams := []string{req.Team}
	if req.Team == "" {
		teams = n.store.Teams(req.Job)
	}
	var prefixes [][]byte
	for _, team := range teams {
		prefixes = append(prefixes, outputs.TaskPrefix(req.Job, team, *req.Task))
	}
	return prefixes
}
