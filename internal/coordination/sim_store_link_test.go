package coordination

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"reedtrack/internal/emulator"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// simStoreLink is one controller's way to the store: it delays, loses and
// refuses.
type simStoreLink struct {
	store       *emulator.KVStore
	mu          sync.Mutex
	random      *rand.Rand
	refusing    bool // the store refuses this controller alone
	failureRate float64
	// lateRate is the share of transactions that get no answer and are carried
	// out seconds later, after newer ones; lostRate, at once, so that only the
	// answer is lost. pauseLeft delays every request and answer, as a paused
	// process or a slow store does.
	lateRate          float64
	lostRate          float64
	renewalsToLose    int // how many of the next renewals of leases are carried out and not answered
	pauseLeft         func() time.Duration
	latency           func() time.Duration
	dropPreconditions bool // transactions lose their preconditions
	staleReads        bool // what was read once is answered again for a while
	reads             map[string]cachedRead
	recordOutcome     func(what string) // what became of the above
	sentTxns          uint64            // transactions so far, and the newest carried out
	newestCommitted   uint64
	previousVersion   bool   // plays a controller of the previous version: see hideNewKeys
	lastOwnKeyTxn     []byte // the last transaction that wrote a controller's key
	// decideFate lets a test decide what becomes of each transaction as it is sent;
	// nil: chance does.
	decideOutcome func(protocol.Txn) forcedOutcome
}

// forcedOutcome is what a test has decided of a transaction; the zero value leaves it to
// chance.
type forcedOutcome struct {
	refused bool             // it is refused at once and not carried out
	late    time.Duration    // over 0: it gets no answer and is carried out so much after it was sent
	done    func(status int) // is told what the store said when it was carried out; may be nil
}

// report tells the test what the store said.
func (f forcedOutcome) report(status int) {
	if f.done != nil {
		f.done(status)
	}
}

// forcedOutcome asks the test for the fate of a request.
func (w *simStoreLink) forcedOutcome(r *http.Request, body []byte) forcedOutcome {
	w.mu.Lock()
	decide := w.decideOutcome
	w.mu.Unlock()
	var txn protocol.Txn
	if decide == nil || r.URL.Path != "/multi" || json.Unmarshal(body, &txn) != nil {
		return forcedOutcome{}
	}
	return decide(txn)
}

// commitLate carries out a request that gets no answer.
func (w *simStoreLink) commitLate(r *http.Request, body []byte, fate forcedOutcome) {
	status, _ := w.store.Handle(context.Background(), r.Method, r.URL.Path, r.URL.Query(), body)
	fate.report(status)
}

// cachedRead is what the store answered to a request.
type cachedRead struct {
	at     time.Time
	status int
	answer any
}

// staleFor is how long an answer is repeated where reads are stale.
const staleFor = 3 * time.Second

// readMaybeStale reads a key, or repeats what was read a while ago.
func (w *simStoreLink) readMaybeStale(r *http.Request) (int, any) {
	w.mu.Lock()
	old, ok := w.reads[r.URL.Path]
	w.mu.Unlock()
	if w.staleReads && ok && time.Since(old.at) < staleFor {
		return old.status, old.answer
	}
	now := cachedRead{at: time.Now()}
	now.status, now.answer = w.store.Handle(r.Context(), r.Method, r.URL.Path, r.URL.Query(), nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reads == nil {
		w.reads = map[string]cachedRead{}
	}
	w.reads[r.URL.Path] = now
	return now.status, now.answer
}

// isNewKey tells whether the previous version does not know a key.
func isNewKey(path string) bool {
	_, marker := storage.ParseVersionMarkerKey(path)
	_, delegation := storage.ParseDelegationKey(path)
	_, acknowledgement := storage.ParseDelegationAckKey(path)
	return marker || delegation || acknowledgement || path == storage.SchemaVersionKey
}

// hideNewKeys keeps the keys of an upgrade from a controller that plays the
// previous version, which ignores them.
func hideNewKeys(answer any) any {
	switch a := answer.(type) {
	case protocol.RangeResponse:
		a.Items = slices.DeleteFunc(slices.Clone(a.Items), func(it protocol.KeyValue) bool { return isNewKey(it.Key) })
		if len(a.Items) == 0 {
			a.HasNext = false
		}
		return a
	case protocol.WatchResponse:
		a.Changes = slices.DeleteFunc(slices.Clone(a.Changes), func(c protocol.Change) bool { return isNewKey(c.Put + c.Delete) })
		return a
	}
	return answer
}

func (w *simStoreLink) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
		r.Body.Close()
	}
	w.mu.Lock()
	delay := time.Duration(1+w.random.IntN(20)) * time.Millisecond
	fate, late := w.random.Float64(), time.Duration(w.random.IntN(20000))*time.Millisecond
	bad, behind, unsaid := w.failureRate, w.lateRate, w.lostRate
	if bytes.Contains(body, []byte(`"put":"`+storage.ControllerKey(""))) {
		w.lastOwnKeyTxn = body
	}
	if r.URL.Path == "/multi" {
		w.sentTxns++
		if w.dropPreconditions {
			body = withoutConditions(body)
		}
	}
	number := w.sentTxns
	w.mu.Unlock()
	forced := w.forcedOutcome(r, body)
	if forced.late > 0 {
		time.AfterFunc(forced.late, func() { w.commitLate(r, body, forced) })
	}
	if w.latency != nil {
		delay += w.latency()
	}
	time.Sleep(delay)
	w.waitWhilePaused()
	ctx := r.Context()
	status, answer := 503, any(protocol.ErrorResponse{Error: "trouble"})
	switch {
	case r.URL.Path == "/follow":
		// An open watch waits through a refusal, and then delivers.
		for w.isRefusing() && ctx.Err() == nil {
			sleep(ctx, 50*time.Millisecond)
		}
		if ctx.Err() == nil {
			status, answer = w.store.Handle(ctx, r.Method, r.URL.Path, r.URL.Query(), body)
		}
		for w.isRefusing() && ctx.Err() == nil {
			sleep(ctx, 50*time.Millisecond)
		}
	case w.isRefusing() || forced.refused:
	case forced.late > 0:
		<-ctx.Done()
		return nil, ctx.Err()
	case w.previousVersion && bytes.Contains(body, []byte(storage.VersionMarkerKey(""))):
	case r.URL.Path == "/multi" && fate < behind:
		time.AfterFunc(2*time.Second+late/2, func() { w.commitUnanswered(r, body, number, "late write") })
		<-ctx.Done()
		return nil, ctx.Err()
	case strings.HasSuffix(r.URL.Path, "/renew") && w.losesRenewal():
		w.commitUnanswered(r, body, number, "renewal's answer lost")
		<-ctx.Done()
		return nil, ctx.Err()
	case (r.URL.Path == "/multi" || strings.HasSuffix(r.URL.Path, "/renew")) && fate < behind+unsaid:
		w.commitUnanswered(r, body, number, "answer lost")
		<-ctx.Done()
		return nil, ctx.Err()
	case r.URL.Path == "/multi" && fate < bad:
		// No answer; carried out now, later or never.
		if fate < bad*2/3 {
			if fate < bad/3 {
				late = 0
			}
			time.AfterFunc(late, func() { w.store.Handle(context.Background(), r.Method, r.URL.Path, r.URL.Query(), body) })
		}
		<-ctx.Done()
		return nil, ctx.Err()
	case w.staleReads && r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/keys/"):
		status, answer = w.readMaybeStale(r)
	default:
		status, answer = w.store.Handle(ctx, r.Method, r.URL.Path, r.URL.Query(), body)
		forced.report(status)
		if r.URL.Path == "/multi" && status == 200 {
			w.mu.Lock()
			w.newestCommitted = max(w.newestCommitted, number)
			w.mu.Unlock()
		}
	}
	w.waitWhilePaused()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if w.previousVersion {
		answer = hideNewKeys(answer)
	}
	raw, _ := json.Marshal(answer)
	return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(raw)), Header: http.Header{}, Request: r}, nil
}

// withoutConditions returns a transaction that is carried out whatever has
// changed.
func withoutConditions(body []byte) []byte {
	var t map[string]json.RawMessage
	if json.Unmarshal(body, &t) == nil {
		t["when"] = json.RawMessage("[]")
		body, _ = json.Marshal(t)
	}
	return body
}

// commitUnanswered carries out a transaction that is not answered.
func (w *simStoreLink) commitUnanswered(r *http.Request, body []byte, number uint64, what string) {
	status, _ := w.store.Handle(context.Background(), r.Method, r.URL.Path, r.URL.Query(), body)
	w.mu.Lock()
	behind := number < w.newestCommitted
	w.mu.Unlock()
	if w.recordOutcome != nil {
		if status == 200 {
			what += " done"
		} else {
			what += " refused"
		}
		if behind {
			what += " behind a newer one"
		}
		w.recordOutcome(what)
	}
}

// losesRenewal tells whether a renewal is one of those to be lost.
func (w *simStoreLink) losesRenewal() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.renewalsToLose == 0 {
		return false
	}
	w.renewalsToLose--
	return true
}

func (w *simStoreLink) isRefusing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refusing
}

// waitWhilePaused delays a request or an answer for as long as the world says.
func (w *simStoreLink) waitWhilePaused() {
	if w.pauseLeft == nil {
		return
	}
	for d := w.pauseLeft(); d > 0; d = w.pauseLeft() {
		time.Sleep(d)
	}
}

// txnRecorder notes transactions and answers that they succeeded.
type txnRecorder struct{ sent *[]protocol.Txn }

func (r txnRecorder) RoundTrip(req *http.Request) (*http.Response, error) {
	var t protocol.Txn
	json.NewDecoder(req.Body).Decode(&t)
	*r.sent = append(*r.sent, t)
	return &http.Response{StatusCode: 200, Body: io.NopCloser(bytes.NewReader([]byte(`{"ledger":9}`))), Header: http.Header{}, Request: req}, nil
}
