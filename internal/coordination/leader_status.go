package coordination

import (
	"slices"
	"time"
)

// receiveStatus applies a holder's requests. Requests of a former holder, and requests
// that were planned before the last change of the shard's booting machines, are dropped:
// the reply contains the changed list, from which the holder plans again.
func (l *leadership) receiveStatus(n *Node, status *Status, now time.Time) {
	for _, id := range status.Cordoned {
		l.cordoned[id] = true
	}
	if !l.isReady(now) {
		return
	}
	for _, shardStatus := range status.Shards {
		record := n.records.Shards[shardStatus.Index]
		if record.Value.FencingToken != shardStatus.FencingToken || shardStatus.BootingVersion != l.bootingVersion(shardStatus.Index) {
			continue
		}
		for _, request := range shardStatus.ScaleOut {
			l.requestMachines(shardStatus.Index, request, now)
		}
	}
}

// answerStatus fills in what a holder needs from the leader: the booting machines of its
// shards, the machine kinds that the cloud has no capacity for, and which of its machines
// were removed.
func (l *leadership) answerStatus(n *Node, status *Status, reply *StatusReply, now time.Time) {
	reply.IsLeader = true
	for _, shardStatus := range status.Shards {
		reply.Shards = append(reply.Shards, l.shardReply(shardStatus.Index))
	}
	for kind, until := range l.noCapacityUntil {
		if now.Before(until) {
			reply.NoCapacity = append(reply.NoCapacity, kind)
		}
	}
	for id := range l.failed {
		if shard, ok := n.records.ShardOfMachine[id]; ok && status.includesShard(shard) {
			reply.Removed = append(reply.Removed, id)
		}
	}
}

// shardReply returns the booting machines of a shard.
func (l *leadership) shardReply(shard int) ShardReply {
	reply := ShardReply{Index: shard, BootingVersion: l.bootingVersion(shard)}
	counts := map[machineKind]int{}
	for _, booting := range l.booting {
		if booting.shard == shard {
			counts[booting.kind]++
		}
	}
	for kind, count := range counts {
		reply.Booting = append(reply.Booting, machineRequest{kind, count})
	}
	sortRequests(reply.Booting)
	return reply
}

func (status *Status) includesShard(shard int) bool {
	return slices.ContainsFunc(status.Shards, func(shardStatus ShardStatus) bool {
		return shardStatus.Index == shard
	})
}
