// Package placement implements bin packing: it selects the best machine for a task, and
// the running tasks to preempt so that another task fits.
//
// The score of a machine is [UCfit], the utilization-capacity fitness of section 4.1.2
// of the paper that this scheduler follows (Mergenci and Korpeoglu, "Generic resource
// allocation metrics and methods for heterogeneous cloud infrastructures", 2019).
// [UCfit.SelectBest] selects the machine for one task among candidates, and a [Selector]
// the machines for many equal tasks of one job, one at a time. [SelectVictims] selects
// cheap tasks of one machine to preempt.
//
// The scheduler in internal/coordination calls them to place tasks, to move tasks off a
// machine, and to decide which machine types to start. The results depend only on the
// input; there are no clocks, locks or I/O.
package placement
