package emulator

import (
	"time"

	"reedtrack/internal/protocol"
)

const (
	// serviceRunTime is how long a task of a service sleeps.
	serviceRunTime = 24 * time.Hour
	// causeUnknownJob is the exit cause of a task whose job was not described to the fleet.
	causeUnknownJob = "no_such"
)

// task is a task attempt on a machine, guarded by Fleet.mu.
type task struct {
	report protocol.TaskStatus
	kill   func() // ends the attempt immediately
}

// execute executes a command. Repeated commands have no effect. The caller holds
// fleet.mu.
func (w *worker) execute(command protocol.Command) {
	t := w.tasks[command.Task]
	switch command.Verb {
	case protocol.VerbStart:
		if t == nil {
			w.startTask(command)
		}
	case protocol.VerbStop:
		if t != nil && t.report.Attempt == command.Attempt && t.report.State == protocol.Running {
			t.kill()
			t.report.State, t.report.Cause = protocol.Exited, protocol.CauseStopped
			w.wake()
		}
	case protocol.VerbClear:
		if t != nil && t.report.Attempt == command.Attempt && t.report.State == protocol.Exited {
			delete(w.tasks, command.Task)
		}
	}
}

// startTask starts an attempt. It runs the job's command if there is one and the fleet has
// a Runner, and sleeps otherwise. The caller holds fleet.mu.
func (w *worker) startTask(command protocol.Command) {
	jobID, index, _ := protocol.ParseTaskName(command.Task)
	t := &task{
		report: protocol.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: protocol.Running},
		kill:   func() {},
	}
	w.tasks[command.Task] = t
	w.fleet.starts[command.Task]++
	job := w.fleet.jobs[jobID]
	if job == nil {
		t.report.State, t.report.Cause = protocol.Exited, causeUnknownJob
		w.wake()
		return
	}
	ended := func(cause string) { w.taskEnded(t, cause) }
	if c := w.fleet.commands[jobID]; w.fleet.Runner != nil && len(c.Command) > 0 {
		t.kill = w.fleet.Runner.start(attemptSpec{
			Job:     job,
			Task:    index,
			Attempt: command.Attempt,
			Machine: w.id,
			Session: w.session,
			Command: c,
		}, ended)
		return
	}
	runTime := time.Duration(job.EstimatedSeconds * float64(time.Second))
	if job.IsService() {
		runTime = serviceRunTime
	}
	timer := time.AfterFunc(runTime, func() { ended(protocol.CauseDone) })
	t.kill = func() { timer.Stop() }
}

// taskEnded records that an attempt has ended, unless it was stopped before.
func (w *worker) taskEnded(t *task, cause string) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if t.report.State == protocol.Running {
		t.report.State, t.report.Cause = protocol.Exited, cause
		w.wake()
	}
}

// killTasks kills all tasks. The caller holds fleet.mu.
func (w *worker) killTasks() {
	for _, t := range w.tasks {
		t.kill()
	}
	w.tasks = map[string]*task{}
}
