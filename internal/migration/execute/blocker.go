package execute

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"fieldrelay/internal/migration/plan"
	"fieldrelay/internal/migration/room"
)

// BlockReason is why something waits.
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

// wholeStage stands for the whole stage.
const wholeStage = -1

// lateFactor is the multiple of the planned time after which a phase counts as late.
const lateFactor = 3

// minLateness is the least time after which a phase counts as late.
const minLateness = 5 * time.Second

// Blocker is something that waits.
type Blocker struct {
	Old, New string // ids of the replacement; empty for the whole stage
	Reason   BlockReason
	Shortage *room.Shortage // for BlockCapacity
}

func (m *Machine) block(index int, reason BlockReason, shortage *room.Shortage) {
	hold := Blocker{Reason: reason, Shortage: shortage}
	if index != wholeStage {
		replacement := m.replacement(index)
		hold.Old, hold.New = replacement.Old.ID, replacement.New.ID
	}
	if !slices.Contains(m.blockers, hold) {
		m.blockers = append(m.blockers, hold)
	}
}

// blockIfLate tells that a phase takes far longer than planned.
func (m *Machine) blockIfLate(index int, reason BlockReason, planned time.Duration) {
	if m.now-m.enteredAt[index] > max(lateFactor*planned, minLateness) {
		m.block(index, reason, nil)
	}
}

// Blockers lists what waits at present and why.
func (m *Machine) Blockers() []Blocker { return m.blockers }

// WriteProgress writes how far a run is and what it waits for, for a person at a terminal. state is nil before the
// first was stored.
func WriteProgress(output io.Writer, made *plan.Plan, state *State, blockers []Blocker) error {
	text := &strings.Builder{}
	if state == nil {
		text.WriteString("not begun\n")
	} else {
		stages := len(made.Stages)
		fmt.Fprintf(text, "%s: stage %d of %d\n", state.Outcome, min(state.Stage+1, stages), stages)
		for index, task := range state.Tasks {
			replacement := &made.Stages[state.Stage].Replacements[index]
			fmt.Fprintf(text, "  %-12s %s -> %s\n", task.Phase, replacement.Old.ID, replacement.New.ID)
		}
	}
	for _, hold := range blockers {
		fmt.Fprintf(text, "  waits: %s\n", hold)
	}
	_, err := io.WriteString(output, text.String())
	return err
}

func (h Blocker) String() string {
	text := string(h.Reason)
	if h.Old != "" {
		text = h.Old + ": " + text
	}
	if h.Shortage != nil {
		text += ": " + h.Shortage.String()
	}
	return text
}
