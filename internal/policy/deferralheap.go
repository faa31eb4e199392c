package policy

// deferralHeap is a binary heap of jobs whose top is the job to be deferred first. It does
// not use container/heap, which would box every index.
type deferralHeap struct {
	snapshot *Snapshot
	jobs     []int
}

func (h *deferralHeap) less(a, b int) bool {
	return h.snapshot.compareDeferral(h.jobs[a], h.jobs[b]) < 0
}

func (h *deferralHeap) swap(a, b int) { h.jobs[a], h.jobs[b] = h.jobs[b], h.jobs[a] }

func (h *deferralHeap) push(job int) {
	h.jobs = append(h.jobs, job)
	for child := len(h.jobs) - 1; child > 0; {
		parent := (child - 1) / 2
		if !h.less(child, parent) {
			return
		}
		h.swap(child, parent)
		child = parent
	}
}

func (h *deferralHeap) pop() int {
	top, last := h.jobs[0], len(h.jobs)-1
	h.jobs[0] = h.jobs[last]
	h.jobs = h.jobs[:last]
	for parent := 0; ; {
		first := parent
		for child := 2*parent + 1; child <= 2*parent+2 && child < last; child++ {
			if h.less(child, first) {
				first = child
			}
		}
		if first == parent {
			return top
		}
		h.swap(parent, first)
		parent = first
	}
}
