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

// simStoreLink is one controller's connection to the store. It delays, loses and refuses
// requests.
type simStoreLink struct {
	store       *emulator.KVStore
	mu          sync.Mutex
	random      *rand.Rand
	refusing    bool // the store refuses this controller alone
	failureRate float64
	// lateRate is the share of transactions that get no answer and are committed seconds
	// later, after newer ones; lostRate is the share that are committed at once and of
	// which only the answer is lost. pauseLeft delays every request and answer while the process is
	// paused, and latency every request while the store is slow.
	lateRate          float64
	lostRate          float64
	renewalsToLose    int // how many of the next lease renewals are committed but not answered
	pauseLeft         func() time.Duration
	latency           func() time.Duration
	dropPreconditions bool // transactions lose their preconditions
	staleReads        bool // repeated reads return a cached answer for staleFor
	reads             map[string]cachedRead
	recordOutcome     func(what string) // called with the outcome of a late or unanswered transaction
	sentTxns          uint64            // number of transactions sent, and the newest committed
	newestCommitted   uint64
	previousVersion   bool   // simulates a controller of the previous version: see hideNewKeys
	lastOwnKeyTxn     []byte // the last transaction that wrote a controller's key
	// decideOutcome lets a test decide the outcome of each transaction as it is sent; nil: it is
	// random.
	decideOutcome func(protocol.Txn) forcedOutcome
}

// forcedOutcome is the outcome that a test has decided for a transaction; with the zero value
// it is random.
type forcedOutcome struct {
	refused bool             // refused and not committed
	late    time.Duration    // if positive, it gets no answer and is committed this long after it was sent
	done    func(status int) // called with the store's status when it is committed; may be nil
}

// report passes the store's status to the test.
func (f forcedOutcome) report(status int) {
	if f.done != nil {
		f.done(status)
	}
}

// forcedOutcome asks the test for the outcome of a request.
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

// commitLate executes a request that gets no answer.
func (w *simStoreLink) commitLate(r *http.Request, body []byte, outcome forcedOutcome) {
	status, _ := w.store.Handle(context.Background(), r.Method, r.URL.Path, r.URL.Query(), body)
	outcome.report(status)
}

// cachedRead is a cached answer of the store.
type cachedRead struct {
	at     time.Time
	status int
	answer any
}

// staleFor is how long a cached answer is repeated if reads are stale.
const staleFor = 3 * time.Second

// readMaybeStale reads a key, or returns a cached answer if reads are stale.
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

// isNewKey reports whether a key is unknown to the previous version.
func isNewKey(path string) bool {
	_, marker := storage.ParseVersionMarkerKey(path)
	_, delegation := storage.ParseDelegationKey(path)
	_, acknowledgement := storage.ParseDelegationAckKey(path)
	return marker || delegation || acknowledgement || path == storage.SchemaVersionKey
}

// hideNewKeys removes the keys introduced by an upgrade from an answer to a simulated
// controller of the previous version, which ignores them.
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
	roll, late := w.random.Float64(), time.Duration(w.random.IntN(20000))*time.Millisecond
	failureRate, lateRate, lostRate := w.failureRate, w.lateRate, w.lostRate
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
	status, answer := 503, any(protocol.ErrorResponse{Error: "simulated failure"})
	switch {
	case r.URL.Path == "/follow":
		// An open watch waits until the refusal is over, and then delivers.
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
	case r.URL.Path == "/multi" && roll < lateRate:
		time.AfterFunc(2*time.Second+late/2, func() { w.commitUnanswered(r, body, number, "late write") })
		<-ctx.Done()
		return nil, ctx.Err()
	case strings.HasSuffix(r.URL.Path, "/renew") && w.losesRenewal():
		w.commitUnanswered(r, body, number, "renewal's answer lost")
		<-ctx.Done()
		return nil, ctx.Err()
	case (r.URL.Path == "/multi" || strings.HasSuffix(r.URL.Path, "/renew")) && roll < lateRate+lostRate:
		w.commitUnanswered(r, body, number, "answer lost")
		<-ctx.Done()
		return nil, ctx.Err()
	case r.URL.Path == "/multi" && roll < failureRate:
		// No answer; committed now, later or never.
		if roll < failureRate*2/3 {
			if roll < failureRate/3 {
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

// withoutConditions returns a transaction without its preconditions.
func withoutConditions(body []byte) []byte {
	var t map[string]json.RawMessage
	if json.Unmarshal(body, &t) == nil {
		t["when"] = json.RawMessage("[]")
		body, _ = json.Marshal(t)
	}
	return body
}

// commitUnanswered commits a transaction without an answer and records its outcome.
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
			what += " after a newer one"
		}
		w.recordOutcome(what)
	}
}

// losesRenewal reports whether the answer to this renewal is to be lost.
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

// waitWhilePaused delays a request or an answer while the process is paused.
func (w *simStoreLink) waitWhilePaused() {
	if w.pauseLeft == nil {
		return
	}
	for d := w.pauseLeft(); d > 0; d = w.pauseLeft() {
		time.Sleep(d)
	}
}

// txnRecorder records transactions and reports success for each.
type txnRecorder struct{ sent *[]protocol.Txn }

func (r txnRecorder) RoundTrip(req *http.Request) (*http.Response, error) {
	var t protocol.Txn
	json.NewDecoder(req.Body).Decode(&t)
	*r.sent = append(*r.sent, t)
	return &http.Response{StatusCode: 200, Body: io.NopCloser(bytes.NewReader([]byte(`{"ledger":9}`))), Header: http.Header{}, Request: req}, nil
}
