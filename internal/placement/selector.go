package placement

import (
	"cmp"
	"container/heap"
	"math"
)

// Selector selects machines for equal tasks of one job, one at a time, each time the
// machine with the lowest score after placement. Ties are broken by lower preference, then
// by the order of addition. The result equals calling [UCfit.SelectBest] for every task,
// but only the modified machine is scored again.
type Selector struct {
	ucfit    UCfit
	need     Resources // of one task
	machines machineHeap
}

// NewSelector returns a selector without machines for tasks that need the given
// resources.
func (u UCfit) NewSelector(need Resources) *Selector { return &Selector{ucfit: u, need: need} }

// Add adds a machine with the given free capacity if a task fits on it. The caller assigns
// ids in the order of addition. Among machines of equal score, lower preferences are
// selected first.
func (s *Selector) Add(id int, free, size Resources, preference int) {
	if !free.Fits(s.need) {
		return
	}
	m := candidateMachine{id: id, freeAfter: free.Sub(s.need), size: size, preference: preference}
	s.updateScore(&m)
	heap.Push(&s.machines, m)
}

// Best returns the machine for the next task; -1 if it fits on none.
func (s *Selector) Best() int {
	if len(s.machines) == 0 {
		return -1
	}
	return s.machines[0].id
}

// PlaceOnBest records that a task was placed on the machine that Best returns.
func (s *Selector) PlaceOnBest() {
	best := &s.machines[0]
	if !best.freeAfter.Fits(s.need) {
		s.RemoveBest()
		return
	}
	best.freeAfter = best.freeAfter.Sub(s.need)
	s.updateScore(best)
	heap.Fix(&s.machines, 0)
}

// RemoveBest removes the machine that Best returns.
func (s *Selector) RemoveBest() { heap.Pop(&s.machines) }

// updateScore computes the score of a machine. The score is rounded so that amounts that
// differ only by rounding errors have equal scores.
func (s *Selector) updateScore(m *candidateMachine) {
	m.score = math.Round(s.ucfit.Score(m.freeAfter, m.size) / epsilon)
}

// candidateMachine is a machine on which another task fits.
type candidateMachine struct {
	id         int
	freeAfter  Resources // after placing one more task
	size       Resources
	score      float64 // with that task, in units of epsilon
	preference int
}

// machineHeap is a [heap.Interface] with the best machine on top.
type machineHeap []candidateMachine

func (h machineHeap) Len() int { return len(h) }

func (h machineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h machineHeap) Less(i, j int) bool {
	a, b := &h[i], &h[j]
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.preference, b.preference), cmp.Compare(a.id, b.id)) < 0
}

func (h *machineHeap) Push(x any) { *h = append(*h, x.(candidateMachine)) }

func (h *machineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
