package quota

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"reedtrack/internal/storage"
)

// What one shard gets of a limit of 100 is by what all want, never more than it
// wants, and without a unit it is not rounded.
func TestDivideByWants(t *testing.T) {
	limit := storage.Amount{Cores: 100}
	for _, c := range []struct{ want, all, part float64 }{{30, 90, 30}, {100, 100, 100}, {300, 400, 75}, {100, 400, 25}, {0, 0, 0}} {
		claims := []Claim{{Wanted: storage.Amount{Cores: c.want}}, {Wanted: storage.Amount{Cores: c.all - c.want}}}
		if got := Divide(limit, claims)[0].Cores; got != c.part {
			t.Errorf("wants %g of %g: %g, not %g", c.want, c.all, got, c.part)
		}
	}
}

// Three shards that have room for two and a half tasks each leave none idle, as
// happened for as long as their jobs ran.
func TestDivideWholeTasks(t *testing.T) {
	claim := func(used, wanted float64) Claim {
		return Claim{storage.Amount{Cores: used}, storage.Amount{Cores: wanted}, storage.Amount{Cores: 2}}
	}
	parts := Divide(storage.Amount{Cores: 14}, []Claim{claim(4, 10), claim(3, 9), claim(4, 12)})
	tasks := 0
	for i, used := range []float64{4, 3, 4} {
		tasks += int((parts[i].Cores - used) / 2)
	}
	if tasks != 1 {
		t.Errorf("%v: %d more tasks of two cores, there is room for one", parts, tasks)
	}
	// One task and a shard that wants nearly all: it gets its task, not 1.65 cores.
	parts = Divide(storage.Amount{Cores: 14}, []Claim{claim(0, 2), {storage.Amount{Cores: 12}, storage.Amount{Cores: 15}, storage.Amount{Cores: 3}}})
	if parts[0].Cores != 2 {
		t.Errorf("%v: the first can't start its one task", parts)
	}
}

// drawClaims draws claims, of which some use more than their part.
func drawClaims(t *rapid.T) (storage.Amount, []Claim) {
	amount := func(name string, most int) storage.Amount {
		return storage.Amount{Cores: float64(rapid.IntRange(0, most).Draw(t, name+" cores")), Cards: float64(rapid.IntRange(0, most).Draw(t, name+" cards"))}
	}
	limit := amount("limit", 60)
	left := limit
	var claims []Claim
	for range rapid.IntRange(1, 6).Draw(t, "shards") {
		c := Claim{Unit: amount("unit", 4)}
		c.Used = amount("used", 12)
		c.Used.Cores, c.Used.Cards = min(c.Used.Cores, left.Cores), min(c.Used.Cards, left.Cards)
		left.Cores, left.Cards = left.Cores-c.Used.Cores, left.Cards-c.Used.Cards
		waiting := float64(rapid.IntRange(0, 15).Draw(t, "waiting"))
		c.Wanted = storage.Amount{Cores: c.Used.Cores + waiting*c.Unit.Cores, Cards: c.Used.Cards + waiting*c.Unit.Cards}
		claims = append(claims, c)
	}
	return limit, claims
}

// tasks counts the whole tasks that a plain shard starts within its part, one at a
// time.
func tasks(c Claim, part, limit storage.Amount) int {
	n := 0
	use := c.Used
	for {
		use.Cores, use.Cards = use.Cores+c.Unit.Cores, use.Cards+c.Unit.Cards
		over := func(use, unit, part, wanted, limit float64) bool {
			return unit > 0 && (use > wanted+1e-6 || limit > 0 && use > part+1e-6)
		}
		if c.Unit == (storage.Amount{}) || over(use.Cores, c.Unit.Cores, part.Cores, c.Wanted.Cores, limit.Cores) ||
			over(use.Cards, c.Unit.Cards, part.Cards, c.Wanted.Cards, limit.Cards) {
			return n
		}
		n++
	}
}

// Parts never sum above a limit that falls short, nobody gets more than it wants, nobody starts fewer tasks than its proportional part holds, and no task
// waits though the limit has room for it: by a plain count of tasks.
func TestDivideAgainstPlainCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, claims := drawClaims(t)
		parts := Divide(limit, claims)
		var sum, all, total storage.Amount
		for i, c := range claims {
			n := float64(tasks(c, parts[i], limit))
			sum.Cores += c.Used.Cores + n*c.Unit.Cores
			sum.Cards += c.Used.Cards + n*c.Unit.Cards
			all.Cores += c.Wanted.Cores
			all.Cards += c.Wanted.Cards
			total.Cores += parts[i].Cores
			total.Cards += parts[i].Cards
			if parts[i].Cores > c.Wanted.Cores+1e-6 || parts[i].Cards > c.Wanted.Cards+1e-6 {
				t.Fatalf("shard %d gets %v of %v", i, parts[i], c.Wanted)
			}
		}
		if limit.Cores > 0 && total.Cores > limit.Cores+1e-6 || limit.Cards > 0 && total.Cards > limit.Cards+1e-6 {
			t.Fatalf("%v of %v", total, limit)
		}
		for i, c := range claims {
			n := tasks(c, parts[i], limit)
			fair := c.Wanted
			if limit.Cores > 0 && all.Cores > limit.Cores {
				fair.Cores *= limit.Cores / all.Cores
			}
			if limit.Cards > 0 && all.Cards > limit.Cards {
				fair.Cards *= limit.Cards / all.Cards
			}
			if least := tasks(c, fair, limit); n < least {
				t.Fatalf("shard %d starts %d tasks, its part holds %d", i, n, least)
			}
			more := storage.Amount{Cores: c.Used.Cores + float64(n+1)*c.Unit.Cores, Cards: c.Used.Cards + float64(n+1)*c.Unit.Cards}
			wants := c.Unit != (storage.Amount{}) && more.Cores <= c.Wanted.Cores+1e-6 && more.Cards <= c.Wanted.Cards+1e-6
			room := (limit.Cores == 0 || c.Unit.Cores == 0 || sum.Cores+c.Unit.Cores <= limit.Cores+1e-6) && (limit.Cards == 0 || c.Unit.Cards == 0 || sum.Cards+c.Unit.Cards <= limit.Cards+1e-6)
			if wants && room && reservedBy(claims, parts, limit) < 1 {
				t.Fatalf("shard %d: %v of %v, uses with what may start %v of %v, parts %v", i, c, limit, parts[i], sum, parts)
			}
		}
	})
}

// reservedBy is how much of the limit is kept for shards whose part is not a whole
// number of tasks: those of which no unit is known.
func reservedBy(claims []Claim, parts []storage.Amount, limit storage.Amount) float64 {
	kept := 0.0
	for i, c := range claims {
		if c.Unit == (storage.Amount{}) {
			kept += math.Max(0, parts[i].Cores-c.Used.Cores) + math.Max(0, parts[i].Cards-c.Used.Cards)
		}
	}
	return kept
}
