package coordination

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"reedtrack/internal/storage"
)

// statusValueError reports a value in another controller's status that is impossible or
// refers to something unknown to this controller. The value is ignored.
type statusValueError struct {
	from   string // controller that sent the status
	shard  int
	field  string // field of ShardStatus
	name   string // team or machine type
	reason string
}

// Error returns a message that identifies the value.
func (e *statusValueError) Error() string {
	return fmt.Sprintf("status of %s: shard %d: %s of %q %s", e.from, e.shard, e.field, e.name, e.reason)
}

// Reasons of a statusValueError.
const (
	reasonUnknown    = "is not known here"
	reasonOutOfRange = "is not between 0 and its limit"
)

// dropInvalidValues removes invalid values from a status and logs each distinct error
// once. The modified parts are copied, since in tests the sender still uses the status.
func (n *Node) dropInvalidValues(status *Status) {
	status.Shards = slices.Clone(status.Shards)
	for i := range status.Shards {
		shardStatus := &status.Shards[i]
		shardStatus.Startable = maps.Clone(shardStatus.Startable)
		maps.DeleteFunc(shardStatus.Startable, func(team string, amount storage.Resources) bool {
			return n.logIfInvalid(n.checkStartable(status.From, shardStatus.Index, team, amount))
		})
		shardStatus.SpareCapacity = slices.DeleteFunc(slices.Clone(shardStatus.SpareCapacity), func(room spareCapacity) bool {
			return n.logIfInvalid(n.checkSpareCapacity(status.From, shardStatus.Index, room))
		})
	}
}

// logIfInvalid reports whether a check found an error, and logs the error the first time.
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

// checkStartable returns an error if a shard's startable resources for a team are invalid,
// or nil.
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

// isWithin reports whether an amount is between 0 and the limit; a limit of 0 means no
// limit.
func isWithin(amount, limit float64) bool {
	return amount >= 0 && (limit <= 0 || amount <= limit+amountTolerance)
}

// checkSpareCapacity returns an error if a shard's spare capacity is invalid, or nil.
func (n *Node) checkSpareCapacity(from string, shard int, room spareCapacity) *statusValueError {
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
