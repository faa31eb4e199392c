package coordination

import "time"

// bootBatch is a number of machines of one kind that were requested together.
type bootBatch struct {
	count       int
	requestedAt time.Time
}

// setBooting replaces the list of machines that boot for the shard, and notes
// since when: the leader sends only counts. Machines that left the list were
// the oldest.
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

// countMachines counts the machines of batches.
func countMachines(batches []bootBatch) int {
	count := 0
	for _, batch := range batches {
		count += batch.count
	}
	return count
}

// dropOldest removes so many machines, the oldest, from batches.
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

// remainingBootSeconds returns how long booting machines of a kind still take,
// on average. Assuming half a boot time would be wrong at the start of a day
// and after a loss, when nothing has booted yet: work that only those machines
// can start would count as on time.
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
