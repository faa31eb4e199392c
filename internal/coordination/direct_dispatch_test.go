package coordination

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"reedtrack/internal/protocol"
)

// Guards against direct starts on a machine whose worker has received no
// answer to a heartbeat yet: its lease runs from its start, and a direct
// message does not renew it.
func TestNoDirectStartBeforeFirstAnswer(t *testing.T) {
	_, s, input, _ := newDetectionShard(1)
	now := time.Now()
	m := s.machines["m0"]
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "m0", Address: "m0:1", Session: 1, Sequence: 1}, now)
	addPendingJob(s, "wk-000001", 1)
	s.plan(input, true, now)
	if _, ok := m.directTarget(now); ok || len(m.attempts) != 1 {
		t.Errorf("%d tasks placed, started directly %v", len(m.attempts), ok)
	}
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "m0", Address: "m0:1", Session: 1, Sequence: 2, FencingToken: 2}, now)
	if _, ok := m.directTarget(now); !ok {
		t.Error("not started directly after an answer")
	}
}

// Guards against tasks that end seconds after their direct start. This happens
// if the machine was up for almost a whole lease before its first heartbeat
// was answered, and that answer was lost.
func TestLateFirstAnswerCostsNoTask(t *testing.T) {
	const silence = 15 * time.Second // of a lease of 20 s
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(seed, nil)
				stop := w.open()
				defer stop()
				w.heldHeartbeats, w.heartbeatAnswers = 0, 0
				w.answersToLose = map[string]int{}
				w.nodes = append(w.nodes, &simNode{name: "n0"})
				w.settings.Deployment.Count = 1
				w.start(0)
				job := func(id string) *protocol.Job {
					return &protocol.Job{ID: id, Class: "x", Team: "blue", Type: "array", Priority: "normal", Tasks: 1,
						Cores: 1, MemoryGB: 2, Image: "i", EstimatedSeconds: 300, Spot: true}
				}
				w.spawn((&user{w: w, job: job("wk-000001"), submitAfter: 3 * time.Second}).run)
				w.silenceFirstMachine(silence)
				w.spawn((&user{w: w, job: job("wk-000002")}).run)
				time.Sleep(time.Minute)
				w.mu.Lock()
				defer w.mu.Unlock()
				if lost := leaseExpiryViolation(w); lost != "" || len(w.taskWorker) != 2 {
					t.Errorf("%s, %d tasks run", lost, len(w.taskWorker))
				}
			})
		})
	}
}

// silenceFirstMachine blocks all messages of the first machine that comes up
// for the given time and loses the first answer to it after that. It returns
// once that answer is lost.
func (w *world) silenceFirstMachine(duration time.Duration) {
	const step = 20 * time.Millisecond
	silenced := ""
	for ; ; time.Sleep(step) {
		w.mu.Lock()
		for id, m := range w.workers {
			if m.session == 0 || silenced != "" {
				continue
			}
			silenced, m.cannotSend, w.answersToLose[id] = id, true, 1
			time.AfterFunc(duration, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				m.cannotSend = false
			})
		}
		lost := silenced != "" && w.answersToLose[silenced] == 0
		w.mu.Unlock()
		if lost {
			return
		}
	}
}
