package policy

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestShouldPreempt(t *testing.T) {
	inf := math.Inf(1)
	for _, c := range []struct {
		name string
		p    Preemptor
		want bool
	}{
		{"within quota, tasks may end in time", Preemptor{WithinMinQuota: true, Waited: 4, HeartbeatInterval: 5, StartObjective: 15, Slack: inf}, false},
		{"within quota, can meet the objective", Preemptor{WithinMinQuota: true, Waited: 6, HeartbeatInterval: 5, StartObjective: 15, Slack: inf}, true},
		{"within quota, has missed the objective", Preemptor{WithinMinQuota: true, Waited: 16, HeartbeatInterval: 5, StartObjective: 15, Slack: inf}, false},
		{"within quota, has waited for long", Preemptor{WithinMinQuota: true, Waited: 61, HeartbeatInterval: 5, StartObjective: 15, Slack: inf}, true},
		{"within quota, no objective", Preemptor{WithinMinQuota: true, Waited: 11, HeartbeatInterval: 5, Slack: inf}, true},
		{"urgent, has slack", Preemptor{Urgency: minUrgent, Waited: 60, HeartbeatInterval: 5, Slack: 25}, false},
		{"urgent, about to be late", Preemptor{Urgency: minUrgent, Waited: 60, HeartbeatInterval: 5, Slack: 15}, true},
		{"urgent, late", Preemptor{Urgency: minUrgent, Waited: 60, HeartbeatInterval: 5, Slack: -1}, false},
		{"urgent, no deadline", Preemptor{Urgency: minUrgent, Waited: 21, HeartbeatInterval: 5, Slack: inf}, true},
		{"highest urgency, no deadline", Preemptor{Urgency: maxUrgent, HeartbeatInterval: 5, Slack: inf}, true},
		{"not urgent, about to be late", Preemptor{Urgency: minUrgent - 1, Waited: 60, HeartbeatInterval: 5, Slack: 15}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.p.ShouldPreempt(); got != c.want {
				t.Errorf("%+v: %v, want %v", c.p, got, c.want)
			}
		})
	}
}

// Work within a minimum quota preempts work below the urgent level, and any work once it is
// long overdue.
func TestMinQuotaPreemptsByUrgency(t *testing.T) {
	for _, c := range []struct {
		name    string
		urgency int
		waited  float64
		want    bool
	}{
		{"lowest urgency", 0, 10, true},
		{"just below urgent", minUrgent - 1, 10, true},
		{"urgent", minUrgent, 10, false},
		{"urgent, overdue", minUrgent, 100, false},
		{"urgent, long overdue", minUrgent, 130, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := Preemptor{Urgency: 0, WithinMinQuota: true, Waited: c.waited, HeartbeatInterval: 5, StartObjective: 15, Slack: math.Inf(1)}
			if p.CanPreempt(RunningTask{Urgency: c.urgency, BeyondMinQuota: true}) != c.want {
				t.Errorf("%+v", c)
			}
			if p.CanPreempt(RunningTask{Urgency: c.urgency, BeyondMinQuota: true, WithinMinQuota: true}) {
				t.Error("preempts a task of another team within its minimum quota")
			}
		})
	}
}

// There are no preemption cycles: no two tasks can preempt each other unless a minimum
// quota is involved, and no task is preempted more than MaxPreemptions times.
func TestPreemptionHasNoCircles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) RunningTask {
			return RunningTask{
				Urgency:         rapid.IntRange(0, maxUrgent).Draw(t, name),
				WithinMinQuota:  rapid.Bool().Draw(t, "within"),
				BeyondMinQuota:  rapid.Bool().Draw(t, "beyond"),
				BelowMinService: rapid.Bool().Draw(t, "below"),
			}
		}
		a, b := draw("a"), draw("b")
		preempts := func(x, y RunningTask) bool {
			return Preemptor{Urgency: x.Urgency, WithinMinQuota: x.WithinMinQuota}.CanPreempt(y)
		}
		if preempts(a, b) && preempts(b, a) && !(a.WithinMinQuota || b.WithinMinQuota) {
			t.Fatalf("%+v and %+v preempt each other", a, b)
		}
		if a.WithinMinQuota && !b.WithinMinQuota && preempts(b, a) {
			t.Fatalf("%+v preempts %+v, which is within its minimum quota", b, a)
		}
		if b.Preemptions = MaxPreemptions; preempts(a, b) {
			t.Fatalf("%+v preempts %+v more than MaxPreemptions times", a, b)
		}
	})
}

// Guards against urgent tasks that are preempted first because they have just started: less
// urgent tasks are preempted first, even if they have run longer by up to the overhead of a
// start.
func TestPreemptionCostRisesWithUrgency(t *testing.T) {
	tasks := []RunningTask{{Urgency: minUrgent, LostSeconds: 1, Cores: 1}, {Urgency: 0, LostSeconds: 9, Cores: 1}, {Urgency: 1, LostSeconds: 3, Cores: 1}}
	slices.SortFunc(tasks, func(a, b RunningTask) int { return int(a.PreemptionCost() - b.PreemptionCost()) })
	if tasks[0].Urgency != 0 || tasks[2].Urgency != minUrgent {
		t.Errorf("preempted in the order %+v", tasks)
	}
}

// The loss for a task must not exceed its work, nor its work weighted by urgency.
func TestIsWorthLoss(t *testing.T) {
	withinQuota, urgent := Preemptor{WithinMinQuota: true}, Preemptor{Urgency: minUrgent}
	twoTasks := 2 * RunningTask{Urgency: 1, LostSeconds: 10, Cores: 2}.PreemptionCost() // 180
	for _, c := range []struct {
		name                        string
		p                           Preemptor
		taskWork, lostWork, victims float64
		want                        bool
	}{
		{"more work than the victims cost", withinQuota, 200, 44, twoTasks, true},
		{"less work than the victims cost", withinQuota, 150, 44, twoTasks, false},
		{"urgent, loses more than its work", urgent, 40, 44, 10, false},
		{"urgent, its work counts five times", urgent, 50, 44, twoTasks, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.p.IsWorthLoss(c.taskWork, c.lostWork, c.victims) != c.want {
				t.Errorf("%+v", c)
			}
		})
	}
}
