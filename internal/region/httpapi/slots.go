package httpapi

// Slots is a semaphore that bounds the number of concurrent calls: the channel has one element for each open call. It is
// safe for concurrent use.
type Slots chan struct{}

// NewSlots returns the slots for at most count concurrent calls.
func NewSlots(count int) Slots { return make(Slots, count) }

// TryAcquire acquires a slot if one is free, and reports whether it did. It does not block.
func (s Slots) TryAcquire() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

// Release returns a slot that TryAcquire acquired.
func (s Slots) Release() { <-s }
