package coordination

import "reedtrack/internal/storage"

// maxCachedEnds bounds the ends that a controller keeps in memory; what is dropped
// is read again when somebody asks for it.
const maxCachedEnds = 20000

// endedJobCache holds how jobs ended, as far as the store has confirmed it to this
// controller. Ends are final, so an entry never changes.
type endedJobCache struct {
	known   map[string]storage.EndedJob
	order   []string        // the keys of known, oldest first
	unknown map[string]bool // dependencies that are no longer live and whose ends have to be read
}

func newEndedJobCache() endedJobCache {
	return endedJobCache{known: map[string]storage.EndedJob{}, unknown: map[string]bool{}}
}

func (c *endedJobCache) get(id string) (storage.EndedJob, bool) {
	end, ok := c.known[id]
	return end, ok
}

// add caches an end that the store has confirmed, and drops the oldest one if there
// are too many.
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
