package coordination

import "reedtrack/internal/storage"

// maxCachedEnds limits the end records that a controller keeps in memory;
// evicted ones are read from the store again on demand.
const maxCachedEnds = 20000

// endedJobCache caches the end records of jobs that the store has confirmed to
// this controller. End records are final, so an entry never changes.
type endedJobCache struct {
	known   map[string]storage.EndedJob
	order   []string        // the keys of known, oldest first
	unknown map[string]bool // dependencies that are no longer live and whose end records have to be read
}

func newEndedJobCache() endedJobCache {
	return endedJobCache{known: map[string]storage.EndedJob{}, unknown: map[string]bool{}}
}

func (c *endedJobCache) get(id string) (storage.EndedJob, bool) {
	end, ok := c.known[id]
	return end, ok
}

// add caches an end record that the store has confirmed, and evicts the oldest
// one if the cache is full.
func (c *endedJobCache) add(id string, end storage.EndedJob) {
	if _, ok := c.known[id]; !ok {
		c.order = append(c.order, id)
	}
	c.known[id] = end
	if len(c.order) > maxCachedEnds {
		delete(c.known, c.order[0])
		c.order = c.order[1:]
	}
}
