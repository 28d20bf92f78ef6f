package httpapi

// Slots bounds how many calls are open at a time; it holds a token for each. It is safe for concurrent use.
type Slots chan struct{}

// NewSlots returns slots for a number of calls.
func NewSlots(count int) Slots { return make(Slots, count) }

// TryAcquire acquires a slot if one is free.
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
