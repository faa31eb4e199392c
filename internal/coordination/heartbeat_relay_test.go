package coordination

import (
	"bytes"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"reedtrack/internal/protocol"
	"reedtrack/internal/session"
	"reedtrack/internal/storage"
)

// relayPeer delivers messages to a controller after encoding and decoding them.
type relayPeer struct {
	holder *Node
	err    error // returned by each call
	calls  int
}

func (p *relayPeer) Call(time.Duration, any, any) error { return errors.New("not for relays") }

func (p *relayPeer) TryCall(_ time.Duration, in, out any) error {
	p.calls++
	if p.err != nil {
		return p.err
	}
	raw, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	var message PeerMessage
	if err := cbor.Unmarshal(raw, &message); err != nil {
		return err
	}
	raw, err = cbor.Marshal(p.holder.ReceiveMessage(message))
	if err != nil {
		return err
	}
	return cbor.Unmarshal(raw, out)
}

// relayPair is a holder of one machine with a task to start, and a controller that is its
// peer, both with a test clock.
type relayPair struct {
	holder  *Node
	machine *machine
	relay   *Node
	peer    *relayPeer
	now     time.Time
}

// relayTestLease is how long the controllers' leases last in these tests.
const relayTestLease = time.Hour

// newRelayPair returns a relayPair whose records have the given schema version.
func newRelayPair(t *testing.T, schema int) *relayPair {
	t.Helper()
	p := &relayPair{now: time.Now()}
	w := newWorld(1, nil)
	p.holder = New(w.settings, w.settings.Defaults(), nil, nil, map[string]Peer{"n1": &relayPeer{}}, nil)
	s, m, j := oneTask(p.now)
	s.receiveHeartbeat(m, p.heartbeat(1), p.now)
	s.place(j, j.takePendingTask(), m)
	p.machine, p.holder.shards[0] = m, s
	p.peer = &relayPeer{holder: p.holder}
	settings := *w.settings
	settings.HostName = "n1"
	p.relay = New(&settings, settings.Defaults(), nil, nil, map[string]Peer{"n0": p.peer}, nil)
	for i, n := range []*Node{p.holder, p.relay} {
		n.now = func() time.Time { return p.now }
		n.session.id = uint64(4 + i)
		n.session.leaseValidUntil = p.now.Add(relayTestLease)
		n.records.Loaded, n.records.SyncedAt = true, p.now
		applyRecord(t, n, storage.SchemaVersionKey, storage.SchemaVersion{Version: schema}, 10)
		applyRecord(t, n, storage.ShardKey(0), storage.ShardLease{Holder: storage.Controller{Name: "n0", Session: 4}, FencingToken: 1}, 11)
		applyRecord(t, n, storage.GrantKey(0), storage.Grant{Machines: []storage.MachineLease{m.lease}}, 12)
	}
	p.relay.heartbeatProxy.firstCalled["n0"] = p.now
	p.relay.heartbeatProxy.lastReached["n0"] = p.now
	return p
}

// heartbeat returns the machine's heartbeat with the given sequence number.
func (p *relayPair) heartbeat(sequence uint64) *protocol.Heartbeat {
	return &protocol.Heartbeat{Machine: "a", Address: "a:1", MachineType: "small", Zone: "a", Session: 1, Sequence: sequence, FencingToken: 2}
}

// advanceClock advances the clock; holderReachable specifies whether the relay
// reaches the holder at the new time.
func (p *relayPair) advanceClock(duration time.Duration, holderReachable bool) {
	p.now = p.now.Add(duration)
	for _, n := range []*Node{p.holder, p.relay} {
		n.records.SyncedAt = p.now
	}
	if holderReachable {
		p.relay.heartbeatProxy.lastReached["n0"] = p.now
	}
}

// checkRedirect checks that an answer redirects the worker to the holder.
func checkRedirect(t *testing.T, why string, answer HeartbeatAnswer) {
	t.Helper()
	if answer.Status != http.StatusMisdirectedRequest || answer.RedirectTo != "n0" {
		t.Errorf("%s: %+v", why, answer)
	}
}

// Guards against workers that are redirected to their holder by a controller that can
// reach it, while their lease is running out.
func TestHeartbeatIsRelayedToHolder(t *testing.T) {
	p := newRelayPair(t, storage.SchemaHeartbeatRelays)
	answer := p.relay.Heartbeat(p.heartbeat(2))
	commands := answer.Response.Commands
	if answer.Status != http.StatusOK || answer.RelayedTo != "n0" || answer.Response.FencingToken != 2 || len(commands) != 1 || commands[0].Verb != protocol.VerbStart {
		t.Fatalf("not the holder's answer: %+v", answer)
	}
	if heartbeat, _ := p.machine.exchange.Sequences(); heartbeat != 2 || !p.machine.lastAnswered.Equal(p.now) {
		t.Error("the holder does not record the relayed heartbeat as received")
	}
	p.advanceClock(3*time.Second, true)
	checkRedirect(t, "the next heartbeat", p.relay.Heartbeat(p.heartbeat(3)))
	p.advanceClock(4*time.Second, true)
	if answer := p.relay.Heartbeat(p.heartbeat(4)); answer.Status != http.StatusOK {
		t.Errorf("not relayed after the interval: %+v", answer)
	}
}

// Guards against a relay that delays a worker's answer, or sends a message that the holder
// may not support.
func TestHeartbeatIsRedirectedIfRelayFails(t *testing.T) {
	p := newRelayPair(t, storage.SchemaHeartbeatRelays)
	p.peer.err = errors.New("link is busy")
	checkRedirect(t, "the call fails", p.relay.Heartbeat(p.heartbeat(2)))
	p = newRelayPair(t, storage.SchemaHeartbeatRelays)
	p.advanceClock(unreachableAfter, false)
	checkRedirect(t, "the holder is unreachable", p.relay.Heartbeat(p.heartbeat(2)))
	if p.peer.calls != 0 {
		t.Error("an unreachable holder is called")
	}
	p = newRelayPair(t, storage.SchemaHeartbeatRelays-1)
	checkRedirect(t, "not every controller has run this version", p.relay.Heartbeat(p.heartbeat(2)))
	if p.peer.calls != 0 {
		t.Error("a message is sent that the holder may not support")
	}
	p = newRelayPair(t, storage.SchemaHeartbeatRelays)
	large := p.heartbeat(2)
	large.Tasks = make([]protocol.TaskStatus, maxRelayedTasks+1)
	if checkRedirect(t, "a large heartbeat", p.relay.Heartbeat(large)); p.peer.calls != 0 {
		t.Error("a heartbeat that the holder refuses is sent")
	}
}

// Guards against relays that cost a busy controller more than a redirect.
func TestHeartbeatIsRedirectedIfProcessorIsShort(t *testing.T) {
	for name, overload := range map[string]func(*Node){
		"holder": func(relay *Node) { relay.peerStatus["n0"] = &Status{From: "n0", Utilization: 0.9} },
		"relay":  func(relay *Node) { relay.cpuMeter.utilization = 0.9 },
	} {
		p := newRelayPair(t, storage.SchemaHeartbeatRelays)
		overload(p.relay)
		if checkRedirect(t, name, p.relay.Heartbeat(p.heartbeat(2))); p.peer.calls != 0 {
			t.Errorf("%s: a heartbeat is relayed", name)
		}
	}
}

// Guards against answers by a controller that must not give them: the holder's lease has
// expired, or another controller holds the shard.
func TestRelayedHeartbeatNeedsHolder(t *testing.T) {
	p := newRelayPair(t, storage.SchemaHeartbeatRelays)
	p.holder.session.leaseValidUntil = p.now
	if answer := p.relay.Heartbeat(p.heartbeat(2)); answer.Status != http.StatusServiceUnavailable {
		t.Errorf("the holder's lease has expired: %+v", answer)
	}
	p = newRelayPair(t, storage.SchemaHeartbeatRelays)
	delete(p.holder.shards, 0)
	applyRecord(t, p.holder, storage.ShardKey(0), storage.ShardLease{Holder: storage.Controller{Name: "n2", Session: 9}, FencingToken: 3}, 13)
	if answer := p.relay.Heartbeat(p.heartbeat(2)); answer.Status != http.StatusMisdirectedRequest || answer.RedirectTo != "n2" {
		t.Errorf("another controller holds the shard: %+v", answer)
	}
}

// Guards against late copies over two paths: a heartbeat that arrives after a newer one
// changes nothing, and its start is not treated as lost.
func TestOvertakenRelayedHeartbeatChangesNothing(t *testing.T) {
	p := newRelayPair(t, storage.SchemaHeartbeatRelays)
	if answer := p.holder.Heartbeat(p.heartbeat(3)); len(answer.Response.Commands) != 1 {
		t.Fatalf("answered %+v", answer)
	}
	for sequence := uint64(2); sequence <= 3; sequence++ {
		message := RelayedHeartbeat{From: "n1", Session: 5, Hops: relayHopCount, Report: *p.heartbeat(sequence)}
		if answer := p.holder.receiveRelayedHeartbeat(&message); answer.Status != http.StatusServiceUnavailable {
			t.Errorf("sequence %d is answered: %+v", sequence, answer)
		}
	}
	if len(p.machine.attempts) != 1 {
		t.Error("the start is treated as lost")
	}
}

// Guards against messages that no controller of this version sends: they are refused
// without effect, and logged once for each reason.
func TestInvalidRelayedHeartbeatIsRefused(t *testing.T) {
	var log bytes.Buffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(previous)
	p := newRelayPair(t, storage.SchemaHeartbeatRelays)
	sessionHistory := &session.History{}
	sessionHistory.Observe(3)
	sessionHistory.Observe(5)
	p.holder.session.histories["n1"] = sessionHistory
	valid := RelayedHeartbeat{From: "n1", Session: 5, Hops: relayHopCount, Report: *p.heartbeat(2)}
	for reason, change := range map[string]func(*RelayedHeartbeat){
		"unknown controller": func(r *RelayedHeartbeat) { r.From = "n7" },
		"too old":            func(r *RelayedHeartbeat) { r.Session = 3 },
		"relayed before":     func(r *RelayedHeartbeat) { r.Hops++ },
		"too large":          func(r *RelayedHeartbeat) { r.Report.Tasks = make([]protocol.TaskStatus, maxRelayedTasks+1) },
		"stint":              func(r *RelayedHeartbeat) { r.Report.Session = 0 },
	} {
		invalid := valid
		change(&invalid)
		for range 2 {
			if answer := p.holder.receiveRelayedHeartbeat(&invalid); answer.Status != http.StatusServiceUnavailable {
				t.Errorf("%s: %+v", reason, answer)
			}
		}
		if count := strings.Count(log.String(), reason); count != 1 {
			t.Errorf("%s: logged %d times", reason, count)
		}
	}
	if heartbeat, _ := p.machine.exchange.Sequences(); heartbeat != 1 {
		t.Error("a refused heartbeat changes the holder's state")
	}
	if answer := p.holder.receiveRelayedHeartbeat(&valid); answer.Status != http.StatusOK {
		t.Errorf("the valid heartbeat: %+v", answer)
	}
}

// Guards against statuses that previous versions can't decode, or that are decoded as
// heartbeats.
func TestPeerMessageIsStatusOfPreviousVersion(t *testing.T) {
	status := Status{From: "n1", Session: 5, Cordoned: []string{"a"}}
	encoding, _ := cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode()
	previousEncoding, _ := encoding.Marshal(status)
	if written, _ := encoding.Marshal(PeerMessage{Status: status}); !bytes.Equal(written, previousEncoding) {
		t.Errorf("written as %x, not %x", written, previousEncoding)
	}
	var message PeerMessage
	if err := cbor.Unmarshal(previousEncoding, &message); err != nil || message.Heartbeat != nil || message.From != status.From || message.Session != status.Session {
		t.Errorf("%+v, %v", message, err)
	}
	reply := StatusReply{From: "n0", IsLeader: true}
	previousEncoding, _ = encoding.Marshal(reply)
	if written, _ := encoding.Marshal(PeerReply{StatusReply: reply}); !bytes.Equal(written, previousEncoding) {
		t.Errorf("reply written as %x, not %x", written, previousEncoding)
	}
}

// Guards against memory use that grows with every machine that ever sent a heartbeat to a
// controller.
func TestRelayedMachinesAreBounded(t *testing.T) {
	relay, now := newHeartbeatRelay(), time.Now()
	const interval = 4 * time.Second
	for i := range maxRelayedMachines {
		if !relay.begin(string(rune(i+1)), interval, now) {
			t.Fatalf("machine %d is not relayed", i)
		}
	}
	if relay.begin("another", interval, now) {
		t.Error("more machines are relayed than the bound allows")
	}
	if !relay.begin("another", interval, now.Add(interval+1)) || len(relay.relayedAt) != 1 {
		t.Errorf("%d machines are recorded after the interval, want 1", len(relay.relayedAt))
	}
}
