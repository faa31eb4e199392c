package coordination

import (
	"log/slog"
	"math"
	"time"

	"reedtrack/internal/clusterstate"
	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/session"
	"reedtrack/internal/storage"
	"reedtrack/internal/transport"
)

// onSync records that the local copy of the records contains everything committed
// before sentAt.
func (n *Node) onSync(sentAt time.Time) {
	n.mu.Lock()
	n.records.MarkSynced(sentAt)
	n.mu.Unlock()
	n.wakeLoops()
}

// applyAll applies changes of the store's live records under one lock, so that
// a transaction on several records becomes visible atomically.
func (n *Node) applyAll(batch []protocol.Change) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, change := range n.records.Apply(batch) {
		n.handleChange(change)
	}
	n.checkOwnKey()
	n.syncShards()
	n.resolveDependencies()
}

// handleChange applies the consequences of one record change.
func (n *Node) handleChange(change clusterstate.Change) {
	switch change := change.(type) {
	case clusterstate.ControllerChange:
		if n.session.histories[change.Name] == nil {
			n.session.histories[change.Name] = &session.History{}
		}
		n.session.histories[change.Name].Observe(change.Session)
		n.heartbeatProxy.wakeWaitingHeartbeats()
	case clusterstate.JobChange:
		n.updateJob(change)
	case clusterstate.GrantChange:
		n.updateGrant(change)
	case clusterstate.FenceChange:
		n.applyFences(change)
	case clusterstate.ShardFenceChange:
		n.applyShardFence(change.Shard)
	case clusterstate.VersionMarkerChange:
		transport.UpgradedControllers.Set(float64(len(n.records.VersionMarkers)))
	case clusterstate.SchemaChange:
		if change.Completed {
			slog.Info("schema upgrade completed: every controller runs the new version", "schema_version", change.Version)
		}
		transport.RecordSchemaVersion.Set(float64(max(change.Version, storage.SchemaWhole)))
	case clusterstate.UnreadableRecord:
		slog.Error("record unreadable", "key", change.Key, "err", change.Err)
	}
}

// updateGrant applies a changed grant to its shard, if this controller holds
// it.
func (n *Node) updateGrant(change clusterstate.GrantChange) {
	s := n.shards[change.Shard]
	if s == nil {
		return
	}
	shares := s.shares
	s.setGrant(change.Grant, n.records.MachineSize, n.now())
	if !change.HeadChanged {
		// Only the machine leases have changed. A write that lowers the
		// shares may still be in flight, so only a newer head raises them.
		s.shares = shares
	}
}

// updateJob applies a changed job to the shards that this controller holds.
func (n *Node) updateJob(change clusterstate.JobChange) {
	previous, current := change.Previous, change.Current
	if current == nil {
		n.recordServiceLevel(previous)
		if s := n.shards[previous.Record.Shard]; s != nil {
			s.endJob(change.ID)
			s.dirty = true
		}
		return
	}
	if previous != nil && previous.Record.Shard != current.Record.Shard {
		if s := n.shards[previous.Record.Shard]; s != nil {
			s.endJob(change.ID) // moved to another shard: none of its tasks is placed here
		}
	}
	if s := n.shards[current.Record.Shard]; s != nil {
		s.addJob(n.newJobWithDone(current, change.Done))
	}
}

// isOwnSession reports whether a record names this controller's present
// session.
func (n *Node) isOwnSession(controller storage.Controller) bool {
	return controller.Name == n.settings.HostName && controller.Session == n.session.id && n.session.id != 0
}

// syncShards acquires and releases shards to match the records.
func (n *Node) syncShards() {
	for i := range n.records.Shards {
		n.acquireOrReleaseShard(i)
	}
}

// acquireOrReleaseShard acquires or releases one shard to match its record.
func (n *Node) acquireOrReleaseShard(i int) {
	record, ok := n.records.Shards[i]
	held := n.shards[i]
	if !ok || !n.isOwnSession(record.Value.Holder) {
		if held != nil {
			slog.Info("shard released", "shard", i, "fencing_token", held.fencingToken)
			delete(n.shards, i)
		}
		return
	}
	if held != nil && held.revision == record.Revision {
		return
	}
	grant, ok := n.records.Grants[i]
	if !ok || n.records.MachineTypes == nil {
		return
	}
	s := newShard(i, record.Value, record.Revision, n.now())
	s.guards = n.guards
	s.unreadable, s.latency = n.records.UnreadableJobs, n.latency
	s.setGrant(grant.Value, n.records.MachineSize, n.now())
	for _, jr := range n.records.Jobs {
		if jr.Record.Shard == i {
			s.addJob(n.newJob(jr))
		}
	}
	s.reconciled = false
	s.updateReconciled()
	n.shards[i] = s
	n.applyShardFence(i)
	n.heartbeatProxy.wakeWaitingHeartbeats()
	slog.Info("shard acquired", "shard", i, "fencing_token", s.fencingToken, "machine_count", len(s.machines), "jobs", len(s.jobs))
}

// newJob returns a job built from its record, without attempts.
func (n *Node) newJob(jr *clusterstate.JobRecord) *job {
	done, _ := n.records.DoneTasks(jr)
	return n.newJobWithDone(jr, done)
}

// newJobWithDone returns a job with the given completed tasks.
func (n *Node) newJobWithDone(jr *clusterstate.JobRecord, done storage.IndexSet) *job {
	spec := jr.Record.Spec
	j := &job{
		id:            spec.ID,
		spec:          spec,
		revision:      jr.Revision,
		shard:         jr.Record.Shard,
		submittedMS:   jr.Record.AcceptedAtMS,
		receivedAt:    n.now(),
		submittedAt:   n.monotonicTime(jr.Record.AcceptedAtMS),
		taskResources: placement.Resources{spec.Cores, spec.GPUs, spec.MemoryGB},
		done:          done,
		savedCount:    done.Len(),
		urgency:       spec.PriorityLevel(),
		deadlineMS:    math.Inf(1),
		blocked:       len(spec.DependsOn) > 0, // until the end records of its dependencies have been read
	}
	if spec.DeadlineSeconds != nil {
		j.deadlineMS = float64(jr.Record.AcceptedAtMS) + 1000**spec.DeadlineSeconds
	}
	if len(spec.MachineTypes) > 0 {
		j.machineTypes = map[string]bool{}
		for _, name := range spec.MachineTypes {
			j.machineTypes[name] = true
		}
	}
	return j
}

// monotonicTime converts Unix milliseconds into a time of the monotonic clock.
// The wall clock may be stepped, so it is used only to measure the age of the
// record.
func (n *Node) monotonicTime(ms int64) time.Time {
	now := n.now()
	return now.Add(min(0, time.Duration(ms-now.UnixMilli())*time.Millisecond))
}
