package coordination

import (
	"syscall"
	"time"
)

// cpuMeter measures how much of its processor share a controller uses.
type cpuMeter struct {
	readAt      time.Time
	usedAtRead  time.Duration
	utilization float64 // part of the share in use; a moving average
}

const (
	// minMeterInterval is the least time between two readings: over a shorter one
	// a single plan would look like a load.
	minMeterInterval = 2 * time.Second
	// maxUtilization is the part of its processor share above which a controller
	// gets no new jobs while another can take them: its answers would begin to
	// be late.
	maxUtilization = 0.7
)

// update takes a reading of the process's processor time; share is what it may
// use.
func (m *cpuMeter) update(now time.Time, used time.Duration, share float64) {
	if m.readAt.IsZero() {
		m.readAt, m.usedAtRead = now, used
		return
	}
	if elapsed := now.Sub(m.readAt); elapsed >= minMeterInterval {
		latest := (used - m.usedAtRead).Seconds() / elapsed.Seconds() / share
		m.utilization += (latest - m.utilization) / 2
		m.readAt, m.usedAtRead = now, used
	}
}

// processTime returns the processor time that this process has used.
func processTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// isHolderOverloaded reports whether a shard's holder uses up its processor
// share.
func (n *Node) isHolderOverloaded(shard int) bool {
	if n.shards[shard] != nil {
		return n.cpuMeter.utilization > maxUtilization
	}
	status := n.peerStatus[n.records.Shards[shard].Value.Holder.Name]
	return status != nil && status.Utilization > maxUtilization
}
