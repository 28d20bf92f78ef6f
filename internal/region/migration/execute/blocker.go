package execute

import (
	"slices"
	"time"

	"fieldrelay/internal/region/migration/capacity"
)

// BlockReason is the reason for which a replacement or a stage waits, as operators read it.
type BlockReason string

// The reasons.
const (
	BlockNoObservation   BlockReason = "no fresh observation"
	BlockPaused          BlockReason = "paused by the operator"
	BlockTooEarly        BlockReason = "the begin of the stage has not been reached"
	BlockShortageBackoff BlockReason = "recent capacity shortage"
	BlockCapacity        BlockReason = "insufficient capacity"
	BlockLastServer      BlockReason = "last warm server of its zone"
	BlockCore            BlockReason = "the voters would not survive the fault budget, or the view has not converged"
	BlockNotStarted      BlockReason = "the new node has not started"
	BlockNotReady        BlockReason = "the new node is not ready"
	BlockUnconfirmed     BlockReason = "a proxy has not confirmed the cordon"
	BlockInFlight        BlockReason = "requests are still in flight"
	BlockNotStopped      BlockReason = "the node to be stopped is still running"
)

// stageWide, instead of the index of a task, marks a blocker of all tasks of the stage.
const stageWide = -1

// lateFactor is the multiple of the planned duration after which a phase counts as late.
const lateFactor = 3

// minLateness is the shortest time in a phase after which it counts as late.
const minLateness = 5 * time.Second

// Blocker is a reason for which a replacement, or the whole stage, waits.
type Blocker struct {
	Old, New string // IDs of the replacement's nodes; empty for the whole stage
	Reason   BlockReason
	Shortage *capacity.Shortage // shortage that causes BlockCapacity
}

// block records a blocker, unless the same one is recorded already.
func (m *Machine) block(index int, reason BlockReason, shortage *capacity.Shortage) {
	blocker := Blocker{Reason: reason, Shortage: shortage}
	if index != stageWide {
		replacement := m.replacement(index)
		blocker.Old, blocker.New = replacement.Old.ID, replacement.New.ID
	}
	if !slices.Contains(m.blockers, blocker) {
		m.blockers = append(m.blockers, blocker)
	}
}

// blockIfLate records a blocker if the phase of a task lasts much longer than planned.
func (m *Machine) blockIfLate(index int, reason BlockReason, planned time.Duration) {
	if m.now-m.enteredAt[index] > max(lateFactor*planned, minLateness) {
		m.block(index, reason, nil)
	}
}

// Blockers returns the blockers that were found in the last search for a next state.
func (m *Machine) Blockers() []Blocker { return m.blockers }

// String returns one line for operators.
func (b Blocker) String() string {
	text := string(b.Reason)
	if b.Old != "" {
		text = b.Old + ": " + text
	}
	if b.Shortage != nil {
		text += ": " + b.Shortage.String()
	}
	return text
}
