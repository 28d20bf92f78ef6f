package lag

import "time"

// Transition is the effect of an update on an Episode.
type Transition int

const (
	// Unchanged means that the update neither began nor ended an episode.
	Unchanged Transition = iota
	// Began means that the value has risen above the threshold.
	Began
	// Ended means that the value has fallen to or below the threshold.
	Ended
)

// Episode tracks the periods in which a value, such as a lag, exceeds a threshold. In the zero value no episode is
// running. An Episode is not safe for concurrent use.
type Episode struct {
	running bool
	peak    time.Duration
}

// Update compares the current value with the threshold, and reports whether an episode began or ended. A value equal to
// the threshold does not exceed it.
func (e *Episode) Update(value, threshold time.Duration) Transition {
	switch above := value > threshold; {
	case above && !e.running:
		e.running = true
		e.peak = value
		return Began
	case !above && e.running:
		e.running = false
		return Ended
	case above:
		e.peak = max(e.peak, value)
	}
	return Unchanged
}

// Peak returns the highest value in the running episode, or in the previous one if none is running.
func (e *Episode) Peak() time.Duration { return e.peak }
