package coordination

import (
	"log/slog"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/session"
	"reedtrack/internal/storage"
)

// controllerSession is the controller's own session, and the known sessions of all
// controllers.
type controllerSession struct {
	own              *session.Session
	histories        map[string]*session.History // ended sessions, by controller
	id               uint64                      // ID of the open session; 0: none
	leaseValidUntil  time.Time                   // when the lease ends according to this controller's clock
	loggedHoldsLease bool                        // last logged result of holdsLease
}

// leaseState is whether a controller may act, or the reason why not. The values are
// logged.
type leaseState string

const (
	leaseHeld          leaseState = "held"
	noSession          leaseState = "no session"
	renewalsUnanswered leaseState = "renewals unanswered"
	recordsNotRecent   leaseState = "records not recent"
	schemaUnsupported  leaseState = "schema unsupported"
)

// newControllerSession returns the state of a controller without a session.
func newControllerSession(timing config.Timing, settings *config.Settings) controllerSession {
	minRenewalInterval := storage.MinRenewalInterval(settings.Deployment.State.RPS, settings.Deployment.Count)
	return controllerSession{
		own:       session.New(session.TimingFor(timing.HolderLease, minRenewalInterval), 0),
		histories: map[string]*session.History{},
	}
}

// holdsLease reports whether this controller may act.
func (n *Node) holdsLease(now time.Time) bool { return n.leaseState(now) == leaseHeld }

// leaseState returns leaseHeld if this controller may act: its lease at the store is valid
// according to its own clock, counted from when the last successful renewal was sent, the
// replicated records are recent, and it supports their schema version.
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

// applySession adopts the session's state: the session ID, and until when this controller
// may act, which counts from when the last successful renewal was sent.
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

// replaceSession ends the current session, if one is open, and starts another one, unless
// its ID is 0. An ended session loses its shards and the leadership.
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

// checkOwnKey checks whether the replicated records still contain this controller's key.
// If the key is missing or names another session, the other controllers treat this session
// as ended, regardless of its lease.
func (n *Node) checkOwnKey() {
	key := n.records.Controllers[n.settings.HostName]
	if !n.session.own.ObserveKey(session.Key{Session: key.Value.Session, Revision: key.Revision}, n.records.AppliedRevision) {
		return
	}
	slog.Warn("controller key lost", "key_session", key.Value.Session)
	n.applySession()
	signal(n.wake.lease)
}
