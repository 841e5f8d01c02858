package ring

// Signal tells a goroutine that state which it watches has changed. Signals that the goroutine has not received yet are
// merged into one, so Raise never blocks. Unlike a ring, a signal carries no item: the receiver reads the state itself.
type Signal chan struct{}

// NewSignal returns a signal that is not raised.
func NewSignal() Signal { return make(Signal, 1) }

// Raise wakes the receiver at once or when it receives from the signal next. It does not block.
func (s Signal) Raise() {
	select {
	case s <- struct{}{}:
	default: // raised already
	}
}
