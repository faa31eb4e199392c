package coordination

import "time"

// bootBatch counts machines of one kind that were requested together.
type bootBatch struct {
	count       int
	requestedAt time.Time
}

// setBooting replaces the counts of the shard's booting machines. The leader
// sends only counts, so the time at which a count grew is taken as the request
// time, and a lower count removes the oldest machines.
func (s *shard) setBooting(requests []machineRequest, now time.Time) {
	counts := map[machineKind]int{}
	for _, request := range requests {
		counts[request.Kind] += request.Count
	}
	for kind, batches := range s.bootBatches {
		batches = dropOldest(batches, countMachines(batches)-counts[kind])
		if len(batches) == 0 {
			delete(s.bootBatches, kind)
		} else {
			s.bootBatches[kind] = batches
		}
	}
	for kind, count := range counts {
		if added := count - countMachines(s.bootBatches[kind]); added > 0 {
			s.bootBatches[kind] = append(s.bootBatches[kind], bootBatch{added, now})
		}
	}
	s.booting = requests
}

// countMachines returns the total number of machines in batches.
func countMachines(batches []bootBatch) int {
	count := 0
	for _, batch := range batches {
		count += batch.count
	}
	return count
}

// dropOldest removes the given number of machines from batches, oldest first.
func dropOldest(batches []bootBatch, count int) []bootBatch {
	for count > 0 {
		removed := min(count, batches[0].count)
		count -= removed
		batches[0].count -= removed
		if batches[0].count == 0 {
			batches = batches[1:]
		}
	}
	return batches
}

// remainingBootSeconds returns the average remaining boot time of the booting
// machines of a kind. Assuming half of the boot time would be too low at the start
// of a day and after a loss of machines, when all have only just been requested:
// work that only those machines can start would be predicted to be on time.
func (s *shard) remainingBootSeconds(request machineRequest, bootSeconds float64, now time.Time) float64 {
	totalSeconds, count := 0.0, 0
	for _, batch := range s.bootBatches[request.Kind] {
		totalSeconds += float64(batch.count) * max(0, bootSeconds-now.Sub(batch.requestedAt).Seconds())
		count += batch.count
	}
	if count == 0 {
		return bootSeconds / 2
	}
	return totalSeconds / float64(count)
}
