package budget

// Pressure is the level of memory pressure. Each level requires the measures of all lower levels too.
type Pressure uint8

// The levels of pressure, and the measure that each adds.
const (
	NoPressure   Pressure = iota
	TrimBuffers           // free idle buffers and pools
	CloseIdle             // close idle connections
	QueueLarge            // queue new requests with large bodies
	QueueAll              // queue all new requests, ordered by value per byte
	numPressures          // number of levels
)

// String returns the name that operators see.
func (p Pressure) String() string {
	return [numPressures]string{"calm", "trim", "idle", "large", "dear"}[p]
}

// Fractions of the capacity in use at which each level begins. A level ends when the fraction has fallen by hysteresis
// below its begin, so that the level does not change with every request.
const (
	trimAt, idleAt, largeAt, allAt = 0.5, 0.65, 0.75, 0.95
	hysteresis                     = 0.1
)

// updatePressure sets the level of pressure by the reserved bytes and the queue.
func (l *Ledger) updatePressure() {
	used := float64(l.sum()) / float64(max(l.capacity(), 1))
	if len(l.requests) > 0 {
		used = max(used, largeAt)
		if !l.requests[len(l.requests)-1].isLarge() || !l.requests[0].isLarge() {
			used = max(used, allAt)
		}
	}
	begin := [numPressures]float64{0, trimAt, idleAt, largeAt, allAt}
	for l.pressure < QueueAll && used >= begin[l.pressure+1] {
		l.pressure++
	}
	for l.pressure > NoPressure && used < begin[l.pressure]-hysteresis {
		l.pressure--
	}
}
