package policy

import "math"

// slackTree holds the slack of a sequence of jobs: the amount of work by which each may be
// delayed. It is a segment tree of minima with lazy subtraction. Range minimum queries and
// range updates take logarithmic time, so that one plan can reorder thousands of jobs.
type slackTree struct {
	leaves int       // a power of two
	min    []float64 // by node, with root 1: minimum slack of its leaves
	spent  []float64 // by node: subtracted from all of its leaves, not yet propagated to its descendants
}

func newSlackTree(slack []float64) *slackTree {
	leaves := 1
	for leaves < len(slack) {
		leaves *= 2
	}
	t := &slackTree{leaves: leaves, min: make([]float64, 2*leaves), spent: make([]float64, 2*leaves)}
	for i := range t.min {
		t.min[i] = math.Inf(1)
	}
	copy(t.min[leaves:], slack)
	for i := leaves - 1; i > 0; i-- {
		t.min[i] = min(t.min[2*i], t.min[2*i+1])
	}
	return t
}

// least returns the minimum slack of the positions in [from, to); +Inf if there are none.
func (t *slackTree) least(from, to int) float64 {
	return t.visit(1, 0, t.leaves, slackChange{from: from, to: to})
}

// subtract reduces the slack of the positions in [from, to).
func (t *slackTree) subtract(from, to int, work float64) {
	t.visit(1, 0, t.leaves, slackChange{from: from, to: to, work: work, apply: true})
}

// remove removes a position by making its slack infinite.
func (t *slackTree) remove(position int) {
	t.visit(1, 0, t.leaves, slackChange{from: position, to: position + 1, work: math.Inf(-1), apply: true})
}

// slackChange is an operation on the positions in [from, to): a query of their minimum
// slack which, if apply is set, first subtracts work.
type slackChange struct {
	from, to int
	work     float64
	apply    bool
}

// visit applies a change below a node that covers the positions in [low, high), and returns
// the minimum slack of the positions covered by the change.
func (t *slackTree) visit(node, low, high int, c slackChange) float64 {
	if c.to <= low || high <= c.from || c.from >= c.to {
		return math.Inf(1)
	}
	if c.from <= low && high <= c.to {
		if c.apply {
			t.min[node] -= c.work
			t.spent[node] += c.work
		}
		return t.min[node]
	}
	left, right, mid := 2*node, 2*node+1, (low+high)/2
	least := min(t.visit(left, low, mid, c), t.visit(right, mid, high, c)) - t.spent[node]
	if c.apply {
		t.min[node] = min(t.min[left], t.min[right]) - t.spent[node]
	}
	return least
}
