package fleet

import (
	"time"

	"fieldrelay/internal/sidecar/member"
	"fieldrelay/internal/sidecar/peer"
	"fieldrelay/internal/sidecar/quota"
	"fieldrelay/internal/sidecar/rules"
	"fieldrelay/internal/sidecar/verdict"
	"fieldrelay/internal/sidecar/versionskew"
	"fieldrelay/internal/sidecar/view"
)

// Event is an input of a Core.
type Event interface{ event() }

// The events.
type (
	// Tick reports that time has passed.
	Tick struct{}
	// Received delivers a frame of a member of this fleet.
	Received struct{ Frame peer.Frame }
	// Leave reports that the process is about to shut down.
	Leave struct{}
	// SetSeeds replaces the addresses of the members through which to join.
	SetSeeds struct{ Join []string }
	// SetLimits replaces the limits of the fleet.
	SetLimits struct{ Limits []quota.Limit }
	// SetSuspended suspends an execute node for the whole fleet, or restores it.
	SetSuspended struct {
		Node      string
		Suspended bool
	}
	// SetDraining states whether the process of an execute node that started at Since is draining in this member's list or
	// has been removed from it.
	SetDraining struct {
		Node     string
		Since    time.Duration
		Draining bool
	}
	// PushRules requests that the edition of this member's rules file be put in force.
	PushRules struct{ Edition rules.Edition }
	// Recover reports the operator's decision that the majority of the voters is permanently lost.
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

// Action is an output of a Core, for its caller to carry out in order.
type Action interface{ action() }

// The actions.
type (
	// Transmit sends a frame to a process. To.Name is empty if To is only an address to join through.
	Transmit struct {
		To     member.Record
		Frame  peer.Frame
		Stream bool
	}
	// MemberChanged reports a changed state of another process, as the failure detector sees it.
	MemberChanged struct{ member.Changed }
	// Save stores a change of the voter's state. It must be on disk, synced, before a later action is carried out.
	Save struct{ Change view.Change }
	// Decided reports, at a voter, a new view that the voters have decided.
	Decided struct{ View view.View }
	// Adopted reports the view that is in force at this member from this action on.
	Adopted struct{ View view.View }
	// Notice is a line for the operator.
	Notice struct{ view.Notice }
	// SuspensionsChanged reports all statements on suspended execute nodes.
	SuspensionsChanged struct{ All []verdict.Statement }
	// Avoid lists all execute nodes to which this member must send no new requests from this action on, by the fleet's verdict.
	Avoid struct{ verdict.Avoid }
	// VerdictLog is a log line about a verdict.
	VerdictLog struct{ verdict.LogEntry }
	// DrainingChanged reports new statements on draining execute nodes.
	DrainingChanged struct{ Updates []verdict.Statement }
	// QuotaSharesChanged reports that this member's shares of the limits may have changed.
	QuotaSharesChanged struct{}
	// RulesEnforced puts an edition of rules in force at this member, as a whole.
	RulesEnforced struct{ Compiled *rules.Compiled }
	// RulesLog is a line about rules, for the operator.
	RulesLog struct{ versionskew.LogEntry }
	// ModeChanged reports a new mode.
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
