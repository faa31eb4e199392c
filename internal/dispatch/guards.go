package dispatch

// DisabledGuards is a set of safeguards that a test disables to verify that it detects
// their absence. Production code always passes 0.
type DisabledGuards uint8

// Safeguards that a test can disable.
const (
	WithoutBinding         DisabledGuards = 1 << iota // a start without a response binds its task
	WithoutDeferredClear                              // an attempt is not cleared while a copy of its start may arrive
	WithoutStartBeforeStop                            // the stop of an attempt that the worker may not have received is sent after its start
	WithoutRepeats                                    // the start of an answered message may arrive again
	WithoutFence                                      // a retained attempt is released only under a newer token
	WithoutResponseOrder                              // a response to a direct message doesn't determine the outcome of the response to a heartbeat
)

func (d DisabledGuards) has(guard DisabledGuards) bool { return d&guard != 0 }
