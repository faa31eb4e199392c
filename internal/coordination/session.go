package coordination

import (
	"log/slog"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/session"
	"reedtrack/internal/storage"
)

// controllerSession is the controller's own lease, and what is known of the
// sessions of all controllers.
type controllerSession struct {
	own              *session.Session
	past             map[string]*session.History // sessions of each controller that are over
	id               uint64                      // of the open session; 0: none
	leaseValidUntil  time.Time                   // when the lease ends by this controller's clock
	loggedHoldsLease bool                        // the last answer of holdsLease that was logged
}

// leaseState says whether a controller may act, or why it may not. The values are
// logged.
type leaseState string

const (
	leaseHeld          leaseState = "held"
	noSession          leaseState = "no session"
	renewalsUnanswered leaseState = "renewals unanswered"
	recordsNotRecent   leaseState = "records not recent"
	schemaUnsupported  leaseState = "schema unsupported"
)

// newControllerSession returns the state of a controller that has no session yet.
func newControllerSession(timing config.Timing, settings *config.Settings) controllerSession {
	minRenewalInterval := storage.MinRenewalInterval(settings.Deployment.State.RPS, settings.Deployment.Count)
	return controllerSession{
		own:  session.New(session.TimingFor(timing.HolderLease, minRenewalInterval), 0),
		past: map[string]*session.History{},
	}
}

// holdsLease reports whether this controller may act.
func (n *Node) holdsLease(now time.Time) bool { return n.leaseState(now) == leaseHeld }

// leaseState returns whether this controller may act: its lease at the store is
// valid by its own clock, counted from when the last renewal was sent, its copy
// of the records is recent, and it supports the schema version of the records.
func (n *Node) leaseState(now time.Time) leaseState {
	switch {
	case n.session.id == 0:
		return noSession
	case !now.Before(n.session.leaseValidUntil):
		return renewalsUnanswered
	case !n.records.Loaded || now.Sub(n.records.SyncedAt) >= n.timing.LeaseValidity:
		return recordsNotRecent
	case !n.records.SupportsSchema():
		return schemaUnsupported
	}
	return leaseHeld
}

// applySession takes over the session's state: the session ID, and until when
// this controller may act, which counts from when the last renewal was sent.
func (n *Node) applySession() {
	current := n.session.own.Lease()
	if current != n.session.id {
		n.replaceSession(current)
	}
	n.session.leaseValidUntil = time.Time{}
	if current != 0 {
		n.session.leaseValidUntil = n.session.own.RenewalSentAt().Add(n.timing.LeaseValidity)
	}
}

// replaceSession ends the present session, if one is open, and begins another,
// unless its ID is 0. A session that is over takes the shards and the leadership
// with it.
func (n *Node) replaceSession(id uint64) {
	if n.session.id != 0 {
		slog.Warn("session expired", "session", n.session.id)
		clear(n.shards)
		n.heartbeatProxy.endSession()
		n.revokeLeadership()
	}
	if id != 0 {
		slog.Info("session opened", "session", id)
	}
	n.session.id = id
}

// checkOwnKey checks whether the copy of the records still shows this
// controller's key. A key that is gone, or names another session, tells the
// others that this session is over, whatever its lease says.
func (n *Node) checkOwnKey() {
	key := n.records.Controllers[n.settings.HostName]
	if !n.session.own.ObserveKey(session.Key{Session: key.Value.Session, Revision: key.Revision}, n.records.AppliedRevision) {
		return
	}
	slog.Warn("controller key lost", "key_session", key.Value.Session)
	n.applySession()
	signal(n.wake.lease)
}
