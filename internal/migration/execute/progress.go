package execute

import (
	"fmt"
	"io"
	"time"

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
	m.holds = append(m.holds, hold)
}

// holdIfLate tells that a phase takes far longer than planned.
func (m *Machine) holdIfLate(index int, reason HoldReason, planned time.Duration) {
	if m.now-m.entered[index] > max(lateAfter*planned, shortestLate) {
		m.hold(index, reason, nil)
	}
}

// Holds lists what waits at present and why.
func (m *Machine) Holds() []Hold { return m.holds }

// WriteProgress writes how far a run is, for a person at a terminal.
func (m *Machine) WriteProgress(output io.Writer) error {
	if m.state == nil {
		_, err := fmt.Fprintln(output, "not begun")
		return err
	}
	stages := len(m.config.Plan.Stages)
	_, err := fmt.Fprintf(output, "%s: stage %d of %d\n", m.state.Outcome, min(m.state.Stage+1, stages), stages)
	if err != nil {
		return err
	}
	for index, task := range m.state.Tasks {
		replacement := m.replacement(index)
		_, err = fmt.Fprintf(output, "  %-12s %s -> %s\n", task.Phase, replacement.Old.ID, replacement.New.ID)
		if err != nil {
			return err
		}
	}
	for _, hold := range m.holds {
		if err = writeHold(output, hold); err != nil {
			return err
		}
	}
	return nil
}

func writeHold(output io.Writer, hold Hold) error {
	text := string(hold.Reason)
	if hold.Old != "" {
		text = hold.Old + ": " + text
	}
	if hold.Shortage != nil {
		text += ": " + hold.Shortage.String()
	}
	_, err := fmt.Fprintln(output, "  waits:", text)
	return err
}
