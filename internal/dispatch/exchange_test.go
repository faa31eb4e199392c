package dispatch

import (
	"testing"

	"pgregory.net/rapid"
)

// Regardless of delayed, lost and abandoned messages, every attempt that a message in flight
// may start is one that its holder considers placed.
func TestNoStartArrivesUnexpectedly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if task := runRandomEvents(t, 0); task != "" {
			t.Fatalf("task %s may start unexpectedly", task)
		}
	})
}

// If either guard is disabled, the model detects a start that its holder does not expect.
func TestModelFindsMissingGuards(t *testing.T) {
	for name, disabled := range map[string]DisabledGuards{"binding": WithoutBinding, "memory": WithoutDeferredClear, "repeats": WithoutRepeats, "fence": WithoutFence} {
		t.Run(name, func(t *testing.T) {
			for seed := range 20000 {
				task := ""
				rapid.Custom(func(t *rapid.T) bool { task = runRandomEvents(t, disabled); return true }).Example(seed)
				if task != "" {
					return
				}
			}
			t.Error("no unexpected start found")
		})
	}
}
