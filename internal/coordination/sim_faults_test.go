package coordination

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"reedtrack/internal/protocol"
)

// fault is an injected fault: its kind, target, start and duration. Faults are injected at
// random or by a script.
type fault struct {
	at           time.Duration // since the start of the fault period
	kind         faultKind
	target       faultTarget
	duration     time.Duration
	count        int           // of machines or jobs, or how often a process ends
	share        float64       // of transactions, heartbeats or ending jobs
	zone         string        // empty: any
	hangDuration time.Duration // how long machines hang
	maxDelay     time.Duration // of direct commands
	verb         string        // which direct commands; empty: all
}

// faultKind names a kind of fault.
type faultKind string

const (
	controllerEnds               faultKind = "a controller ends"
	controllerPauses             faultKind = "a controller stands still"
	storeRefusesOne              faultKind = "the state service refuses a controller alone"
	controllerIsolated           faultKind = "a controller is cut from state service and other controllers"
	peersSeparated               faultKind = "a controller and the others don't reach each other"
	workersSeparated             faultKind = "a controller and the workers don't reach each other"
	storeOutage                  faultKind = "the state service is out for all"
	storeSlow                    faultKind = "the state service answers slowly"
	txnsLate                     faultKind = "transactions without an answer are carried out late"
	txnAnswersLost               faultKind = "transactions are carried out and their answers are lost"
	heartbeatCopiesLate          faultKind = "copies of reports arrive later"
	heartbeatCopiesForNextLeader faultKind = "copies of reports arrive at the next leader"
	machinesCannotReceive        faultKind = "answers and commands to machines are lost"
	machinesCannotSend           faultKind = "machines reach no controller"
	machinesHang                 faultKind = "machines hang"
	machinesDie                  faultKind = "machines die"
	machinesFailTasks            faultKind = "machines fail their tasks"
	machinesReclaimed            faultKind = "machines are taken after a notice"
	directSlow                   faultKind = "direct commands and their answers are held up"
	zoneIsolated                 faultKind = "a zone is cut off"
	zoneIsolatedWithController   faultKind = "a zone is cut off with a controller in it"
	zonesSeparated               faultKind = "two zones don't reach each other"
	cloudOutage                  faultKind = "the cloud is away"
	cancelRunningJobs            faultKind = "jobs that run are cancelled at once"
	cancelEndingJobs             faultKind = "jobs are cancelled as they end"
	invalidRequests              faultKind = "odd requests"
	concurrentReads              faultKind = "users ask at all nodes at once"
	leaderChanges                faultKind = "leaders change one after the other"
	heartbeatsSlow               faultKind = "reports and their answers take seconds"
	directLate                   faultKind = "direct commands are held up and carried out late"
	directRepeated               faultKind = "copies of direct commands arrive again"
	cloudCallsLate               faultKind = "calls to the cloud are carried out late"
)

// allFaultKinds lists the kinds that faultPairs combines.
var allFaultKinds = []faultKind{controllerEnds, controllerPauses, storeRefusesOne, controllerIsolated, peersSeparated, workersSeparated, storeOutage, storeSlow, txnsLate, txnAnswersLost,
	heartbeatCopiesLate, heartbeatCopiesForNextLeader, machinesCannotReceive, machinesCannotSend, machinesHang, machinesDie, machinesFailTasks, machinesReclaimed, directSlow, zoneIsolated, zoneIsolatedWithController, zonesSeparated, cloudOutage,
	cancelRunningJobs, cancelEndingJobs, invalidRequests, concurrentReads, leaderChanges, heartbeatsSlow, directLate, directRepeated, cloudCallsLate}

// faultTarget selects the controllers that a fault affects, at the moment it begins.
type faultTarget string

const (
	targetLeader     faultTarget = "leader"
	targetBusiest    faultTarget = "busiest holder"
	targetNonLeaders faultTarget = "all but the leader"
	targetAll        faultTarget = "all"
	targetAny        faultTarget = "any" // same as the zero value
)

// faultSettings are the effects of the active faults; guarded by the world's lock.
type faultSettings struct {
	txnFailureRate      float64 // of transactions
	lateTxnRate         float64
	lostAnswerRate      float64
	storeDelay          time.Duration
	directDelay         time.Duration
	heartbeatDelay      time.Duration
	heartbeatCopyRate   float64               // share of heartbeats with a late copy
	copiesForNextLeader bool                  // copies are kept for the next leader
	keptHeartbeats      []*protocol.Heartbeat // copies kept for the next leader
	cancelAtEndRate     float64               // share of jobs that are cancelled as they end
	invalidRequests     bool
	concurrentReads     bool
	quickBoots          bool // machines boot within two seconds
	delayedCommands     delayedCommands
	repeatedCommands    repeatedCommands
	lateCloudRate       float64 // share of calls to the cloud
}

// disabledGuards are guards that a test disables from outside the node: the world changes
// messages so that they are accepted as if the guard did not exist.
type disabledGuards struct {
	order      bool // no ordering of heartbeats: a late copy appears to be the newest
	term       bool // no check of tokens: a late copy appears to carry the newest
	conditions bool // transactions have no preconditions
	reads      bool // users get answers from reads that are seconds old
	proxyStops bool // proxies stop no tasks
	binding    bool // a direct command without an answer counts as never sent
}

// leader returns the index of the leader, or -1.
func (w *world) leader() int {
	for i := range w.nodes {
		if n := w.node(i); n != nil {
			n.mu.Lock()
			leads := n.leadership != nil && n.holdsLease(n.now())
			n.mu.Unlock()
			if leads {
				return i
			}
		}
	}
	return -1
}

// targets returns the indexes of the controllers that a target selects.
func (w *world) targets(who faultTarget) []int {
	all, lead := []int{}, w.leader()
	for i := range w.nodes {
		all = append(all, i)
	}
	switch who {
	case targetAll:
		return all
	case targetLeader:
		if lead >= 0 {
			return []int{lead}
		}
	case targetNonLeaders:
		return slices.DeleteFunc(all, func(i int) bool { return i == lead })
	case targetBusiest:
		return []int{slices.MaxFunc(all, func(a, b int) int { return cmp.Compare(w.placedTasks(a), w.placedTasks(b)) })}
	}
	return []int{w.intn(len(w.nodes))}
}

// placedTasks returns the number of tasks that a controller has placed, or -1 if it is
// down.
func (w *world) placedTasks(i int) int {
	n := w.node(i)
	if n == nil {
		return -1
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := 0
	for _, s := range n.shards {
		for _, m := range s.machines {
			sum += len(m.attempts)
		}
	}
	return sum
}

// selectMachines selects running machines in random order, those with tasks first.
func (w *world) selectMachines(count int, zone string) []*simWorker {
	var up []*simWorker
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		if m := w.workers[id]; m.session > 0 && !m.dead && (zone == "" || zone == m.request.Zone) {
			up = append(up, m)
		}
	}
	w.random.Shuffle(len(up), func(i, k int) { up[i], up[k] = up[k], up[i] })
	slices.SortStableFunc(up, func(a, b *simWorker) int { return min(1, len(b.tasks)) - min(1, len(a.tasks)) })
	return up[:min(len(up), max(1, count))]
}

// runScript schedules the faults of a script.
func (w *world) runScript(script []fault) {
	for _, f := range script {
		w.spawn(func() {
			time.Sleep(f.at)
			w.injectFault(f)
		})
	}
}

// injectFault begins a fault and ends it after its duration.
func (w *world) injectFault(f fault) {
	end := w.beginFault(f)
	w.recordEvent(string(f.kind))
	if end == nil {
		return
	}
	w.spawn(func() {
		time.Sleep(f.duration)
		end()
		w.recordEvent(string(f.kind) + ": over")
	})
}

// beginFault injects a fault and returns the function that ends it, or nil if the fault
// ends by itself.
func (w *world) beginFault(f fault) (end func()) {
	// set applies a change to the world and returns its reversal.
	set := func(on, off func()) func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		on()
		return func() { w.mu.Lock(); defer w.mu.Unlock(); off() }
	}
	// nodes applies a change to the targeted controllers and returns its reversal.
	nodes := func(change func(n *simNode, on bool)) func() {
		which := w.targets(f.target)
		each := func(on bool) func() {
			return func() {
				for _, i := range which {
					change(w.nodes[i], on)
				}
			}
		}
		return set(each(true), each(false))
	}
	machines := func(change func(m *simWorker, on bool)) func() {
		var list []*simWorker
		each := func(on bool) func() {
			return func() {
				for _, m := range list {
					change(m, on)
				}
			}
		}
		return set(func() { list = w.selectMachines(f.count, f.zone); each(true)() }, each(false))
	}
	refuse := func(n *simNode, on bool) {
		if n.storeLink != nil {
			n.storeLink.mu.Lock()
			n.storeLink.refusing = on
			n.storeLink.mu.Unlock()
		}
	}
	wires := func(share func(wr *simStoreLink)) {
		for _, n := range w.nodes {
			if n.storeLink != nil {
				n.storeLink.mu.Lock()
				share(n.storeLink)
				n.storeLink.mu.Unlock()
			}
		}
	}
	switch f.kind {
	case controllerEnds:
		w.endAndRestart(f.duration, max(1, f.count), w.targets(f.target)...)
		return nil
	case controllerPauses:
		return nodes(func(n *simNode, on bool) {
			n.pausedUntil = time.Time{}
			if on {
				n.pausedUntil = time.Now().Add(f.duration)
			}
		})
	case storeRefusesOne:
		return nodes(refuse)
	case controllerIsolated:
		return nodes(func(n *simNode, on bool) { refuse(n, on); n.cutFromPeers = on })
	case peersSeparated:
		return nodes(func(n *simNode, on bool) { n.cutFromPeers = on })
	case workersSeparated:
		return nodes(func(n *simNode, on bool) { n.cutFromWorkers = on })
	case storeOutage:
		w.store.SetOutage(true)
		return func() { w.store.SetOutage(false) }
	case storeSlow:
		return set(func() { w.storeDelay = 2 * time.Second }, func() { w.storeDelay = 0 })
	case txnsLate:
		return set(func() { w.lateTxnRate = f.share; wires(func(wr *simStoreLink) { wr.lateRate = f.share }) },
			func() { w.lateTxnRate = 0; wires(func(wr *simStoreLink) { wr.lateRate = 0 }) })
	case txnAnswersLost:
		return set(func() { w.lostAnswerRate = f.share; wires(func(wr *simStoreLink) { wr.lostRate = f.share }) },
			func() { w.lostAnswerRate = 0; wires(func(wr *simStoreLink) { wr.lostRate = 0 }) })
	case heartbeatCopiesLate, heartbeatCopiesForNextLeader:
		return set(func() { w.heartbeatCopyRate, w.copiesForNextLeader = f.share, f.kind == heartbeatCopiesForNextLeader }, func() { w.heartbeatCopyRate, w.copiesForNextLeader = 0, false })
	case machinesCannotReceive:
		return machines(func(m *simWorker, on bool) { m.cannotReceive = on })
	case machinesCannotSend:
		return machines(func(m *simWorker, on bool) { m.cannotSend = on })
	case machinesFailTasks:
		return machines(func(m *simWorker, on bool) { m.failing = on })
	case machinesHang:
		return machines(func(m *simWorker, on bool) {
			if on {
				m.hungUntil = time.Now().Add(f.duration)
			}
		})
	case machinesDie:
		machines(func(m *simWorker, on bool) { m.die() })
		return nil
	case machinesReclaimed:
		machines(func(m *simWorker, on bool) { m.reclaimIn(f.duration) })
		return nil
	case directSlow:
		return set(func() { w.directDelay = 8 * time.Second }, func() { w.directDelay = 0 })
	case zoneIsolated, zoneIsolatedWithController:
		zone := cmp.Or(f.zone, []string{"a", "b"}[w.intn(2)])
		in := w.targets(f.target)[0]
		return set(func() {
			w.isolatedZone = zone
			w.nodes[in].inIsolatedZone = f.kind == zoneIsolatedWithController
			if w.nodes[in].inIsolatedZone {
				refuse(w.nodes[in], true)
			}
		}, func() {
			w.isolatedZone = ""
			if w.nodes[in].inIsolatedZone {
				refuse(w.nodes[in], false)
			}
			w.nodes[in].inIsolatedZone = false
		})
	case zonesSeparated:
		return set(func() { w.zonesSeparated = true }, func() { w.zonesSeparated = false })
	case cloudOutage:
		return set(func() { w.cloudUnavailable = true }, func() { w.cloudUnavailable = false })
	case heartbeatsSlow:
		return set(func() { w.heartbeatDelay = 1500 * time.Millisecond }, func() { w.heartbeatDelay = 0 })
	case directLate:
		held := delayedCommands{share: f.share, maxDelay: cmp.Or(f.maxDelay, maxCommandDelay), verb: f.verb}
		if f.target != targetAny && f.target != "" && f.target != targetAll {
			held.from = w.targets(f.target)
		}
		return set(func() { w.delayedCommands = held }, func() { w.delayedCommands = delayedCommands{} })
	case directRepeated:
		repeated := repeatedCommands{share: f.share, maxDelay: cmp.Or(f.maxDelay, maxCommandDelay)}
		return set(func() { w.repeatedCommands = repeated }, func() { w.repeatedCommands = repeatedCommands{} })
	case cloudCallsLate:
		return set(func() { w.lateCloudRate = f.share }, func() { w.lateCloudRate = 0 })
	case cancelRunningJobs:
		w.cancelLongestRunning(max(1, f.count), f.hangDuration)
		return nil
	case cancelEndingJobs:
		return set(func() { w.cancelAtEndRate = f.share }, func() { w.cancelAtEndRate = 0 })
	case invalidRequests:
		return set(func() { w.invalidRequests = true }, func() { w.invalidRequests = false })
	case concurrentReads:
		return set(func() { w.concurrentReads = true }, func() { w.concurrentReads = false })
	case leaderChanges:
		w.spawn(func() {
			for range max(1, f.count) {
				w.endAndRestart(time.Duration(50+w.intn(900))*time.Millisecond, 1, w.targets(targetLeader)...)
				time.Sleep(f.duration / time.Duration(max(1, f.count)))
			}
		})
		return nil
	}
	panic("unknown fault kind: " + f.kind)
}

// randomFault returns a fault of a random kind.
func (w *world) randomFault() fault {
	back := time.Duration(1+w.intn(12)) * time.Second
	switch w.intn(11) {
	case 0, 1:
		f := fault{kind: controllerEnds, target: []faultTarget{targetAny, targetAll}[w.intn(2)], duration: back}
		if w.intn(2) == 0 { // restarts quickly, and often ends several times
			f.duration, f.count = time.Duration(5+w.intn(300))*time.Millisecond, 1+w.intn(5)
		}
		return f
	case 2:
		return fault{kind: storeOutage, duration: back}
	case 3, 4:
		return fault{kind: storeRefusesOne, duration: 3 * back}
	case 5:
		return fault{kind: workersSeparated, duration: 4 * back}
	case 6:
		return fault{kind: machinesDie}
	case 7:
		return fault{kind: machinesHang, duration: 3 * back}
	case 8:
		return fault{kind: machinesFailTasks, duration: time.Hour}
	case 9:
		return fault{kind: machinesReclaimed, duration: 10 * time.Second}
	}
	return fault{kind: zoneIsolated, duration: 5 * back}
}

// recover ends all faults.
func (w *world) recover() {
	w.store.SetOutage(false)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faultSettings = faultSettings{txnFailureRate: w.txnFailureRate, keptHeartbeats: w.keptHeartbeats}
	w.recoveredAt = time.Now()
	w.cloudUnavailable, w.isolatedZone, w.zonesSeparated = false, "", false
	for _, n := range w.nodes {
		n.cutFromWorkers, n.cutFromPeers, n.cutFromUsers, n.inIsolatedZone, n.pausedUntil = false, false, false, false, time.Time{}
		if n.storeLink != nil {
			n.storeLink.mu.Lock()
			n.storeLink.refusing, n.storeLink.lateRate, n.storeLink.lostRate = false, 0, 0
			n.storeLink.mu.Unlock()
		}
	}
	for _, m := range w.workers {
		m.failing, m.cannotReceive, m.cannotSend = false, false, false
	}
}

// reclaimIn makes the cloud reclaim a machine after a notice; the caller holds the world's
// lock.
func (m *simWorker) reclaimIn(d time.Duration) {
	s := d.Seconds()
	m.warningS, m.changed = &s, true
	m.w.spawn(func() {
		time.Sleep(d)
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		if m.w.workers[m.id] == m {
			m.die()
			delete(m.w.workers, m.id)
		}
	})
}

// endAndRestart ends processes the given number of times and restarts each after a delay.
func (w *world) endAndRestart(delay time.Duration, times int, which ...int) {
	for _, i := range which {
		w.spawn(func() {
			for range times {
				w.kill(i)
				time.Sleep(delay)
				w.startIfDown(i)
				time.Sleep(time.Duration(w.intn(2000)) * time.Millisecond)
			}
		})
	}
}

// cancelLongestRunning makes users cancel the running jobs with the longest time left. If
// hang is positive, up to eight of their machines hang for that long.
func (w *world) cancelLongestRunning(count int, hang time.Duration) {
	w.mu.Lock()
	left := map[string]time.Duration{}
	for name, m := range w.taskWorker {
		if t := m.tasks[name]; t != nil && !w.cancelRequested[t.job.ID] {
			left[t.job.ID] = max(left[t.job.ID], time.Until(t.nextChange))
		}
	}
	ids := slices.SortedFunc(maps.Keys(left), func(a, b string) int { return cmp.Or(cmp.Compare(left[b], left[a]), cmp.Compare(a, b)) })
	ids = ids[:min(len(ids), count)]
	hungCount := 0
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		m := w.workers[id]
		affected := slices.ContainsFunc(slices.Collect(maps.Values(m.tasks)), func(t *simTask) bool { return t.active && slices.Contains(ids, t.job.ID) })
		if hang > 0 && affected && hungCount < 8 {
			hungCount++
			m.hungUntil = time.Now().Add(hang)
		}
	}
	for range ids {
		w.recordEventLocked("cancelled while it runs")
	}
	w.mu.Unlock()
	for _, id := range ids {
		w.spawn(func() {
			time.Sleep(time.Duration(w.intn(200)) * time.Millisecond)
			(&user{w: w, job: w.jobSpec(id)}).cancelUntilConfirmed()
		})
	}
}
