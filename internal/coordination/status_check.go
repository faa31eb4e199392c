package coordination

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"reedtrack/internal/storage"
)

// statusValueError is a value in another controller's status that can't be true,
// or names what this controller does not know. It is left out.
type statusValueError struct {
	from   string // the controller
	shard  int
	field  string // of ShardStatus
	name   string // team, or type of machine
	reason string
}

// Error tells which value it is.
func (e *statusValueError) Error() string {
	return fmt.Sprintf("status of %s: shard %d: %s of %q %s", e.from, e.shard, e.field, e.name, e.reason)
}

// Reasons of a statusValueError.
const (
	reasonUnknown    = "is not known here"
	reasonOutOfRange = "is not between 0 and its limit"
)

// dropInvalidValues leaves out of a status what it says of its shards' machines
// as far as that can't be true, and logs each error once. The status itself is
// the sender's in tests: what changes is copied.
func (n *Node) dropInvalidValues(status *Status) {
	status.Shards = slices.Clone(status.Shards)
	for i := range status.Shards {
		shardStatus := &status.Shards[i]
		shardStatus.Startable = maps.Clone(shardStatus.Startable)
		maps.DeleteFunc(shardStatus.Startable, func(team string, amount storage.Resources) bool {
			return n.logIfInvalid(n.checkStartable(status.From, shardStatus.Index, team, amount))
		})
		shardStatus.Room = slices.DeleteFunc(slices.Clone(shardStatus.Room), func(room machineRoom) bool {
			return n.logIfInvalid(n.checkRoom(status.From, shardStatus.Index, room))
		})
	}
}

// logIfInvalid reports whether a check found an error, which it logs the first time.
func (n *Node) logIfInvalid(err *statusValueError) bool {
	if err == nil {
		return false
	}
	if !n.loggedStatusErrors[*err] {
		n.loggedStatusErrors[*err] = true
		slog.Warn("status value ignored", "err", err)
	}
	return true
}

// checkStartable returns what is wrong with what a shard is said to have machines
// for, or nil.
func (n *Node) checkStartable(from string, shard int, team string, amount storage.Resources) *statusValueError {
	quota, known := n.teams[team]
	if !known {
		return &statusValueError{from, shard, "Startable", team, reasonUnknown}
	}
	if !isWithin(amount.Cores, quota.limit.Cores) || !isWithin(amount.GPUs, quota.limit.GPUs) {
		return &statusValueError{from, shard, "Startable", team, reasonOutOfRange}
	}
	return nil
}

// isWithin reports whether an amount is a number from 0 to a limit; a limit of 0
// is none.
func isWithin(amount, limit float64) bool {
	return amount >= 0 && (limit <= 0 || amount <= limit+amountTolerance)
}

// checkRoom returns what is wrong with the room that a shard is said to have, or
// nil.
func (n *Node) checkRoom(from string, shard int, room machineRoom) *statusValueError {
	size, known := n.records.MachineSize(room.Kind.MachineType)
	if !known {
		return &statusValueError{from, shard, "Room", room.Kind.MachineType, reasonUnknown}
	}
	for resource, free := range room.Free {
		if !(free >= 0 && free <= size[resource]+amountTolerance) {
			return &statusValueError{from, shard, "Room", room.Kind.MachineType, reasonOutOfRange}
		}
	}
	return nil
}
