package execute

import (
	"slices"
	"time"

	"fieldrelay/internal/region/migration/capacity"
)

// BlockReason is why something waits, as the operator reads it.
type BlockReason string

// The reasons.
const (
	BlockNoObservation   BlockReason = "no fresh observation"
	BlockPaused          BlockReason = "paused by the operator"
	BlockTooEarly        BlockReason = "before its hour"
	BlockShortageBackoff BlockReason = "room was short a moment ago"
	BlockCapacity        BlockReason = "too little room"
	BlockLastServer      BlockReason = "last warm server of its zone"
	BlockCore            BlockReason = "voters would not bear the fault budget, or are not settled"
	BlockNotStarted      BlockReason = "the replacement does not start"
	BlockNotReady        BlockReason = "the replacement does not get ready"
	BlockUnconfirmed     BlockReason = "a proxy has not confirmed"
	BlockInFlight        BlockReason = "replies are still in generation"
	BlockNotStopped      BlockReason = "the retired node is still there"
)

// stageWide stands for all tasks of a stage instead of the index of one.
const stageWide = -1

// lateFactor is the multiple of its planned duration after which a phase counts as late.
const lateFactor = 3

// minLateness is the shortest time in a phase after which it counts as late.
const minLateness = 5 * time.Second

// Blocker is a reason for which a replacement, or the whole stage, waits.
type Blocker struct {
	Old, New string // ids of the replacement; empty for the whole stage
	Reason   BlockReason
	Shortage *capacity.Shortage // for BlockCapacity
}

// block records a blocker, once.
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

// blockIfLate records a blocker if a phase takes far longer than planned.
func (m *Machine) blockIfLate(index int, reason BlockReason, planned time.Duration) {
	if m.now-m.enteredAt[index] > max(lateFactor*planned, minLateness) {
		m.block(index, reason, nil)
	}
}

// Blockers returns what the run waits for at present, as of the last search for a next state.
func (m *Machine) Blockers() []Blocker { return m.blockers }

// String returns one line for an operator.
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
