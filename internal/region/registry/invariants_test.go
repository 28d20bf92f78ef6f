package registry

import (
	"fmt"
	"slices"
)

// InvariantError reports a violated invariant of this package's state.
type InvariantError struct{ Reason string }

// Error describes the violated invariant.
func (e *InvariantError) Error() string { return "invariant violated: " + e.Reason }

// Check returns an *InvariantError if an invariant of the inventory is violated.
func (i *ServerInventory) Check() error {
	if i.current == nil {
		return nil
	}
	if epoch := i.current.version.GetEpoch(); epoch > i.highestEpoch {
		return &InvariantError{Reason: fmt.Sprintf("epoch %d is above the highest observed, %d", epoch, i.highestEpoch)}
	}
	if len(i.current.servers) == 0 {
		return &InvariantError{Reason: "the current list is empty"}
	}
	if i.current.confirmedAt < i.current.readAt {
		return &InvariantError{Reason: "the list was confirmed before it was read"}
	}
	if i.IsOwner() && !slices.IsSortedFunc(i.current.servers, compareIDs) {
		return &InvariantError{Reason: "the list is not sorted"}
	}
	return nil
}

// Check returns an *InvariantError if an invariant of the agents is violated.
func (a *Agents) Check() error {
	if len(a.known) > MaxAgents {
		return &InvariantError{Reason: fmt.Sprintf("too many agents are tracked: %d", len(a.known))}
	}
	for host, agent := range a.known {
		if agent.record.Host != host || agent.record.AgeMs != 0 {
			return &InvariantError{Reason: "a record is stored under another host or with an age: " + host}
		}
	}
	if a.members.version != a.version {
		return &InvariantError{Reason: "the versions of members and agents differ"}
	}
	return nil
}
