package config

import "math"

// Estimated sizes, in bytes, of the parts of a shard's record in the key-value store.
const (
	machineRecordBytes = 24  // a machine with a name of typical length, its fencing token and a time
	teamRecordBytes    = 64  // a team's share of its quota, excluding the team's name
	baseRecordBytes    = 512 // everything else
)

// maxRequestValueBytes is the maximum size of a value that one request to the key-value store
// can write, in bytes. The rest of the request's 64 KiB holds keys, preconditions and a second,
// small value.
const maxRequestValueBytes = 63 << 10

// dependencyBytes is the size of one dependency in a job's record.
const dependencyBytes = len(`"wk-000000000000000000",`)

// Limits are the limits of the key-value store.
type Limits struct {
	WriteRPS float64 `toml:"write_rps"` // writes per second, for all controllers together
	ValueKB  float64 `toml:"value_kb"`  // maximum size of a value in KiB
	TxnOps   int     `toml:"txn_ops"`   // maximum number of writes in a transaction
}

// MaxValueBytes returns the maximum size of a value in bytes, such that a request can write it.
func (l Limits) MaxValueBytes() int { return min(int(l.ValueKB*1024), maxRequestValueBytes) }

// currentStoreLimits returns the limits that currently apply.
func (s *Settings) currentStoreLimits() Limits {
	store := &s.Deployment.State
	return Limits{WriteRPS: store.WriteRPS, ValueKB: store.ValueKB, TxnOps: store.TxnOps}
}

// StoreLimits returns the lower of the current and the announced limits of the key-value
// store. Requests within them are valid both before and after the announced change.
func (s *Settings) StoreLimits() Limits {
	limits := s.currentStoreLimits()
	if next := s.Deployment.State.Next; next != nil {
		limits.WriteRPS = min(limits.WriteRPS, next.WriteRPS)
		limits.ValueKB = min(limits.ValueKB, next.ValueKB)
		limits.TxnOps = min(limits.TxnOps, next.TxnOps)
	}
	return limits
}

// recordSpace returns the number of bytes in a shard's record that the teams' shares leave
// for machines.
func (s *Settings) recordSpace(l Limits) int {
	space := l.MaxValueBytes() - 2*baseRecordBytes
	for _, t := range s.Deployment.Teams {
		space -= len(t.Name) + teamRecordBytes
	}
	return space
}

// SingleRecordCapacity returns the maximum number of machines of a shard whose record is a
// single value in the key-value store, which is the case while any controller of the
// deployment runs an earlier version.
func (s *Settings) SingleRecordCapacity() int {
	return s.recordSpace(s.currentStoreLimits()) / machineRecordBytes
}

// MaxShardMachines returns the maximum number of machines of a shard whose record is split
// over several values. Each machine keeps a connection open to the shard's holder; a
// quarter of the sockets is reserved for users, the other controllers and the services.
func (s *Settings) MaxShardMachines() int {
	sockets := s.Deployment.Limits.MaxSockets
	if sockets <= 0 {
		return math.MaxInt32
	}
	return max(1, sockets*3/4)
}

// defaultFillMachines returns 90 % of the maximum shard size. Fewer, larger shards are
// better because jobs may wait in one shard while machines of another are idle. A holder
// whose processor is overloaded gets no new jobs regardless of this number. A shard with a
// single record holds fewer machines.
func (s *Settings) defaultFillMachines() int {
	return max(1, s.MaxShardMachines()*9/10)
}

// MaxDependencies returns the maximum number of dependencies of a job, such that their IDs
// take at most half of a value.
func (s *Settings) MaxDependencies() int {
	return s.StoreLimits().MaxValueBytes() / 2 / dependencyBytes
}
