// Package latency records how long tasks spend in each stage, from the submission of
// their job until its completion is reported to the user.
//
// A [Recorder] keeps a sketch of durations for each job class and [Stage], which provides
// counts, sums and quantiles in bounded memory. The controller in internal/coordination
// calls [Recorder.Record] when a job or task moves to the next stage, and logs
// [Recorder.Summaries] periodically. Recording is disabled unless the operators' file
// enables it. A nil Recorder records nothing at no cost, so callers need no check.
package latency
