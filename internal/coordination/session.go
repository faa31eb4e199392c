package coordination

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// leaseLoop keeps the controller's lease.
func (n *Node) leaseLoop(ctx context.Context) {
	every := n.op.HolderLease / 5
	for ctx.Err() == nil {
		n.mu.Lock()
		session := n.session
		n.mu.Unlock()
		var err error
		if session == 0 {
			err = n.openSession(ctx)
		} else {
			sent := n.now()
			err = n.state.Renew(ctx, session)
			n.mu.Lock()
			if err == nil {
				n.validTil = sent.Add(n.timing.Act)
			} else if errors.Is(err, storage.ErrNotFound) {
				slog.Warn("lease has ended, starting a new session", "session", session)
				n.session = 0
				clear(n.shards)
				n.lead = nil
			}
			n.mu.Unlock()
		}
		wait := every
		if err != nil {
			slog.Debug("lease", "err", err)
			wait = 250 * time.Millisecond
		}
		sleep(ctx, wait)
	}
}

// openSession takes a lease and writes this controller's key under it. A write
// without an answer is repeated under the same lease: it may still be applied,
// and with another session's name it would look like the end of the new one.
func (n *Node) openSession(ctx context.Context) error {
	if n.opening.hold == 0 {
		sent := n.now()
		hold, err := n.state.Grant(ctx, n.timing.HolderLease)
		if err != nil {
			return err
		}
		n.opening.hold, n.opening.sent = hold, sent
	}
	o := n.opening
	me := storage.Node{Name: n.set.HostName, Session: o.hold}
	_, err := n.state.Multi(ctx, protocol.Txn{Writes: []protocol.Write{{Put: storage.AliveKey(me.Name), Data: me, Hold: o.hold}}})
	if errors.Is(err, storage.ErrNoLease) {
		n.opening.hold = 0
	}
	if err != nil {
		return err
	}
	n.opening.hold = 0
	n.mu.Lock()
	n.session, n.validTil = o.hold, o.sent.Add(n.timing.Act)
	n.mu.Unlock()
	slog.Info("session opened", "session", o.hold)
	return nil
}
