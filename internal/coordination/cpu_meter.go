package coordination

import (
	"syscall"
	"time"
)

// cpuMeter measures which fraction of its CPU share a controller uses.
type cpuMeter struct {
	readAt      time.Time
	usedAtRead  time.Duration
	utilization float64 // fraction of the CPU share in use, as a moving average
}

const (
	// minMeterInterval is the minimum time between two readings. Over a shorter interval a
	// single planning run would look like sustained load.
	minMeterInterval = 2 * time.Second
	// maxUtilization is the utilization above which a controller is assigned no new jobs
	// while another can take them, because its responses would become slow.
	maxUtilization = 0.7
)

// update records a reading of the process's CPU time. share is the CPU share that the
// process may use, in cores.
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

// processTime returns the CPU time used by this process, or 0 if it is unknown.
func processTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// isHolderOverloaded reports whether the holder of a shard exceeds maxUtilization.
func (n *Node) isHolderOverloaded(shard int) bool {
	if n.shards[shard] != nil {
		return n.cpuMeter.utilization > maxUtilization
	}
	status := n.peerStatus[n.records.Shards[shard].Value.Holder.Name]
	return status != nil && status.Utilization > maxUtilization
}
