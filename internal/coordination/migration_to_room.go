package coordination

import (
	"log/slog"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/placement"
	"reedtrack/internal/storage"
)

// A job waits in a shard that has no room for it, while another shard has: on
// machines that its own tasks don't take, or can't, for want of a share. A
// machine with tasks on it can't go to the job, so the job goes to the machine,
// by the same write as every migration (job_migration.go). This file only
// selects which job, and where to.
//
// A job with tasks that run can't migrate. It leaves in two steps: none of its
// tasks is placed in its shard any more, and once the last attempt has ended it
// migrates. It does so only if that will be soon, and stays if it is not.

const (
	// roomCheckInterval is how often jobs are looked at, and so the least time
	// between two jobs that leave a shard for room in another: room shows in a
	// status only after the job that took it has arrived and was placed.
	roomCheckInterval = 4 * statusInterval
	// roomMigrationHeartbeats is for how many heartbeat intervals a job has to have
	// waited: what a task that ends leaves shows within one.
	roomMigrationHeartbeats = 2
	// leavingHeartbeats is the same for a job with tasks that run, which is held
	// back before it migrates.
	leavingHeartbeats = 4
	// maxLeavingHeartbeats is for how many heartbeat intervals a job is held back at
	// most.
	maxLeavingHeartbeats = 18
)

// roomElsewhere is the room that jobs of one shard may go to, as it is known at
// one time.
type roomElsewhere struct {
	node  *Node
	own   *shard                       // the jobs' own
	rooms []shardRoom                  // of the other shards
	usage map[string]storage.Resources // of all shards, by team
}

// shardRoom is the room of one shard.
type shardRoom struct {
	shard int
	rooms []machineRoom
}

// selectMigrationToRoom selects a job for which its shard has had no room for a
// while though another shard has some now, the one that would be placed first
// first.
func (n *Node) selectMigrationToRoom(s *shard, now time.Time) (*job, int) {
	if now.Sub(s.roomCheckedAt) < roomCheckInterval {
		return nil, 0
	}
	s.roomCheckedAt = now
	room := n.roomElsewhere(s, now)
	n.updateLeaving(s, room, now)
	if len(room.rooms) == 0 {
		return nil, 0
	}
	for _, j := range s.jobs {
		if j.isLeaving() && n.canMigrate(s, j, now) {
			if target, reason := room.selectFor(j); reason == stayNot {
				return j, target
			}
		}
	}
	for _, j := range s.queue {
		if j.hasWaitedFor(n.heartbeats(roomMigrationHeartbeats), now) && n.canMigrate(s, j, now) {
			if target, reason := room.selectFor(j); reason == stayNot {
				return j, target
			}
		}
	}
	return nil, 0
}

// roomElsewhere returns the room of the shards other than the given one, as far
// as it is known of late and their holders have processor time to spare.
func (n *Node) roomElsewhere(s *shard, now time.Time) *roomElsewhere {
	room := &roomElsewhere{node: n, own: s, usage: n.teamUsage()}
	add := func(index int, rooms []machineRoom) {
		if index != s.index && len(rooms) > 0 && !n.isHolderOverloaded(index) {
			room.rooms = append(room.rooms, shardRoom{index, rooms})
		}
	}
	for i := range n.operator.Shards {
		if other := n.shards[i]; other != nil {
			add(i, other.room)
		}
	}
	for status := range n.recentRemoteShards(now) {
		add(status.Index, status.Room)
	}
	return room
}

// heartbeats returns how long so many heartbeat intervals of the workers are.
func (n *Node) heartbeats(count int) time.Duration {
	return time.Duration(count) * config.Seconds(n.settings.Deployment.Workers.ReportS)
}

// hasWaitedFor reports whether tasks of the job have been without a machine for
// so long.
func (j *job) hasWaitedFor(duration time.Duration, now time.Time) bool {
	return !j.unplacedSince.IsZero() && now.Sub(j.unplacedSince) >= duration
}

// updateLeaving selects the jobs that are held back to leave the shard for room
// in another, and lets those stay that have no reason to go any more.
func (n *Node) updateLeaving(s *shard, room *roomElsewhere, now time.Time) {
	patience, maxHold := n.heartbeats(leavingHeartbeats), n.heartbeats(maxLeavingHeartbeats)
	for _, j := range s.jobs {
		if !j.isLeaving() && !j.mayLeave(patience, maxHold, now) {
			continue
		}
		target, reason := room.selectFor(j)
		switch {
		case !j.isLeaving() && reason == stayNot:
			j.leavingUntil = now.Add(maxHold)
			slog.Info("job leaving for room in another shard", "job", j.id, "from_shard", s.index, "to_shard", target, "running", len(j.attempts))
		case j.isLeaving() && reason != stayNot:
			j.stay(reason, now)
		case j.isLeaving() && now.After(j.leavingUntil):
			j.stay(stayTasksRun, now)
		}
	}
}

// stayReason says why a job stays in its shard.
type stayReason string

const (
	stayNot         stayReason = ""              // it does not: it goes to room in another shard
	stayGang        stayReason = "gang"          // whether all its tasks find room elsewhere is not known
	stayNoRoom      stayReason = "no room"       // no other shard has any for it
	stayOwnRoom     stayReason = "own room"      // its own shard takes as many of its tasks
	stayTeamAtLimit stayReason = "team at limit" // no shard would start it
	stayTasksRun    stayReason = "tasks run"     // it was held back, and its attempts did not end in time
)

// stay ends holding the job back. It counts as waiting anew.
func (j *job) stay(reason stayReason, now time.Time) {
	slog.Debug("job stays", "job", j.id, "reason", reason, "running", len(j.attempts))
	j.leavingUntil, j.unplacedSince = time.Time{}, now
}

// isLeaving reports whether the job is held back until its attempts have ended.
func (j *job) isLeaving() bool { return !j.leavingUntil.IsZero() }

// mayLeave reports whether a job with tasks that run has waited for long enough
// to be held back, and its attempts are to end within the time for which it
// would be.
func (j *job) mayLeave(patience, maxHold time.Duration, now time.Time) bool {
	if len(j.attempts) == 0 || j.pendingTasks() == 0 || !j.isStartable() || j.spec.IsGang() || j.spec.IsService() {
		return false
	}
	if !j.hasWaitedFor(patience, now) {
		return false
	}
	for _, attempt := range j.attempts {
		left := j.spec.EstimatedSeconds - attempt.secondsRunning(now)
		if config.Seconds(left) > maxHold {
			return false
		}
	}
	return true
}

// selectFor selects the shard with the most room for a job, or says why it stays.
func (r *roomElsewhere) selectFor(j *job) (target int, reason stayReason) {
	if j.spec.IsGang() && j.spec.Tasks > 1 {
		return 0, stayGang
	}
	var selected shardRoom
	most := 0.0
	for _, other := range r.rooms {
		if room, fits := j.roomIn(other.rooms); fits && room > most {
			selected, most = other, room
		}
	}
	switch {
	case most == 0:
		return 0, stayNoRoom
	case r.ownShardTakes(j, selected.rooms):
		return 0, stayOwnRoom
	case !r.node.isWithinLimit(j, r.usage):
		return 0, stayTeamAtLimit
	}
	return selected.shard, stayNot
}

// ownShardTakes reports whether a job's own shard has room for it, so that it
// waits for nothing but a share of its team's quota, or not for long.
//
// A job that is held back gets none of that room, and its own tasks free some as
// they end. It stays for it only if that takes as many of its waiting tasks as
// the room elsewhere: otherwise the first task that ends would keep the job here,
// and so on with each task that is placed in its stead.
func (r *roomElsewhere) ownShardTakes(j *job, elsewhere []machineRoom) bool {
	if j.isLeaving() {
		wanted := min(j.pendingTasks(), j.tasksIn(elsewhere))
		return r.own.countRoomFor(j, wanted) >= wanted
	}
	if j.waitReason == waitsForMachine {
		return false // the last plan has found no machine that may have one of its tasks
	}
	_, hasRoom := j.roomIn(r.own.room)
	return hasRoom
}

// countRoomFor counts the waiting tasks of a job that the shard's machines have
// room for, up to so many.
func (s *shard) countRoomFor(j *job, wanted int) int {
	count := 0
	for _, m := range s.sortedMachines() {
		if count >= wanted {
			break
		}
		if free := m.freeCapacity(); free.Fits(j.need) && j.canPlaceOn(m) {
			count += free.CountFitting(j.need)
		}
	}
	return min(count, wanted)
}

// tasksIn counts the tasks of the job that find room on these machines.
func (j *job) tasksIn(rooms []machineRoom) int {
	count := 0
	for _, room := range rooms {
		if room.Free.Fits(j.need) && j.allows(room.Kind.MachineType, room.Kind.Zone, room.Kind.Spot) {
			count += room.Free.CountFitting(j.need)
		}
	}
	return count
}

// isWithinLimit reports whether a team that uses so much may run one more task
// of a job.
func (n *Node) isWithinLimit(j *job, usage map[string]storage.Resources) bool {
	more := storage.Resources{Cores: j.need[placement.Cores], GPUs: j.need[placement.GPUs]}
	total, limit := addAmounts(usage[j.spec.Team], more), n.teams[j.spec.Team].limit
	return isWithin(total.Cores, limit.Cores) && isWithin(total.GPUs, limit.GPUs)
}

// roomIn returns the free cores of the machine among these that has the most and
// room for one task of the job; false if none has room.
func (j *job) roomIn(rooms []machineRoom) (most float64, ok bool) {
	for _, room := range rooms {
		if room.Free.Fits(j.need) && j.allows(room.Kind.MachineType, room.Kind.Zone, room.Kind.Spot) {
			most, ok = max(most, room.Free[placement.Cores]), true
		}
	}
	return most, ok
}
