package coordination

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/protocol"
)

// scenario is a combination of faults, named as operators describe it.
type scenario struct {
	name      string
	jobs      int // 0: 24
	setUp     func(w *world)
	adjustJob func(k int, j *protocol.Job, u *user)
	script    []fault
	// Minimum counts of events: a run in which the faults did not coincide is
	// inconclusive.
	requiredEvents map[string]int
	// Pairs of events that must have happened within a maximum gap.
	eventPairs []eventPair
	detects    detection
	// Additional check for this scenario; it returns an empty string on success.
	check func(w *world) string
}

type eventPair struct {
	a      string
	b      string
	maxGap time.Duration
}

// detection is a guard whose absence a scenario detects, and the prefix of the expected
// violation; empty: any. Detections that succeed within a few seeds run in CI, the others
// with -all; guards that only the latter cover are model checked in CI.
type detection struct {
	guard     string
	violation string
	inCI      bool
}

const sec = time.Second

// cancelFaults makes users cancel running jobs at the given times.
func cancelFaults(count int, hang time.Duration, at ...time.Duration) []fault {
	var list []fault
	for _, t := range at {
		list = append(list, fault{at: t, kind: cancelRunningJobs, count: count, hangDuration: hang})
	}
	return list
}

// longJobs makes all jobs run for long.
func longJobs(guessS float64) func(k int, j *protocol.Job, u *user) {
	return func(k int, j *protocol.Job, u *user) {
		j.EstimatedSeconds, j.Tasks = guessS, min(j.Tasks, 3)
		u.submitAfter = min(u.submitAfter, 40*sec)
		u.cancels = u.cancels && j.IsService()
	}
}

// tightQuotas gives the teams small quotas.
func tightQuotas(w *world) {
	w.settings.Deployment.Teams = []config.Team{{Name: "red", CPUs: 4, CPUsMax: 9}, {Name: "blue", CPUs: 4, CPUsMax: 12}}
}

var scenarios = []scenario{
	{name: "the state service answers slowly, or refuses the leader alone and then everybody for longer than cancel_s, while users cancel and ask",
		detects: detection{guardLeaseValidity, "ran_cancelled", false},
		jobs:    12, adjustJob: longJobs(120),
		script: append(cancelFaults(3, 0, 60200*time.Millisecond, 61*sec),
			fault{at: 30 * sec, kind: storeSlow, duration: 25 * sec},
			fault{at: 60 * sec, kind: storeRefusesOne, target: targetLeader, duration: 60 * sec},
			fault{at: 63 * sec, kind: storeOutage, duration: 55 * sec}),
		requiredEvents: map[string]int{"the state service delays a request by seconds": 5, "confirmed while a controller is refused": 2, "confirmed while it runs": 2}},
	{name: "a transaction without an answer is carried out late, after newer ones of the same controller",
		detects:        detection{guardPreconditions, "", true},
		script:         []fault{{at: 15 * sec, kind: txnsLate, share: 0.35, duration: 90 * sec}, {at: 15 * sec, kind: concurrentReads, duration: 90 * sec}},
		requiredEvents: map[string]int{"late write done after a newer one": 2, "late write refused after a newer one": 2}},
	{name: "all controllers are away for longer than lease_s",
		detects: detection{guardWorkerLease, "ran_twice", false},
		jobs:    12, adjustJob: longJobs(60),
		script:         append(cancelFaults(4, 0, 59*sec), fault{at: 60 * sec, kind: controllerEnds, target: targetAll, duration: 26 * sec}),
		requiredEvents: map[string]int{"all controllers down for a lease": 1, "confirmed while it runs": 1}},
	{name: "a team is at its limit when the leader changes, some of its machines can't be asked, and a cancellation falls into that spell",
		detects: detection{guardWorkerLease, "ran_twice", false},
		setUp:   tightQuotas, jobs: 12, adjustJob: longJobs(90),
		script: append(cancelFaults(2, 0, 58*sec, 61*sec, 64*sec, 67*sec, 70*sec, 73*sec),
			fault{at: 55 * sec, kind: machinesCannotSend, count: 2, duration: 15 * sec},
			fault{at: 57 * sec, kind: zoneIsolated, zone: "b", duration: 25 * sec},
			fault{at: 60 * sec, kind: controllerEnds, target: targetLeader, duration: 30 * sec}),
		requiredEvents: map[string]int{"leader changed": 1, "confirmed while its machine is cut off": 1},
		eventPairs:     []eventPair{{"leader changed", "confirmed while its machine is cut off", 20 * sec}, {"red is at its limit", "leader changed", 60 * sec}}},
	{name: "there is more work than room, urgent and not, over slow links",
		detects: detection{guardWorkerLease, "ran_twice", false}, jobs: 60,
		adjustJob:      func(k int, j *protocol.Job, u *user) { u.submitAfter = min(u.submitAfter, 50*sec) },
		script:         append(cancelFaults(3, 0, 50*sec, 70*sec), fault{at: 20 * sec, kind: heartbeatsSlow, duration: 90 * sec}),
		requiredEvents: map[string]int{"heartbeat delayed by a slow link": 100, "confirmed": 10}},
	{name: "jobs of two or three tasks end far apart across a change of leader",
		detects: detection{guardWorkerLease, "ran_twice", false},
		adjustJob: func(k int, j *protocol.Job, u *user) {
			if !j.IsService() {
				j.Tasks, j.EstimatedSeconds = 2+k%2, 60
			}
		},
		script: []fault{{at: 50 * sec, kind: controllerEnds, target: targetLeader, duration: 500 * time.Millisecond}, {at: 75 * sec, kind: controllerEnds, target: targetLeader, duration: 20 * sec},
			{at: 110 * sec, kind: controllerEnds, target: targetBusiest, duration: 20 * sec}},
		requiredEvents: map[string]int{"leader changed": 2, "tasks of a job end far apart across a change of leader": 3}},
	{name: "an old report arrives after newer ones, also from an earlier session or attempt",
		detects: detection{guardHeartbeatOrder, "", true},
		script: []fault{{at: 10 * sec, kind: heartbeatCopiesLate, share: 0.5, duration: 100 * sec}, {at: 40 * sec, kind: machinesCannotSend, count: 4, duration: 25 * sec},
			{at: 80 * sec, kind: controllerEnds, target: targetBusiest, duration: 300 * time.Millisecond}},
		requiredEvents: map[string]int{"heartbeat copy": 50, "heartbeat copy, more than a lease late": 10, "heartbeat copy of an earlier session": 2}},
	{name: "a transaction is carried out at once and only its answer is lost, while other nodes read what it wrote",
		detects:        detection{guardCurrentReads, "went_back", false},
		script:         []fault{{at: 5 * sec, kind: txnAnswersLost, share: 0.4, duration: 100 * sec}, {at: 5 * sec, kind: concurrentReads, duration: 100 * sec}},
		requiredEvents: map[string]int{"answer lost done": 20, "concurrent reads": 10, "a submission without an answer was accepted, as another finds": 2}},
	{name: "every team is at its limit while jobs are cancelled whose machines are cut off or hang, and the leader changes",
		detects: detection{guardWorkerLease, "quota", true},
		setUp:   tightQuotas, jobs: 12, adjustJob: longJobs(90),
		script: append(cancelFaults(3, 14*sec, 57*sec, 61*sec, 66*sec),
			fault{at: 55 * sec, kind: zoneIsolated, zone: "b", duration: 20 * sec},
			fault{at: 60 * sec, kind: controllerEnds, target: targetLeader, duration: 25 * sec}),
		requiredEvents: map[string]int{"leader changed": 1, "confirmed while its machine hangs": 1, "red is at its limit": 1, "blue is at its limit": 1},
		eventPairs:     []eventPair{{"confirmed while its machine hangs", "leader changed", 20 * sec}}},
	{name: "workers can't open connections to any controller, while direct commands still reach them",
		detects:        detection{guardUnansweredStart, "", false},
		script:         append(cancelFaults(3, 0, 50*sec, 60*sec), fault{at: 45 * sec, kind: machinesCannotSend, count: 8, duration: 35 * sec}),
		requiredEvents: map[string]int{"direct command to a machine that can't send": 1}},
	{name: "one-task jobs come four a second for minutes, a quarter of them cancelled, and the largest begin within four minutes",
		detects: detection{guardUnansweredStart, "ran_twice", false}, jobs: 480,
		setUp: func(w *world) { w.allowMachines(60) },
		adjustJob: func(k int, j *protocol.Job, u *user) {
			j.Type, j.Tasks, j.OneZone, j.Spread = "array", 1, false, false
			u.submitAfter, u.cancels, u.cancelAfter = time.Duration(k)*sec/4, k%4 == 0, time.Duration(k%7)*sec/2
			if k%60 == 59 { // occasionally a large job
				j.Tasks, j.Cores, u.cancels = largeJobTasks, 3, false
			}
		},
		check:          func(w *world) string { return w.lateStart(largeJobTasks, 4*time.Minute) },
		script:         []fault{{at: 60 * sec, kind: controllerEnds, target: targetLeader, duration: 300 * time.Millisecond}},
		requiredEvents: map[string]int{"confirmed": 30, "leader changed": 1}},
	{name: "controllers hand over and back, all end, and one returns, also within a second",
		detects: detection{guardWorkerLease, "ran_twice", false},
		script: []fault{{at: 40 * sec, kind: controllerEnds, target: targetLeader, duration: 900 * time.Millisecond}, {at: 44 * sec, kind: controllerEnds, target: targetBusiest, duration: 900 * time.Millisecond},
			{at: 60 * sec, kind: controllerEnds, target: targetNonLeaders, duration: 25 * sec}, {at: 60100 * time.Millisecond, kind: controllerEnds, target: targetLeader, duration: 400 * time.Millisecond},
			{at: 100 * sec, kind: controllerEnds, target: targetAll, duration: 300 * time.Millisecond}},
		requiredEvents: map[string]int{"leader changed": 3, "one controller up": 100}},
	{name: "a leader ends while machines with long tasks can't be reached, or don't hear the new leader's answer",
		detects: detection{guardWorkerLease, "ran_twice", true},
		jobs:    12, adjustJob: longJobs(120),
		script: []fault{{at: 55 * sec, kind: machinesCannotReceive, count: 4, duration: 16 * sec}, {at: 58 * sec, kind: zoneIsolated, zone: "b", duration: 18 * sec},
			{at: 60 * sec, kind: controllerEnds, target: targetLeader, duration: 500 * time.Millisecond}, {at: 61 * sec, kind: controllerEnds, target: targetBusiest, duration: 20 * sec}},
		requiredEvents: map[string]int{"heartbeat answered whose sender can't receive": 3},
		eventPairs:     []eventPair{{"leader changed", "heartbeat answered whose sender can't receive", 15 * sec}}},
	{name: "jobs bound to one zone, arrays too, lose machines",
		detects: detection{guardWorkerLease, "ran_twice", false},
		adjustJob: func(k int, j *protocol.Job, u *user) {
			j.Spread, j.Zone, j.OneZone, j.MachineTypes = false, "", k%2 == 0, nil
			if k%2 == 1 {
				j.Zone = []string{"a", "b"}[k/2%2]
			}
		},
		script: []fault{{at: 40 * sec, kind: machinesDie, count: 2}, {at: 55 * sec, kind: machinesReclaimed, count: 2, duration: 8 * sec}, {at: 70 * sec, kind: zoneIsolated, zone: "a", duration: 30 * sec},
			{at: 75 * sec, kind: controllerEnds, target: targetBusiest, duration: 20 * sec}, {at: 85 * sec, kind: machinesDie, count: 2}},
		requiredEvents: map[string]int{"a job of one zone loses a machine": 2}},
	{name: "new machines are up within two seconds and get work at once while writes lag, and the leader ends",
		detects: detection{guardPreconditions, "", false},
		setUp:   func(w *world) { w.quickBoots = true },
		script: []fault{{at: 1 * sec, kind: txnsLate, share: 0.4, duration: 110 * sec}, {at: 20 * sec, kind: machinesDie, count: 3}, {at: 22 * sec, kind: controllerEnds, target: targetLeader, duration: 15 * sec},
			{at: 50 * sec, kind: machinesDie, count: 3}, {at: 52 * sec, kind: controllerEnds, target: targetLeader, duration: 200 * time.Millisecond}, {at: 80 * sec, kind: controllerEnds, target: targetLeader, duration: 15 * sec}},
		requiredEvents: map[string]int{"task started on a newly booted machine": 3, "leader changed": 2, "late write refused after a newer one": 1}},
	{name: "a command or its answer is held up for seconds, and the machine then goes on",
		detects:        detection{guardUnansweredStart, "ran_twice", true},
		script:         append(cancelFaults(3, 6*sec, 40*sec, 60*sec, 80*sec), fault{at: 15 * sec, kind: directSlow, duration: 100 * sec}, fault{at: 50 * sec, kind: machinesHang, count: 4, duration: 7 * sec}),
		requiredEvents: map[string]int{"direct command held for seconds": 3}},
	{name: "users ask at all nodes, again and again within milliseconds, and repeat the submission, right after a job was accepted, ended or confirmed as cancelled",
		detects:        detection{guardCurrentReads, "went_back", true},
		script:         append(cancelFaults(3, 0, 40*sec, 60*sec, 80*sec), fault{kind: concurrentReads, duration: 120 * sec}, fault{at: 10 * sec, kind: invalidRequests, duration: 100 * sec}),
		requiredEvents: map[string]int{"concurrent reads": 20, "confirmed": 3, "invalid request refused": 10}},
	{name: "a leader is cut from the state service and from the other controllers while workers and users still reach it, and jobs are cancelled through the new one",
		detects: detection{guardLeaseValidity, "started_cancelled", false},
		jobs:    12, adjustJob: longJobs(120),
		script:         append(cancelFaults(2, 0, 61*sec, 65*sec, 72*sec, 80*sec), fault{at: 60 * sec, kind: controllerIsolated, target: targetLeader, duration: 50 * sec}),
		requiredEvents: map[string]int{"leader changed": 1, "confirmed while a controller is refused": 3},
		eventPairs:     []eventPair{{"leader changed", "confirmed while a controller is refused", 20 * sec}}},
	{name: "a zone with workers and a controller is cut off for longer than lease_s",
		detects: detection{guardLeaseValidity, "started_cancelled", false},
		jobs:    12, adjustJob: longJobs(100),
		script:         append(cancelFaults(2, 0, 58*sec, 64*sec, 75*sec), fault{at: 60 * sec, kind: zoneIsolatedWithController, target: targetBusiest, zone: "a", duration: 40 * sec}),
		requiredEvents: map[string]int{string(zoneIsolatedWithController) + ": over": 1, "confirmed": 2}},
	{name: "a cancellation, a question or a repeated submission meets the end of a job's last task, with no other trouble",
		detects:        detection{guardPreconditions, "went_back", false},
		setUp:          func(w *world) { w.txnFailureRate = 0 },
		adjustJob:      func(k int, j *protocol.Job, u *user) { u.cancels = u.cancels && j.IsService() },
		script:         []fault{{kind: cancelEndingJobs, share: 0.7, duration: 120 * sec}, {kind: concurrentReads, duration: 120 * sec}},
		requiredEvents: map[string]int{"cancelled as it ends": 5, "concurrent reads": 10}},
	{name: "leaders change ten times in two minutes, also inside an outage",
		detects:        detection{guardWorkerLease, "ran_twice", false},
		script:         append(cancelFaults(2, 0, 50*sec, 75*sec), fault{at: 20 * sec, kind: leaderChanges, count: 12, duration: 120 * sec}, fault{at: 70 * sec, kind: storeOutage, duration: 14 * sec}),
		requiredEvents: map[string]int{"leader changed": 9}},
	{name: "an old report reaches every controller just as a new leader begins",
		detects:        detection{guardFencingToken, "", true},
		script:         []fault{{at: 30 * sec, kind: heartbeatCopiesForNextLeader, share: 0.6, duration: 80 * sec}, {at: 60 * sec, kind: controllerEnds, target: targetLeader, duration: 15 * sec}, {at: 95 * sec, kind: controllerEnds, target: targetLeader, duration: 300 * time.Millisecond}},
		requiredEvents: map[string]int{"kept heartbeat as the leader changes": 30}},
	{name: "jobs are cancelled in the seconds in which one controller's work changes hands",
		detects: detection{guardWorkerLease, "ran_twice", false},
		jobs:    12, adjustJob: longJobs(120),
		script:         append(cancelFaults(2, 0, 59900*time.Millisecond, 60500*time.Millisecond, 62*sec, 64*sec, 66*sec, 68*sec, 70*sec, 72*sec), fault{at: 60 * sec, kind: controllerEnds, target: targetBusiest, duration: 30 * sec}),
		requiredEvents: map[string]int{"confirmed while a controller is down": 4, "confirmed while it runs": 4}},
	{name: "jobs are cancelled at the very moment at which the state service refuses the leader alone, and a second later it is out for longer than cancel_s",
		detects: detection{guardLeaseValidity, "ran_", true},
		jobs:    12, adjustJob: longJobs(120),
		script: append(cancelFaults(6, 0, 60*sec), fault{at: 60 * sec, kind: storeRefusesOne, target: targetLeader, duration: 60 * sec},
			fault{at: 61 * sec, kind: storeOutage, duration: 55 * sec}),
		requiredEvents: map[string]int{"confirmed while a controller is refused": 1}},
	{name: "a report is held back until a new leader has acted, and then arrives there",
		detects: detection{guardFencingToken, "", true},
		script: []fault{{at: 30 * sec, kind: heartbeatCopiesForNextLeader, share: 0.6, duration: 80 * sec}, {at: 55 * sec, kind: machinesHang, count: 3, duration: 10 * sec},
			{at: 60 * sec, kind: controllerEnds, target: targetLeader, duration: 15 * sec}, {at: 62 * sec, kind: controllerEnds, target: targetBusiest, duration: 400 * time.Millisecond}},
		requiredEvents: map[string]int{"kept heartbeat after the new leader acted": 30}},
	{name: "a command of a leader that has since ended or been deposed arrives after the new leader's",
		detects: detection{guardWorkerLease, "ran_twice", false},
		jobs:    100, setUp: func(w *world) { w.allowMachines(24); w.maxTasks = 6 },
		adjustJob: func(k int, j *protocol.Job, u *user) { u.submitAfter = time.Duration(k) * sec },
		script: []fault{{at: 20 * sec, kind: directLate, share: 0.4, duration: 115 * sec}, {at: 40 * sec, kind: controllerEnds, target: targetBusiest, duration: 15 * sec},
			{at: 65 * sec, kind: controllerEnds, target: targetLeader, duration: 300 * time.Millisecond}, {at: 72 * sec, kind: controllerEnds, target: targetBusiest, duration: 300 * time.Millisecond},
			{at: 85 * sec, kind: controllerIsolated, target: targetBusiest, duration: 25 * sec}},
		requiredEvents: map[string]int{"late command arrives after the next holder's": 2, "late command of a process that has ended refused": 1, "leader changed": 1}},
	{name: "the former holder's command arrives before the next holder's first has reached the machine",
		detects: detection{guardWorkerLease, "ran_twice", false},
		jobs:    40, script: []fault{{at: 20 * sec, kind: directLate, share: 0.8, maxDelay: 40 * sec, duration: 115 * sec}, {at: 40 * sec, kind: controllerEnds, target: targetBusiest, duration: 15 * sec},
			{at: 41 * sec, kind: machinesCannotSend, count: 8, duration: 20 * sec}, {at: 75 * sec, kind: controllerEnds, target: targetBusiest, duration: 300 * time.Millisecond},
			{at: 75 * sec, kind: machinesCannotSend, count: 8, duration: 20 * sec}},
		requiredEvents: map[string]int{"late command of a process that has ended carried out": 1}},
	{name: "a start is held up for minutes, and its machine begins another session meanwhile",
		detects: detection{guardUnansweredStart, "ran_twice", false},
		jobs:    150, setUp: func(w *world) { w.allowMachines(24); w.maxTasks = 6; w.withoutFences = true },
		adjustJob: func(k int, j *protocol.Job, u *user) {
			j.EstimatedSeconds, u.submitAfter = min(j.EstimatedSeconds, 15), time.Duration(k)*sec*2/3
		},
		script: []fault{{at: 5 * sec, kind: directLate, share: 0.3, maxDelay: 130 * sec, verb: protocol.VerbStart, duration: 115 * sec},
			{at: 25 * sec, kind: machinesCannotSend, count: 8, duration: 26 * sec}, {at: 55 * sec, kind: machinesCannotSend, count: 8, duration: 26 * sec}, {at: 80 * sec, kind: zoneIsolated, zone: "a", duration: 30 * sec}},
		requiredEvents: map[string]int{"command a minute late carried out": 1, "command a minute late refused": 1, "late command to the machine's next session refused": 2,
			"late batch of commands": 1, "late single command": 1}},
	{name: "a late start lands after a confirmed cancellation, and the machine hung in between",
		detects: detection{guardStartBeforeStop, "ran_cancelled", false},
		jobs:    40, script: append(cancelFaults(6, 8*sec, 30*sec, 45*sec, 60*sec, 75*sec, 90*sec, 105*sec),
			fault{at: 10 * sec, kind: directLate, share: 0.9, maxDelay: 120 * sec, verb: protocol.VerbStart, duration: 120 * sec},
			fault{at: 25 * sec, kind: machinesHang, count: 4, duration: 6 * sec}, fault{at: 55 * sec, kind: machinesHang, count: 4, duration: 6 * sec}, fault{at: 85 * sec, kind: machinesHang, count: 4, duration: 6 * sec}),
		requiredEvents: map[string]int{"late start of a cancelled job carried out": 1, "late start of a cancelled job on a machine that hung in between": 1}},
	{name: "a late halt meets what came after the attempt that it was for",
		detects: detection{guardWorkerLease, "ran_twice", false},
		jobs:    40, script: append(cancelFaults(3, 0, 30*sec, 50*sec, 70*sec, 90*sec),
			fault{at: 10 * sec, kind: directLate, share: 0.9, verb: protocol.VerbStop, maxDelay: 30 * sec, duration: 120 * sec},
			fault{at: 40 * sec, kind: machinesReclaimed, count: 2, duration: 10 * sec}, fault{at: 80 * sec, kind: machinesReclaimed, count: 2, duration: 10 * sec}),
		requiredEvents: map[string]int{"late stop of an attempt that is gone": 2}},
	{name: "a late start meets an attempt that has ended, on a machine that fails its tasks",
		detects: detection{guardAttemptRetention, "", true},
		setUp:   func(w *world) { w.withoutFences = true },
		jobs:    40, script: []fault{{at: 10 * sec, kind: directLate, share: 0.7, maxDelay: 60 * sec, verb: protocol.VerbStart, duration: 120 * sec},
			{at: 30 * sec, kind: machinesFailTasks, count: 3, duration: 60 * sec}, {at: 70 * sec, kind: machinesFailTasks, count: 3, duration: 40 * sec}},
		requiredEvents: map[string]int{"late start of an attempt that has ended there": 3}},
	{name: "late commands and reports that are kept for the next leader",
		detects: detection{guardFencingToken, "", false},
		script: []fault{{at: 20 * sec, kind: directLate, share: 0.6, duration: 110 * sec}, {at: 30 * sec, kind: heartbeatCopiesForNextLeader, share: 0.6, duration: 80 * sec},
			{at: 60 * sec, kind: controllerEnds, target: targetLeader, duration: 15 * sec}, {at: 95 * sec, kind: controllerEnds, target: targetLeader, duration: 300 * time.Millisecond}},
		requiredEvents: map[string]int{"kept heartbeat as the leader changes": 10, "late command carried out": 5},
		eventPairs:     []eventPair{{"leader changed", "late command carried out", 20 * sec}}},
	{name: "late commands reach mute machines while teams are at their limit and jobs are cancelled",
		detects: detection{guardUnansweredStart, "", false},
		setUp:   tightQuotas, jobs: 24, script: append(cancelFaults(2, 0, 45*sec, 55*sec, 65*sec, 75*sec),
			fault{at: 10 * sec, kind: directLate, share: 0.8, duration: 120 * sec}, fault{at: 40 * sec, kind: machinesCannotSend, count: 6, duration: 16 * sec},
			fault{at: 60 * sec, kind: machinesCannotSend, count: 6, duration: 16 * sec}, fault{at: 70 * sec, kind: controllerEnds, target: targetLeader, duration: 15 * sec}),
		requiredEvents: map[string]int{"late command to a machine that can't send carried out": 1, "red is at its limit": 1, "blue is at its limit": 1}},
	{name: "a machine is returned by a late call and is still up as a late command arrives",
		detects: detection{guardUnansweredStart, "", false},
		jobs:    40, adjustJob: func(k int, j *protocol.Job, u *user) { j.EstimatedSeconds = min(j.EstimatedSeconds, 6) },
		script: append(cancelFaults(4, 0, 30*sec, 45*sec, 60*sec, 75*sec),
			fault{at: 10 * sec, kind: directLate, share: 0.8, maxDelay: 60 * sec, duration: 120 * sec}, fault{at: 10 * sec, kind: cloudCallsLate, share: 0.9, duration: 130 * sec},
			fault{at: 40 * sec, kind: machinesCannotSend, count: 4, duration: 30 * sec}, fault{at: 85 * sec, kind: machinesFailTasks, count: 3, duration: 30 * sec}),
		requiredEvents: map[string]int{"call to the cloud carried out late": 2, "late command to a machine whose release is in flight": 1}},
	{name: "two zones can't reach each other for longer than lease_s, and jobs are cancelled in both",
		detects: detection{guardProxyStops, "ran_cancelled", true},
		jobs:    16, adjustJob: inBothZones(100),
		script:         append(cancelFaults(2, 0, 62*sec, 70*sec, 80*sec, 95*sec), fault{at: 60 * sec, kind: zonesSeparated, duration: 60 * sec}),
		requiredEvents: map[string]int{"a heartbeat proxy answers": 20, "confirmed": 4, "a heartbeat proxy stops a task": 1},
		check:          leaseExpiryViolation},
	{name: "two zones can't reach each other, and jobs are cancelled whose machines hang and get commands late",
		detects: detection{guardStartsInFlight, "", false},
		jobs:    100, setUp: func(w *world) { w.allowMachines(24); w.maxTasks = 6 },
		adjustJob: func(k int, j *protocol.Job, u *user) {
			inBothZones(20)(k, j, u)
			u.submitAfter = time.Duration(k) * sec * 3 / 5
			if k%3 == 1 { // also before its delayed start arrives
				u.cancels, u.cancelAfter = true, 5*sec
			}
		},
		script: append(cancelFaults(8, 9*sec, 51*sec, 54*sec, 62*sec, 75*sec, 90*sec), fault{at: 50 * sec, kind: zonesSeparated, duration: 95 * sec},
			fault{at: 10 * sec, kind: directLate, share: 0.7, maxDelay: 120 * sec, verb: protocol.VerbStart, duration: 120 * sec}),
		requiredEvents: map[string]int{"a heartbeat proxy answers": 20, "late command carried out": 2, "late start of a cancelled job carried out": 1, "confirmed while its machine hangs": 1}},
	{name: "two zones can't reach each other at the moment at which a shard changes holder",
		detects: detection{guardDelegatedMachines, "ran_twice", true},
		jobs:    16, adjustJob: inBothZones(100),
		script: append(cancelFaults(2, 0, 62*sec, 75*sec), fault{at: 60 * sec, kind: zonesSeparated, duration: 60 * sec}, fault{at: 60 * sec, kind: controllerEnds, target: targetBusiest, duration: 6 * sec},
			fault{at: 90 * sec, kind: controllerEnds, target: targetBusiest, duration: 300 * time.Millisecond}),
		requiredEvents: map[string]int{"a heartbeat proxy answers": 10, "confirmed": 2}},
	{name: "a heartbeat proxy ends, stands still or is refused by the state service while two zones can't reach each other",
		detects: detection{guardWorkerLease, "ran_twice", false},
		jobs:    16, adjustJob: inBothZones(100),
		script: append(cancelFaults(2, 0, 65*sec, 75*sec, 95*sec), fault{at: 45 * sec, kind: zonesSeparated, duration: 80 * sec}, fault{at: 70 * sec, kind: storeRefusesOne, duration: 20 * sec},
			fault{at: 74 * sec, kind: controllerPauses, target: targetNonLeaders, duration: 8 * sec}, fault{at: 95 * sec, kind: controllerEnds, target: targetNonLeaders, duration: 6 * sec}),
		requiredEvents: map[string]int{"a heartbeat proxy answers": 10, "confirmed": 2}},
	{name: "two zones can't reach each other while teams are at their limit and the controllers are restarted one after the other",
		detects: detection{guardProxyStops, "ran_cancelled", false},
		setUp:   tightQuotas, jobs: 16, adjustJob: inBothZones(60),
		script: append(cancelFaults(2, 0, 60*sec, 80*sec), fault{at: 50 * sec, kind: zonesSeparated, duration: 70 * sec}, fault{at: 60 * sec, kind: controllerEnds, target: targetLeader, duration: sec},
			fault{at: 75 * sec, kind: controllerEnds, target: targetBusiest, duration: sec}, fault{at: 90 * sec, kind: controllerEnds, target: targetNonLeaders, duration: sec}),
		requiredEvents: map[string]int{"a heartbeat proxy answers": 5, "red is at its limit": 1, "blue is at its limit": 1}},
	{name: "the line between two zones comes and goes, and old reports arrive at either",
		detects: detection{guardWorkerLease, "ran_twice", false},
		jobs:    16, adjustJob: inBothZones(60),
		script: []fault{{at: 40 * sec, kind: zonesSeparated, duration: 14 * sec}, {at: 60 * sec, kind: zonesSeparated, duration: 18 * sec}, {at: 85 * sec, kind: zonesSeparated, duration: 35 * sec},
			{at: 20 * sec, kind: heartbeatCopiesLate, share: 0.4, duration: 120 * sec}, {at: 70 * sec, kind: controllerEnds, target: targetBusiest, duration: 400 * time.Millisecond}},
		requiredEvents: map[string]int{"a heartbeat proxy answers": 5, "heartbeat copy": 50}},
	{name: "a command that was answered arrives again, after its task has failed or ended and was placed elsewhere, and its controller is back within a second",
		detects: detection{guardRepeatedStart, "ran_twice", true},
		jobs:    100, setUp: func(w *world) { w.allowMachines(24); w.maxTasks = 3 },
		adjustJob: func(k int, j *protocol.Job, u *user) {
			j.EstimatedSeconds, u.submitAfter = 25, time.Duration(k)*sec
		},
		script: []fault{{at: 5 * sec, kind: directRepeated, share: 0.9, maxDelay: 20 * sec, duration: 115 * sec},
			{at: 20 * sec, kind: machinesFailTasks, count: 5, duration: 15 * sec}, {at: 50 * sec, kind: machinesFailTasks, count: 5, duration: 15 * sec}, {at: 85 * sec, kind: machinesFailTasks, count: 5, duration: 15 * sec},
			{at: 45 * sec, kind: controllerEnds, target: targetBusiest, duration: 300 * time.Millisecond}, {at: 80 * sec, kind: controllerEnds, target: targetAll, duration: 300 * time.Millisecond}},
		requiredEvents: map[string]int{"copy of a start that ended error": 1, "copy of a start that ended done": 1, "copy of a start whose task runs elsewhere": 1,
			"copy within a second": 1, "copy of a process that has ended": 1}},
	{name: "a command that was answered arrives again after its job's cancellation was confirmed, also while the state service is out",
		detects: detection{guardRepeatedStart, "", false},
		jobs:    60, script: append(cancelFaults(4, 0, 30*sec, 45*sec, 60*sec, 62*sec, 75*sec, 90*sec),
			fault{at: 5 * sec, kind: directRepeated, share: 0.9, maxDelay: 50 * sec, duration: 115 * sec}, fault{at: 60 * sec, kind: storeOutage, duration: 20 * sec}),
		requiredEvents: map[string]int{"copy of a start of a cancelled job": 3, "copy of a start that ended halted": 3},
		eventPairs:     []eventPair{{string(storeOutage) + ": over", "copy of a command carried out", 20 * sec}}},
	{name: "a command that was answered arrives again minutes later, under a token that is no longer the newest",
		detects: detection{guardReleaseFence, "", false},
		jobs:    60, script: append(cancelFaults(3, 0, 30*sec, 50*sec, 70*sec), fault{at: 5 * sec, kind: directRepeated, share: 0.9, maxDelay: 100 * sec, duration: 140 * sec}),
		requiredEvents: map[string]int{"copy of a start that ended done refused": 1, "copy of a start that ended halted refused": 1, "copy over a minute late": 1, "copy after a newer token": 3}},
	{name: "a command that was answered arrives again at a machine with a new holder, with a new session or behind a heartbeat proxy",
		detects: detection{guardRepeatedStart, "", false},
		jobs:    40, adjustJob: inBothZones(20),
		script: append(cancelFaults(2, 0, 62*sec, 75*sec), fault{at: 5 * sec, kind: directRepeated, share: 0.9, maxDelay: 60 * sec, duration: 115 * sec}, fault{at: 45 * sec, kind: zonesSeparated, duration: 50 * sec},
			fault{at: 60 * sec, kind: controllerEnds, target: targetBusiest, duration: 6 * sec}, fault{at: 70 * sec, kind: machinesCannotSend, count: 5, duration: 30 * sec}),
		requiredEvents: map[string]int{"copy after the next holder's first": 1, "copy to a machine behind a proxy": 1, "copy to the machine's next session": 1}},
}

// inBothZones makes half of the jobs run in each zone, for a long time.
func inBothZones(guessS float64) func(k int, j *protocol.Job, u *user) {
	return func(k int, j *protocol.Job, u *user) {
		longJobs(guessS)(k, j, u)
		j.Zone, j.MachineTypes, j.Spread, j.OneZone = []string{"a", "b"}[k%2], nil, false, false
	}
}

// leaseExpiryViolation returns a message if a worker dropped tasks because its lease expired,
// and otherwise an empty string.
func leaseExpiryViolation(w *world) string {
	if n := len(w.events["a worker's lease ends with a task on it"]); n > 0 {
		return fmt.Sprintf("%d tasks dropped by an expired lease", n)
	}
	return ""
}

// largeJobTasks is the number of tasks of the large jobs in a scenario of one-task jobs.
const largeJobTasks = 9

// missingEvents lists the required events and event pairs that did not occur.
func (m *scenario) missingEvents(w *world) (missing []string) {
	for what, times := range m.requiredEvents {
		if n := len(w.events[what]); n < times {
			missing = append(missing, fmt.Sprintf("%q %d times, not %d", what, n, times))
		}
	}
	for _, p := range m.eventPairs {
		if !slices.ContainsFunc(w.events[p.a], func(a time.Time) bool {
			return slices.ContainsFunc(w.events[p.b], func(b time.Time) bool { return a.Sub(b).Abs() <= p.maxGap })
		}) {
			missing = append(missing, fmt.Sprintf("%q (%d) and %q (%d) not within %v", p.a, len(w.events[p.a]), p.b, len(w.events[p.b]), p.maxGap))
		}
	}
	return missing
}

// play simulates the scenario with a seed.
func (m *scenario) play(t *testing.T, seed uint64, tweak func(*Node), out disabledGuards) *world {
	var w *world
	synctest.Test(t, func(t *testing.T) {
		w = newWorld(seed, tweak)
		w.disabledGuards = out
		w.script, w.adjustJob = m.script, m.adjustJob
		if m.setUp != nil {
			m.setUp(w)
		}
		jobs := m.jobs
		if jobs == 0 {
			jobs = 24
		}
		w.play(jobs, 150*sec, 700*sec)
	})
	return w
}

// check fails the test for violated invariants, cancellations beyond their bound, and
// inconsistent answers to users.
func (w *world) check(t *testing.T) {
	t.Helper()
	for _, b := range w.violations {
		t.Error(b)
	}
	for _, why := range w.waiting.explanations {
		t.Log(why)
	}
	if over := w.cancelBoundViolation(); over != "" {
		t.Error(over)
	}
	w.checkLinearizable(t)
}

// cancelBoundViolation returns a message if a task stayed after its job's cancellation for
// longer than the bound against which settings are validated, and otherwise an empty
// string.
func (w *world) cancelBoundViolation() string {
	if bound := config.SumTerms(w.settings.CancelBound(w.settings.Defaults())); w.longestAfterCancel > bound {
		return fmt.Sprintf("a task stayed for %v after its job was cancelled, over the bound of %v", w.longestAfterCancel, bound)
	}
	return ""
}

// Each scenario takes place, and no invariant is violated. Goroutine scheduling makes two
// runs of one seed differ slightly: if the faults don't coincide, the next seeds are played
// until they do.
func TestScenarios(t *testing.T) {
	seeds := uint64(1)
	if *all {
		seeds = 20
	}
	for _, m := range scenarios {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			allSeen := false
			var missing []string
			for seed := uint64(1); seed <= seeds || !allSeen && seed <= 12; seed++ {
				w := m.play(t, seed, nil, disabledGuards{})
				w.check(t)
				missing = m.missingEvents(w)
				if m.check != nil {
					if why := m.check(w); why != "" {
						t.Log(strings.Join(w.leaseEnds, "\n"))
						t.Error(why)
					}
				}
				allSeen = allSeen || len(missing) == 0
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
			}
			if !allSeen {
				t.Errorf("required events missing: %v", missing)
			}
		})
	}
}
