package registry

import (
	"fmt"
	"slices"
)

// InvariantError tells that a machine holds a state that it must never hold.
type InvariantError struct{ Reason string }

func (e *InvariantError) Error() string { return "broken invariant: " + e.Reason }

// Check returns an *InvariantError if the inventory holds a state that it must never hold. Tests call it after
// every step.
func (i *ServerInventory) Check() error {
	if i.current == nil {
		return nil
	}
	if i.current.version.GetEpoch() > i.highestEpoch {
		return &InvariantError{Reason: fmt.Sprintf("epoch %d is above the highest seen, %d", i.current.version.GetEpoch(), i.highestEpoch)}
	}
	if len(i.current.servers) == 0 {
		return &InvariantError{Reason: "the current list is empty"}
	}
	if i.current.confirmedAt < i.current.readAt {
		return &InvariantError{Reason: "the news is older than the list"}
	}
	if i.IsOwner() && !slices.IsSortedFunc(i.current.servers, compareIncarnations) {
		return &InvariantError{Reason: "the list is not sorted"}
	}
	return nil
}

// Check returns an *InvariantError if the registry holds a state that it must never hold.
func (a *Agents) Check() error {
	if len(a.known) > MaxAgents {
		return &InvariantError{Reason: fmt.Sprintf("%d agents are kept", len(a.known))}
	}
	for host, agent := range a.known {
		if agent.record.Host != host || agent.record.AgeMs != 0 {
			return &InvariantError{Reason: "a record is kept under another name or with an age: " + host}
		}
	}
	if a.members.version != a.version {
		return &InvariantError{Reason: "the members carry another version than the registry"}
	}
	return nil
}
