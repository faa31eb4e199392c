package coordination

import (
	"syscall"
	"time"
)

// meter tells how much of its share of the processor a controller uses.
type meter struct {
	at   time.Time
	used time.Duration
	busy float64
}

const (
	meterEvery = 2 * time.Second
	// A controller that uses more of its share than this gets no new jobs
	// while another can take them: answers would begin to come late.
	tooBusy = 0.7
)

// read takes a reading of the process's time; share is what it may use.
func (m *meter) read(now time.Time, used time.Duration, share float64) {
	if m.at.IsZero() {
		m.at, m.used = now, used
		return
	}
	if past := now.Sub(m.at); past >= meterEvery {
		m.busy += ((used-m.used).Seconds()/past.Seconds()/share - m.busy) / 2
		m.at, m.used = now, used
	}
}

// processTime is the processor time of this process so far.
func processTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// tooBusyFor tells whether a shard's holder has been seen to use up its share.
func (n *Node) tooBusyFor(shard int) bool {
	if n.shards[shard] != nil {
		return n.meter.busy > tooBusy
	}
	o := n.others[n.shardRecs[shard].v.Holder.Name]
	return o != nil && o.Busy > tooBusy
}
