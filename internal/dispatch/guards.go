package dispatch

// DisabledGuards is a set of safeguards that a test leaves out, to show that it
// notices their absence. The program always passes 0.
type DisabledGuards uint8

// Safeguards that a test can leave out.
const (
	WithoutBinding         DisabledGuards = 1 << iota // a start without a response binds its task
	WithoutDeferredClear                              // an attempt is not cleared while a copy of its start may arrive
	WithoutStartBeforeStop                            // a stop of an attempt that the worker may not know goes out after its start
	WithoutResponseOrder                              // a response to a direct message doesn't tell what the response to a heartbeat has done
)

func (d DisabledGuards) has(guard DisabledGuards) bool { return d&guard != 0 }
