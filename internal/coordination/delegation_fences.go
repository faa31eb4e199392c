package coordination

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"

	"reedtrack/internal/clusterstate"
	"reedtrack/internal/heartbeatproxy"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// A direct start without an answer may arrive at any later time, so its machine can't be
// acknowledged as it is. The holder fences off the start: the acknowledgement assigns the
// machine a newer fencing token, which the proxy includes in its answers. After the first
// such answer the worker rejects the start, like a command of a former holder.

const (
	// fenceOverhead is an upper bound on the encoded size of a fence without names and
	// starts, in bytes.
	fenceOverhead = 48
	// fencedStartOverhead is an upper bound on the encoded size of a fenced start without
	// the task name, in bytes.
	fencedStartOverhead = 40
)

// fenceBuilder adds fences to an acknowledgement, within the size limit of a record.
type fenceBuilder struct {
	shard     *shard
	ack       *storage.DelegationAck
	freeBytes int
}

// newFenceBuilder returns a builder for an acknowledgement that already lists the machines
// that need no new fence.
func newFenceBuilder(s *shard, ack *storage.DelegationAck, maxBytes int) *fenceBuilder {
	builder := &fenceBuilder{shard: s, ack: ack, freeBytes: maxBytes - delegationOverhead}
	for _, name := range ack.Machines {
		builder.freeBytes -= len(name) + machineNameOverhead
	}
	for _, fence := range ack.Fences {
		builder.freeBytes -= fenceBytes(fence)
	}
	return builder
}

// fenceBytes returns an upper bound on the encoded size of a fence.
func fenceBytes(fence storage.MachineFence) int {
	size := fenceOverhead + len(fence.Machine)
	for _, start := range fence.Starts {
		size += fencedStartOverhead + len(start.Task)
	}
	return size
}

// addExisting adds the fences that acknowledged machines were assigned earlier. A machine
// whose fence does not fit into the record is removed from the acknowledgement.
func (b *fenceBuilder) addExisting() {
	b.ack.Machines = slices.DeleteFunc(b.ack.Machines, func(name string) bool {
		m := b.shard.machines[name]
		if m == nil || m.fenceToken == 0 || b.hasFence(name) {
			return false
		}
		return !b.add(m, m.fenceToken)
	})
}

// addNew acknowledges those of the named machines that have a start in flight, with a
// fence of the given token. It reports whether it added any.
func (b *fenceBuilder) addNew(names []string, token uint64) bool {
	added := false
	for _, name := range names {
		m := b.shard.machines[name]
		if m == nil || !m.isDelegable() || !m.hasStartInFlight() || slices.Contains(b.ack.Machines, name) {
			continue
		}
		if b.freeBytes >= len(name)+machineNameOverhead && b.add(m, token) {
			b.freeBytes -= len(name) + machineNameOverhead
			b.ack.Machines = append(b.ack.Machines, name)
			added = true
		}
	}
	slices.Sort(b.ack.Machines)
	return added
}

func (b *fenceBuilder) hasFence(name string) bool {
	return slices.ContainsFunc(b.ack.Fences, func(fence storage.MachineFence) bool { return fence.Machine == name })
}

// add adds a machine's fence and reports whether it fits into the record.
func (b *fenceBuilder) add(m *machine, token uint64) bool {
	fence := storage.MachineFence{Machine: m.lease.Machine, FencingToken: token, Starts: m.unconfirmedStarts()}
	if fenceBytes(fence) > b.freeBytes {
		slog.Debug("machine not delegated: its fence does not fit into the record", "machine", m.lease.Machine, "starts", len(fence.Starts))
		return false
	}
	b.freeBytes -= fenceBytes(fence)
	b.ack.Fences = append(slices.Clip(b.ack.Fences), fence)
	return true
}

// unconfirmedStarts returns the attempts whose starts the machine may or may not have
// executed.
func (m *machine) unconfirmedStarts() []storage.FencedStart {
	var starts []storage.FencedStart
	for key, attempt := range m.attempts {
		if attempt.start.IsUnconfirmed() {
			starts = append(starts, storage.FencedStart{Task: protocol.FormatTaskName(key.job, key.task), Attempt: attempt.number})
		}
	}
	slices.SortFunc(starts, func(a, b storage.FencedStart) int { return cmp.Compare(a.Task, b.Task) })
	return starts
}

// applyFences assigns the fencing tokens that this holder's acknowledgement has minted to
// the machines of its shard.
func (n *Node) applyFences(change clusterstate.FenceChange) {
	s := n.shards[change.Shard]
	if s == nil || change.Acknowledgement.Session != n.session.id || change.Acknowledgement.FencingToken != s.fencingToken {
		return
	}
	for _, fence := range change.Acknowledgement.Fences {
		if m := s.machines[fence.Machine]; m != nil && fence.FencingToken > s.machineToken(m) {
			m.fenceToken = fence.FencingToken
			m.exchange.ReleaseBelow(m.fenceToken)
			slog.Info("machine fenced: it is delegated though a direct start to it is unanswered", "machine", fence.Machine, "token", fence.FencingToken, "starts", len(fence.Starts))
		}
	}
}

// fenceTokenError reports a fence whose token can't have been minted for it.
type fenceTokenError struct {
	machine    string
	token      uint64 // token of the fence
	shardToken uint64
	lastToken  uint64 // newest minted token
}

// Error returns a message with the machine and the tokens.
func (e fenceTokenError) Error() string {
	return fmt.Sprintf("fence of machine %s has token %d, not between the shard's %d and the last %d", e.machine, e.token, e.shardToken, e.lastToken)
}

// checkFence returns an error if the fence's token is not newer than the shard's, or is
// newer than the last minted token.
func (n *Node) checkFence(fence storage.MachineFence, shardToken uint64) error {
	last := n.records.LastToken.Value.Last
	if fence.FencingToken <= shardToken || fence.FencingToken > last {
		return fenceTokenError{fence.Machine, fence.FencingToken, shardToken, last}
	}
	return nil
}

// addAcknowledged marks the delegated machines that the acknowledgement lists as
// acknowledged, and sets their fences. A machine with an invalid fence stays
// unacknowledged.
func (n *Node) addAcknowledged(delegated map[string]heartbeatproxy.Record, ack storage.DelegationAck) {
	for _, name := range ack.Machines {
		if record, ok := delegated[name]; ok {
			record.Acknowledged = true
			delegated[name] = record
		}
	}
	for _, fence := range ack.Fences {
		record, ok := delegated[fence.Machine]
		if !ok {
			continue
		}
		if err := n.checkFence(fence, ack.FencingToken); err != nil {
			n.logFenceError(err)
			record.Acknowledged = false
		} else {
			record.Fence = proxyFence(fence)
		}
		delegated[fence.Machine] = record
	}
}

// proxyFence converts a stored fence to the proxy's representation.
func proxyFence(fence storage.MachineFence) heartbeatproxy.Fence {
	result := heartbeatproxy.Fence{Token: fence.FencingToken}
	for _, start := range fence.Starts {
		result.Starts = append(result.Starts, heartbeatproxy.Attempt{Task: start.Task, Number: start.Attempt})
	}
	return result
}

// logFenceError logs each distinct invalid fence once.
func (n *Node) logFenceError(err error) {
	logged := n.heartbeatProxy.loggedFenceErrors
	if !logged[err.Error()] {
		logged[err.Error()] = true
		slog.Error("acknowledgement of a delegation has an invalid fence", "err", err)
	}
}
