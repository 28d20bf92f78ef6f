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

// HoldReason is why something waits.
type HoldReason string

// The reasons.
const (
	HoldBlind       HoldReason = "no fresh observation"
	HoldPaused      HoldReason = "paused by the operator"
	HoldEarly       HoldReason = "before its hour"
	HoldCalm        HoldReason = "room was short a moment ago"
	HoldRoom        HoldReason = "too little room"
	HoldLast        HoldReason = "last warm server of its zone"
	HoldCore        HoldReason = "voters would not bear the fault budget, or are not settled"
	HoldNotStarted  HoldReason = "the replacement does not start"
	HoldNotReady    HoldReason = "the replacement does not get ready"
	HoldUnconfirmed HoldReason = "a proxy has not confirmed"
	HoldBusy        HoldReason = "replies are still in generation"
	HoldNotStopped  HoldReason = "the retired node is still there"
)

// noTask stands for the whole stage.
const noTask = -1

// lateAfter is the multiple of the planned time after which a phase counts as late.
const lateAfter = 3

// shortestLate is the least time after which a phase counts as late.
const shortestLate = 5 * time.Second

// Hold is something that waits.
type Hold struct {
	Old, New string // ids of the replacement; empty for the whole stage
	Reason   HoldReason
	Shortage *room.Shortage // for HoldRoom
}

func (m *Machine) hold(index int, reason HoldReason, shortage *room.Shortage) {
	hold := Hold{Reason: reason, Shortage: shortage}
	if index != noTask {
		replacement := m.replacement(index)
		hold.Old, hold.New = replacement.Old.ID, replacement.New.ID
	}
	if !slices.Contains(m.holds, hold) {
		m.holds = append(m.holds, hold)
	}
}

// holdIfLate tells that a phase takes far longer than planned.
func (m *Machine) holdIfLate(index int, reason HoldReason, planned time.Duration) {
	if m.now-m.entered[index] > max(lateAfter*planned, shortestLate) {
		m.hold(index, reason, nil)
	}
}

// Holds lists what waits at present and why.
func (m *Machine) Holds() []Hold { return m.holds }

// WriteProgress writes how far a run is and what it waits for, for a person at a terminal. state is nil before the
// first was stored.
func WriteProgress(output io.Writer, made *plan.Plan, state *State, holds []Hold) error {
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
	for _, hold := range holds {
		fmt.Fprintf(text, "  waits: %s\n", hold)
	}
	_, err := io.WriteString(output, text.String())
	return err
}

func (h Hold) String() string {
	text := string(h.Reason)
	if h.Old != "" {
		text = h.Old + ": " + text
	}
	if h.Shortage != nil {
		text += ": " + h.Shortage.String()
	}
	return text
}
