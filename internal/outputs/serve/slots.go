package serve

// acquireSlot acquires one of a fixed number of slots, or fails immediately. It does
// not queue requests because their callers would time out.
func acquireSlot(slots chan struct{}, kind string) (release func(), err error) {
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, nil
	default:
		return nil, overloaded(kind)
	}
}
