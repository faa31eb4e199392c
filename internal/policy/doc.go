// Package policy orders jobs and selects preemption victims when the work exceeds the
// capacity.
//
// It has two parts:
//
//   - Ordering of waiting jobs. The input is a [Snapshot]: the jobs with their remaining
//     work, deadlines and priority classes, the available and booting cores, the maximum
//     quota of each team, and the recent service level of each job class and team.
//     [Snapshot.Order] returns a [Queue], which also identifies the jobs that can't meet
//     their deadlines and those protected for the minimum service level of their class
//     or team.
//   - Preemption. The input is a [Preemptor], the waiting job, and a [RunningTask], a
//     possible victim. [Preemptor.ShouldPreempt] decides whether to preempt at all,
//     [Preemptor.CanPreempt] whether a task is a possible victim,
//     [RunningTask.PreemptionCost] returns the cost, and [Preemptor.IsWorthLoss] decides
//     whether the job justifies it.
//
// The scheduler in internal/coordination uses both in every plan: it builds the inputs
// from its records, and places tasks and stops victims according to the results. The
// functions are pure: the same input gives the same result, without clocks, locks or I/O.
// docs/shortage.md has the rationale and the alternatives.
package policy
