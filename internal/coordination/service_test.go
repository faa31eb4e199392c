package coordination

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"reedtrack/internal/dispatch"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// submission is the body of a valid submission.
const submission = `{"id":"wk-000001","jobclass":"x","owner":"red","shape":"array","urgency":"low","parts":2,"cores":1,
 "cards":0,"ram_gb":1,"bundle":"i","pull_gb":1,"one_zone":false,"spread":false,"loaners":true,"guess_s":5,
 "save_every_s":0,"save_takes_s":0}`

// submissionStep submits the valid submission with one part of it replaced.
type submissionStep struct {
	name     string
	old, new string
	want     int // status
}

// serviceClient is a user of one controller's service.
type serviceClient struct {
	ctx     context.Context
	service Service
}

// submit makes the submissions in order and checks the status code of each
// answer.
func (c serviceClient) submit(t *testing.T, steps ...submissionStep) {
	t.Helper()
	for _, step := range steps {
		got, _ := c.service.Submit(c.ctx, []byte(strings.Replace(submission, step.old, step.new, 1)))
		checkStatus(t, step.name, got, step.want)
	}
}

// poll requests a job's status and checks the status code of the answer.
func (c serviceClient) poll(t *testing.T, name, id string, want int) {
	t.Helper()
	got, _ := c.service.JobStatus(c.ctx, id)
	checkStatus(t, name, got, want)
}

// cancel cancels a job, checks the status code of the answer and returns its
// body.
func (c serviceClient) cancel(t *testing.T, name, id string, want int) any {
	t.Helper()
	got, answer := c.service.Cancel(c.ctx, id)
	checkStatus(t, name, got, want)
	return answer
}

func checkStatus(t *testing.T, name string, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %d, want %d", name, got, want)
	}
}

// Checks the answers to users from before the first lease until after an
// outage. An answer to the user of an accepted job must never report that it
// does not exist.
func TestServiceAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, nil)
		ctx, stop := context.WithCancel(context.Background())
		w.ctx = ctx
		w.nodes = []*simNode{{name: "n0"}}
		var n *Node
		n = New(w.settings, w.settings.Defaults(), storage.NewClientWithTransport(&simStoreLink{store: w.store, random: rand.New(rand.NewPCG(1, 1))}, 300, 200, 1),
			simCloud{w}, nil, func(_ context.Context, address string, d protocol.DirectCommands) DirectAnswer {
				return w.direct(0, n, address, d)
			})
		user := serviceClient{ctx, Service{n}}
		user.submit(t, submissionStep{name: "before the first lease", want: http.StatusServiceUnavailable})
		w.spawn(func() { n.Run(ctx) })
		time.Sleep(3 * time.Second)

		// The order matters: the first job is accepted, and the later submissions
		// depend on that.
		user.submit(t, []submissionStep{
			{"new", "", "", http.StatusCreated},
			{"again", "", "", http.StatusOK},
			{"malformed repetition", `"parts":2`, `"parts":"2"`, http.StatusOK},
			{"repetition without a field", `"parts":2,`, ``, http.StatusOK},
			{"malformed", `"wk-000001","jobclass":"x","owner":"red","shape":"array","urgency":"low","parts":2`,
				`"wk-000002","jobclass":"x","owner":"red","shape":"array","urgency":"low","parts":"2"`, http.StatusBadRequest},
			{"without a field", `"wk-000001","jobclass":"x",`, `"wk-000002",`, http.StatusBadRequest},
			{"malformed id", `"wk-000001"`, `"000001"`, http.StatusBadRequest},
			{"no JSON", `{"id"`, `"id"`, http.StatusBadRequest},
			{"repetition with an unknown team", `"red"`, `"green"`, http.StatusOK},
			{"unknown team", `"wk-000001","jobclass":"x","owner":"red"`, `"wk-000002","jobclass":"x","owner":"green"`, http.StatusUnprocessableEntity},
			{"too large", `"wk-000001","jobclass":"x","owner":"red","shape":"array","urgency":"low","parts":2,"cores":1`,
				`"wk-000002","jobclass":"x","owner":"red","shape":"array","urgency":"low","parts":2,"cores":100`, http.StatusUnprocessableEntity},
			{"service over the limit", `"wk-000001","jobclass":"x","owner":"red","shape":"array","urgency":"low","parts":2,"cores":1`,
				`"wk-000002","jobclass":"x","owner":"red","shape":"standing","urgency":"low","parts":15,"cores":1`, http.StatusUnprocessableEntity},
		}...)
		user.poll(t, "poll", "wk-000001", http.StatusOK)
		user.poll(t, "poll of an unknown job", "wk-000009", http.StatusNotFound)
		user.poll(t, "poll of no id", "..", http.StatusNotFound)

		w.store.SetOutage(true)
		user.poll(t, "poll of an unknown job in an outage", "wk-000009", http.StatusServiceUnavailable)
		user.submit(t, submissionStep{"malformed repetition in an outage", `"parts":2`, `"parts":"2"`, http.StatusServiceUnavailable})
		user.cancel(t, "cancellation in an outage", "wk-000001", http.StatusServiceUnavailable)
		w.store.SetOutage(false)

		answer := user.cancel(t, "cancellation", "wk-000001", http.StatusOK)
		if status := answer.(protocol.JobStatus); status.Status != protocol.Cancelled {
			t.Errorf("cancelled, but %+v", status)
		}
		user.submit(t,
			submissionStep{"again after the end", "", "", http.StatusOK},
			submissionStep{"malformed repetition after the end", `"parts":2`, `"parts":"2"`, http.StatusOK})
		stop()
		w.wg.Wait()
	})
}

// All requests with a malformed job ID get the same answer, without a read of
// the store.
func TestMalformedJobIDIsNotFound(t *testing.T) {
	s := Service{New(newWorld(1, nil).settings, newWorld(1, nil).settings.Defaults(), nil, nil, nil, nil)}
	for name, request := range map[string]func(context.Context, string) (int, any){
		"status":       s.JobStatus,
		"cancellation": s.Cancel,
		"dependencies": s.Dependencies,
	} {
		t.Run(name, func(t *testing.T) {
			status, answer := request(t.Context(), "..")
			if status != http.StatusNotFound {
				t.Errorf("%d, want %d", status, http.StatusNotFound)
			}
			if body, _ := json.Marshal(answer); string(body) != `{"error":"no such job"}` {
				t.Errorf("answered %s", body)
			}
		})
	}
}

// A heartbeat is refused if it can't be decoded, or while the controller holds
// no lease.
func TestHeartbeatIsRefused(t *testing.T) {
	n := New(newWorld(1, nil).settings, newWorld(1, nil).settings.Defaults(), nil, nil, nil, nil)
	for _, c := range []struct {
		name, body string
		want       int
	}{
		{"without a machine type", `{"reed":"host-1"}`, http.StatusBadRequest},
		{"without a lease", `{"reed":"host-1","breed":"small","yard":"a","stint":1,"parts":[]}`, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, _ := (Service{n}).Heartbeat([]byte(c.body)); got != c.want {
				t.Errorf("%d, want %d", got, c.want)
			}
		})
	}
}

// A record that can't be decoded leaves the previous copy of it unchanged.
func TestUnreadableRecordIsNotApplied(t *testing.T) {
	n := New(newWorld(1, nil).settings, newWorld(1, nil).settings.Defaults(), nil, nil, nil, nil)
	n.applyChange(storage.JobKey("wk-1"), []byte(`{"spec":{"id":"wk-1","parts":3},"shard":0,"at":1,"done":"0-1"}`), 5)
	n.applyChange(storage.JobKey("wk-1"), []byte(`{"spec":{"id":"wk-1","parts":3},"done":"9"}`), 6)
	n.applyChange(storage.JobKey("wk-1"), []byte(`no record`), 7)
	if jr := n.records.Jobs["wk-1"]; jr == nil || jr.Revision != 5 {
		t.Errorf("an unreadable record was applied: %+v", jr)
	}
}

// A heartbeat that arrives after a later one has no effect.
func TestOldHeartbeatChangesNothing(t *testing.T) {
	n := New(newWorld(1, nil).settings, newWorld(1, nil).settings.Defaults(), nil, nil, nil, nil)
	now := time.Now()
	s := newShard(0, storage.ShardLease{FencingToken: 3}, 1, now)
	s.setGrant(storage.Grant{Machines: []storage.MachineLease{{Machine: "m", MachineType: "small", Zone: "a", FencingToken: 4}}}, n.records.MachineSize, now)
	m := s.machines["m"]
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "m", Session: 2, Sequence: 9}, now)
	if s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "m", Session: 2, Sequence: 8, Tasks: []protocol.TaskStatus{{Task: "wk-1/0", Attempt: 1, State: protocol.Running}}}, now) {
		t.Error("an old heartbeat was applied")
	}
	if order, _ := m.exchange.RecordHeartbeat(2, 9); len(m.orphans) != 0 || order != dispatch.Stale {
		t.Error("an old heartbeat changed the state")
	}
}
