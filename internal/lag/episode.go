package lag

import "time"

// Transition tells what an Episode has just done.
type Transition int

// Turns of an Episode.
const (
	Unchanged Transition = iota
	Began
	Ended
)

// Episode is a time in which a figure that should be low was above its limit. The zero value has not begun.
type Episode struct {
	running bool
	longest time.Duration
}

// Update judges the figure of now by its limit.
func (e *Episode) Update(figure, limit time.Duration) Transition {
	switch above := figure > limit; {
	case above && !e.running:
		e.running = true
		e.longest = figure
		return Began
	case !above && e.running:
		e.running = false
		return Ended
	case above:
		e.longest = max(e.longest, figure)
	}
	return Unchanged
}

// Running tells whether the figure was above its limit when it was last looked at.
func (e *Episode) Running() bool { return e.running }

// Longest is the highest figure seen in the episode that runs or ran last.
func (e *Episode) Longest() time.Duration { return e.longest }
