package coordination

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"reedtrack/internal/session"
	"reedtrack/internal/storage"
	"reedtrack/internal/transport"
)

// leaseLoop keeps the controller's lease alive: it performs the session's next step and
// reports the outcome to the session. It determines the next step again after each wait,
// since the session may have ended during the wait. It does not wait for renewals to complete,
// because the lease could expire while a few of them are unanswered.
func (n *Node) leaseLoop(ctx context.Context) {
	var renewals sync.WaitGroup
	defer renewals.Wait()
	for ctx.Err() == nil {
		step, delay := n.nextSessionStep()
		switch {
		case delay > 0:
			n.awaitSessionStep(ctx, delay)
		case step.Operation == session.RenewLease:
			renewals.Go(func() {
				n.runSessionStep(ctx, step)
				signal(n.wake.lease)
			})
		default:
			n.runSessionStep(ctx, step)
		}
	}
}

// nextSessionStep returns the session's next step and the delay until it is due. A step
// that is due is recorded as sent.
func (n *Node) nextSessionStep() (step session.Step, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	step = n.session.own.Next()
	delay = step.NotBefore.Sub(now)
	if delay <= 0 {
		n.session.own.RecordSent(step, now)
	}
	return step, delay
}

// awaitSessionStep waits until a step is due or the next step may have changed.
func (n *Node) awaitSessionStep(ctx context.Context, delay time.Duration) {
	due := time.NewTimer(delay)
	defer due.Stop()
	select {
	case <-ctx.Done():
	case <-n.wake.lease:
	case <-due.C:
	}
}

// runSessionStep performs a step of the session and reports the outcome to the session.
func (n *Node) runSessionStep(ctx context.Context, step session.Step) {
	result, err := n.performStep(ctx, step)
	if err != nil {
		slog.Debug("lease step failed", "step", step.Operation, "err", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.session.own.HandleResult(step, result, n.now())
	n.applySession()
}

// performStep performs one step of the session at the store. The result contains the time
// when the request was sent: the lease counts from then, since the store may have executed
// the request at any time after.
func (n *Node) performStep(ctx context.Context, step session.Step) (session.Result, error) {
	result := session.Result{SentAt: n.now()}
	var err error
	switch step.Operation {
	case session.ReadKey:
		var own storage.Controller // as written by this process or its predecessor
		own, result.Key.Revision, err = n.store.ReadController(ctx, n.settings.HostName)
		result.Key.Session = own.Session
	case session.GrantLease:
		result.Lease, err = n.store.GrantLease(ctx, n.timing.HolderLease)
	case session.WriteKey:
		self := storage.Controller{Name: n.settings.HostName, Session: step.Lease}
		result.Revision, err = n.store.ClaimController(ctx, self, step.Revision)
	case session.RenewLease:
		err = n.store.RenewLease(ctx, step.Lease)
		transport.LeaseRenewals.WithLabelValues(renewalOutcome(err)).Inc()
	case session.RevokeLease:
		err = n.store.RevokeLease(ctx, step.Lease)
	}
	result.Outcome = stepOutcome(err)
	return result, err
}

// stepOutcome maps the error of a step to its outcome. Only the store's response that the
// lease does not exist ends the session; after any other error the step may have been
// executed.
func stepOutcome(err error) session.Outcome {
	switch {
	case err == nil:
		return session.Succeeded
	case errors.Is(err, storage.ErrLeaseNotFound) || errors.Is(err, storage.ErrNotFound):
		return session.LeaseExpired
	}
	return session.Failed
}

// renewalOutcome returns the metric label for the outcome of a renewal.
func renewalOutcome(err error) string {
	switch {
	case err == nil:
		return "renewed"
	case stepOutcome(err) == session.LeaseExpired:
		return "expired"
	}
	return "failed"
}
