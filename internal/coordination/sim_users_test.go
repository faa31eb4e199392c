package coordination

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"reedtrack/internal/protocol"
)

// user submits a job, polls its status and may cancel it.
type user struct {
	w           *world
	job         *protocol.Job
	submitAfter time.Duration // delay before the submission
	cancels     bool          // whether it cancels the job
	cancelAfter time.Duration // delay after the submission; 0: random within a minute
}

func (w *world) jobSpec(id string) *protocol.Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.specs[id]
}

// randomNode returns a random controller, or nil if users can't reach it.
func (w *world) randomNode() *Node {
	i := w.intn(len(w.nodes))
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.nodes[i]
	if n.inIsolatedZone || n.cutFromUsers || time.Now().Before(n.pausedUntil) {
		return nil
	}
	return n.node
}

// reachableNodes lists the controllers that users can reach.
func (w *world) reachableNodes() []*Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*Node
	for _, n := range w.nodes {
		if n.node != nil && !n.inIsolatedZone && !n.cutFromUsers && !time.Now().Before(n.pausedUntil) {
			list = append(list, n.node)
		}
	}
	return list
}

func (u *user) run() {
	w, j := u.w, u.job
	time.Sleep(u.submitAfter)
	ctx := w.ctx
	w.mu.Lock()
	if w.withDependencies && !j.IsService() && w.random.IntN(2) == 0 {
		w.addDependencies(j)
	}
	w.specs[j.ID] = j
	w.mu.Unlock()
	for ctx.Err() == nil {
		if n := w.randomNode(); n != nil && u.submit(n) {
			break
		}
		time.Sleep(time.Second)
	}
	u.readConcurrently()
	within := u.cancelAfter
	if within == 0 {
		within = time.Duration(w.intn(60)) * time.Second
	}
	cancelAt := time.Now().Add(within)
	for ctx.Err() == nil {
		time.Sleep(time.Duration(500+w.intn(5000)) * time.Millisecond)
		n := w.randomNode()
		if n == nil {
			continue
		}
		if u.cancels && time.Now().After(cancelAt) {
			u.cancelJob(n)
		} else {
			u.poll(n)
		}
		if w.sendsInvalid() {
			u.sendInvalid(n)
		}
		if _, err := n.JobStatus(ctx, "wk-9"+j.ID[3:]); err == nil {
			w.recordEvent("invented")
			w.mu.Lock()
			w.violationf("invented: wk-9%s", j.ID[3:])
			w.mu.Unlock()
		}
	}
}

func (w *world) sendsInvalid() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.invalidRequests }

// cancelUntilConfirmed sends cancellations to random controllers until one is confirmed.
func (u *user) cancelUntilConfirmed() {
	for u.w.ctx.Err() == nil {
		if n := u.w.randomNode(); n != nil && u.cancelJob(n) {
			return
		}
		time.Sleep(time.Second)
	}
}

// knownBefore is what earlier answers had reported about a job when a request was sent.
type knownBefore struct {
	finalStatus string
	accepted    bool
	at          time.Time
}

func (u *user) snapshotKnown() knownBefore {
	w := u.w
	w.mu.Lock()
	defer w.mu.Unlock()
	return knownBefore{w.finalStatus[u.job.ID], w.accepted[u.job.ID], time.Now()}
}

func (u *user) requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(u.w.ctx, 5*time.Second)
}

// submit submits the job, possibly again, and reports whether it is accepted.
func (u *user) submit(n *Node) bool {
	ctx, cancel := u.requestContext()
	defer cancel()
	was, c := u.snapshotKnown(), *u.job
	submission, err := n.Submit(ctx, &c)
	st, known := submission.Status, submission.Duplicate
	if u.w.ctx.Err() != nil {
		return false
	}
	if errors.As(err, new(*InvalidJobError)) {
		u.w.mu.Lock()
		u.w.violationf("refused: %s: %v", u.job.ID, err)
		u.w.mu.Unlock()
	}
	if err != nil {
		u.record(opSubmit, was, userAnswer{unknown: true})
		return false
	}
	u.record(opSubmit, was, userAnswer{status: st.Status, duplicate: known})
	u.w.mu.Lock()
	if known && u.w.history.unknownOutcomes[userRequest{opSubmit, u.job.ID}] && u.w.acceptedAt[u.job.ID].IsZero() {
		u.w.recordEventLocked("a submission without an answer was accepted, as another finds")
	}
	if u.w.acceptedAt[u.job.ID].IsZero() {
		u.w.acceptedAt[u.job.ID] = time.Now()
	}
	u.w.accepted[u.job.ID] = true
	u.w.mu.Unlock()
	u.checkStatus(was, st.Status)
	return true
}

// poll queries the status of the job.
func (u *user) poll(n *Node) {
	ctx, cancel := u.requestContext()
	defer cancel()
	was := u.snapshotKnown()
	st, err := n.JobStatus(ctx, u.job.ID)
	u.checkAnswer(opQuery, was, st, err)
}

// cancelJob cancels the job, and reports whether the controller confirmed its end.
func (u *user) cancelJob(n *Node) bool {
	ctx, cancel := u.requestContext()
	defer cancel()
	u.w.mu.Lock()
	u.w.cancelRequested[u.job.ID] = true
	u.w.mu.Unlock()
	was := u.snapshotKnown()
	st, err := n.Cancel(ctx, u.job.ID)
	if !u.checkAnswer(opCancel, was, st, err) {
		return false
	}
	if was.finalStatus == "" {
		u.readConcurrently()
	}
	return true
}

// checkAnswer checks the answer to a status query or a cancellation, and reports whether
// it gave the job's status.
func (u *user) checkAnswer(what string, was knownBefore, st protocol.JobStatus, err error) bool {
	w, id := u.w, u.job.ID
	if w.ctx.Err() != nil {
		return false
	}
	if err != nil && !errors.Is(err, ErrJobNotFound) {
		u.record(what, was, userAnswer{unknown: true})
		return false
	}
	if err != nil {
		u.record(what, was, userAnswer{})
		if was.accepted {
			w.mu.Lock()
			w.violationf("forgotten: %s", id)
			w.mu.Unlock()
		}
		return false
	}
	u.record(what, was, userAnswer{status: st.Status})
	u.checkStatus(was, st.Status)
	return true
}

// checkStatus checks an answer against the state of the world and what users knew when
// they sent the request.
func (u *user) checkStatus(was knownBefore, status string) {
	w, id := u.w, u.job.ID
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastAnsweredAt[id] = time.Now()
	if was.finalStatus != "" && was.finalStatus != status {
		w.violationf("went_back: %s from %s to %s", id, was.finalStatus, status)
	}
	switch status {
	case protocol.Done:
		for t := range w.specs[id].Tasks {
			if !w.done[protocol.FormatTaskName(id, t)] {
				w.violationf("not_done: %s", protocol.FormatTaskName(id, t))
			}
		}
		w.finalStatus[id] = status
	case protocol.Pending, protocol.Running:
		if at := w.cancelledBefore(id); !at.IsZero() && was.at.Sub(at).Seconds() > w.settings.Deployment.Workers.CancelS {
			w.violationf("orphaned: %s is %s", id, status)
		}
	case protocol.Cancelled:
		if !w.cancelled(id) {
			w.violationf("went_back: %s was never cancelled", id)
		}
		if _, ok := w.cancelConfirmedAt[id]; !ok {
			w.cancelConfirmedAt[id] = time.Now()
			w.recordConfirmation(id)
		}
		w.finalStatus[id] = status
	}
}

// recordConfirmation records the faults during which a cancellation is confirmed; the caller holds
// the world's lock.
func (w *world) recordConfirmation(id string) {
	w.recordEventLocked("confirmed")
	for _, n := range w.nodes {
		if n.storeLink != nil && n.storeLink.isRefusing() {
			w.recordEventLocked("confirmed while a controller is refused")
		}
	}
	for _, n := range w.nodes {
		if n.node == nil {
			w.recordEventLocked("confirmed while a controller is down")
		}
	}
	for _, m := range w.workers {
		for _, t := range m.tasks {
			if t.job.ID != id || !t.active {
				continue
			}
			if time.Now().Before(m.hungUntil) {
				w.recordEventLocked("confirmed while its machine hangs")
			}
			if m.cannotSend || m.cannotReceive || w.isolatedZone == m.request.Zone {
				w.recordEventLocked("confirmed while its machine is cut off")
			}
			w.recordEventLocked("confirmed while it runs")
		}
	}
}

// readConcurrently queries all controllers at once, twice within milliseconds, and repeats
// the submission, if concurrent reads are enabled.
func (u *user) readConcurrently() {
	w := u.w
	w.mu.Lock()
	on := w.concurrentReads
	w.mu.Unlock()
	if !on {
		return
	}
	for k := range 2 {
		for _, n := range w.reachableNodes() {
			w.spawn(func() { u.poll(n) })
			if k == 0 {
				w.spawn(func() { u.submit(n) })
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	w.recordEvent("concurrent reads")
}

// recordTaskEnd handles the end of a task; the caller holds the world's lock.
func (w *world) recordTaskEnd(j *protocol.Job) {
	if w.firstEndedAt[j.ID].IsZero() {
		w.firstEndedAt[j.ID] = time.Now()
	}
	if !w.allDone(j.ID) {
		return
	}
	for _, at := range w.events["leader changed"] {
		if at.After(w.firstEndedAt[j.ID]) && time.Since(w.firstEndedAt[j.ID]) > 15*time.Second {
			w.recordEventLocked("tasks of a job end far apart across a change of leader")
		}
	}
	u := &user{w: w, job: j}
	if w.random.Float64() < w.cancelAtEndRate && !w.cancelRequested[j.ID] {
		w.recordEventLocked("cancelled as it ends")
		w.spawn(u.cancelUntilConfirmed)
	}
	if w.concurrentReads {
		w.spawn(u.readConcurrently)
	}
}

// sendInvalid sends invalid and repeated submissions.
func (u *user) sendInvalid(n *Node) {
	ctx, cancel := u.requestContext()
	defer cancel()
	s := Service{n}
	send := func(change func(f map[string]any)) int {
		f := map[string]any{"one_zone": false, "spread": false, "loaners": false, "save_every_s": 0, "save_takes_s": 0}
		raw, _ := json.Marshal(u.job)
		json.Unmarshal(raw, &f)
		change(f)
		raw, _ = json.Marshal(f)
		status, _ := s.Submit(ctx, raw)
		return status
	}
	was := u.snapshotKnown()
	if status := send(func(map[string]any) {}); was.accepted && status != http.StatusOK && status != http.StatusServiceUnavailable {
		u.violation("forgotten: repeated submission: %d", status)
	}
	drop := []string{"owner", "cores", "parts", "loaners"}[u.w.intn(4)]
	if status := send(func(f map[string]any) { delete(f, drop) }); was.accepted && status != http.StatusOK && status != http.StatusServiceUnavailable {
		u.violation("forgotten: repeated submission without %s: %d", drop, status)
	}
	if status := send(func(f map[string]any) { f["cores"] = 1000 }); was.accepted && status != http.StatusOK && status != http.StatusServiceUnavailable {
		u.violation("forgotten: repeated submission, too large: %d", status)
	}
	fresh := fmt.Sprintf("wk-8%06d", u.w.intn(1e6))
	for what, change := range map[string]func(f map[string]any){
		"lacks " + drop: func(f map[string]any) { delete(f, drop) },
		"can't run":     func(f map[string]any) { f["cores"] = 1000 },
		"no such team":  func(f map[string]any) { f["owner"] = "green" },
	} {
		status := send(func(f map[string]any) { f["id"] = fresh; delete(f, "waits_on"); change(f) })
		if status == http.StatusOK || status == http.StatusCreated {
			u.violation("accepted: %s that %s: %d", fresh, what, status)
		}
		if status/100 == 4 {
			u.w.recordEvent("invalid request refused")
		}
	}
}

func (u *user) violation(format string, a ...any) {
	u.w.mu.Lock()
	defer u.w.mu.Unlock()
	if u.w.ctx.Err() == nil {
		u.w.violationf(u.job.ID+" "+format, a...)
	}
}

// Operations of users.
const (
	opSubmit = "submit"
	opQuery  = "ask"
	opCancel = "cancel"
)

// userAnswer is the answer to a user: an unknown outcome, no such job, or a status.
type userAnswer struct {
	unknown   bool
	status    string // empty: no such job
	duplicate bool   // a submission of a job that was accepted before
}

type userRequest struct {
	operation string
	id        string
}

// history records the requests of users and their answers, with the start and end of each.
type history struct {
	startedAt       time.Time
	ops             []porcupine.Operation
	unknownOutcomes map[userRequest]bool // requests whose first unknown outcome stands for all later ones
}

func newHistory() *history {
	return &history{startedAt: time.Now(), unknownOutcomes: map[userRequest]bool{}}
}

func (u *user) record(what string, was knownBefore, a userAnswer) {
	w := u.w
	w.mu.Lock()
	defer w.mu.Unlock()
	h, in, end := w.history, userRequest{what, u.job.ID}, time.Since(w.history.startedAt).Nanoseconds()
	if a.unknown {
		// The request may take effect at any later time, or never. A query has no
		// effect, and the first of several requests that have one stands for all.
		if what == opQuery || h.unknownOutcomes[in] {
			return
		}
		h.unknownOutcomes[in], end = true, math.MaxInt64/2
	}
	h.ops = append(h.ops, porcupine.Operation{Input: in, Output: a, Call: was.at.Sub(h.startedAt).Nanoseconds(), Return: end})
}

// jobModel is a job as users may observe it: unknown, then live, then permanently done
// or cancelled. A live job can become done by itself, and cancelled too if one of its
// dependencies was.
var jobModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range ops {
			id := o.Input.(userRequest).id
			by[id] = append(by[id], o)
		}
		return slices.Collect(maps.Values(by))
	},
	Step: func(state, in, out any) []any {
		now := []string{state.(string)}
		if now[0] == "live" {
			now = append(now, protocol.Done, protocol.Cancelled)
		}
		what, a := in.(userRequest).operation, out.(userAnswer)
		var next []any
		for _, s := range now {
			seen := a.status
			if seen == protocol.Pending || seen == protocol.Running {
				seen = "live"
			}
			switch {
			case a.unknown && what == opSubmit && s == "":
				next = append(next, "", "live")
			case a.unknown && what == opCancel && s == "live":
				next = append(next, "live", protocol.Cancelled)
			case a.unknown:
				next = append(next, s)
			case what == opSubmit && !a.duplicate:
				if s == "" {
					next = append(next, "live")
				}
			case what == opCancel && s == "live" && seen == protocol.Cancelled, seen == s:
				next = append(next, seen)
			}
		}
		return next
	},
	Equal: func(a, b any) bool { return a == b },
}

// checkLinearizable checks that the answers about each job are linearizable: no request is
// answered with an older state than one that was returned before the request began.
func (w *world) checkLinearizable(t *testing.T) {
	t.Helper()
	model := jobModel.ToModel()
	slices.SortStableFunc(w.history.ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	for _, ops := range jobModel.Partition(w.history.ops) {
		switch porcupine.CheckOperationsTimeout(model, ops, 20*time.Second) {
		case porcupine.Illegal:
			t.Errorf("went_back: the answers about %s are not linearizable", ops[0].Input.(userRequest).id)
		case porcupine.Unknown:
			t.Errorf("linearizability check of the answers about %s timed out", ops[0].Input.(userRequest).id)
		}
	}
}
