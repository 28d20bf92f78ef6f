package fleet

import (
	"time"

	"fieldrelay/internal/member"
	"fieldrelay/internal/peer"
	"fieldrelay/internal/quota"
	"fieldrelay/internal/rules"
	"fieldrelay/internal/skew"
	"fieldrelay/internal/verdict"
	"fieldrelay/internal/view"
)

// Event is what happens to a Core.
type Event interface{ event() }

// The events.
type (
	// Tick is that time has passed.
	Tick struct{}
	// Received is a frame of this fleet.
	Received struct{ Frame peer.Frame }
	// Leave is that the process is about to end.
	Leave struct{}
	// SetSeeds is new settings of the kind that may change while the fleet runs.
	SetSeeds struct{ Join []string }
	// SetLimits replaces the limits of the fleet.
	SetLimits struct{ Limits []quota.Limit }
	// SetSuspended is a word of this member's on an execute node, for the whole fleet.
	SetSuspended struct {
		Node      string
		Suspended bool
	}
	// SetDraining is that this member's list has an execute node, by its start, as draining or gone; or no longer so.
	SetDraining struct {
		Node     string
		Since    time.Duration
		Draining bool
	}
	// PushRules is the edition of this member's file, which it wants to hold.
	PushRules struct{ Edition rules.Edition }
	// Recover is the operator's word that the majority of the voters is lost for good.
	Recover struct{}
)

func (Tick) event() {}

func (PushRules) event() {}

func (Received) event() {}

func (Leave) event() {}

func (SetSeeds) event() {}

func (Recover) event() {}

func (SetLimits) event() {}

func (SetSuspended) event() {}

func (SetDraining) event() {}

// Action is what a Core wants done.
type Action interface{ action() }

// The actions.
type (
	// Transmit is a frame for a process. To.Name is empty for an address to join by.
	Transmit struct {
		To     member.Record
		Frame  peer.Frame
		Stream bool
	}
	// MemberChanged is a new belief about another process.
	MemberChanged struct{ member.Changed }
	// Save is state to be kept and synced before any action after it is done.
	Save struct{ Change view.Change }
	// Decided is a view that this voter learns of from the engine.
	Decided struct{ View view.View }
	// Adopted is that this member goes by a view from now on.
	Adopted struct{ View view.View }
	// Notice is a line for the operator.
	Notice struct{ view.Notice }
	// SuspensionsChanged is all that is now known of execute nodes.
	SuspensionsChanged struct{ All []verdict.Statement }
	// Avoid is the execute nodes that this member sends nothing new to from now on, by the fleet's verdict.
	Avoid struct{ verdict.Avoid }
	// VerdictLog is a line on a verdict.
	VerdictLog struct{ verdict.LogEntry }
	// DrainingChanged is what is new of execute nodes that drain.
	DrainingChanged struct{ Updates []verdict.Statement }
	// QuotaSharesChanged is that this member's parts of the limits may have changed.
	QuotaSharesChanged struct{}
	// RulesEnforced is that this member goes by an edition from now on, whole.
	RulesEnforced struct{ Compiled *rules.Compiled }
	// RulesLog is a line on rules for the operator.
	RulesLog struct{ skew.LogEntry }
	// ModeChanged is a new mode.
	ModeChanged struct {
		Mode, Was Mode
		Reason    string
	}
)

func (Transmit) action() {}

func (RulesEnforced) action() {}

func (RulesLog) action() {}

func (MemberChanged) action() {}

func (ModeChanged) action() {}

func (Save) action() {}

func (Decided) action() {}

func (Adopted) action() {}

func (Notice) action() {}

func (QuotaSharesChanged) action() {}

func (SuspensionsChanged) action() {}

func (Avoid) action() {}

func (VerdictLog) action() {}

func (DrainingChanged) action() {}
