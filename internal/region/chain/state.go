package chain

import (
	"github.com/cockroachdb/errors"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/quorum"
)

// State is the durable state of a replica.
type State struct {
	View             *pb.View          // view in force; nil before the machine has entered a view
	SynchronizedView uint64            // number of a view: Newest holds all changes that were committed in the views up to it
	Newest           *catalog.Snapshot // control state after the last change, committed or not
	// History keeps the last changes that led to Newest. The replica that is created from the state owns it.
	History *catalog.History
}

// EmptyState returns the state of a replica without stored data.
func EmptyState() State {
	return State{Newest: catalog.Empty(), History: catalog.NewHistory(0)}
}

// Write is one durable step of a State. At most one of View, Change and Repair is set.
type Write struct {
	SynchronizedView uint64
	View             *pb.View
	Change           *pb.Change
	Repair           *pb.Repair
}

// Apply advances the state by a write. Writes must be applied in the order in which they were made. If a write does not
// follow the state, the state is unchanged, and the error wraps an error of package catalog.
func (s *State) Apply(write Write) error {
	next := s.Newest
	var err error
	switch {
	case write.View != nil:
		s.View = write.View
	case write.Change != nil:
		next, err = s.Newest.Apply(write.Change)
	case write.Repair != nil:
		next, err = s.Newest.Restore(write.Repair)
	}
	if err != nil {
		return errors.Wrap(err, "apply write to replica state")
	}
	s.SynchronizedView = write.SynchronizedView
	s.Newest = next
	s.recordHistory(write)
	return nil
}

// recordHistory adds a change to the history. A repair resets the history, since the changes that led to the repaired
// state are unknown.
func (s *State) recordHistory(write Write) {
	if write.Change != nil {
		s.History.Add(write.Change)
	}
	if write.Repair != nil {
		s.History.Reset(s.Newest.Sequence())
	}
}

// position returns the index of an identity in the chain in force, or quorum.NotFound.
func (s *State) position(identity string) int {
	return quorum.IndexOf(s.View.GetChain(), identity)
}

// isSynchronized reports whether the replica is a member of the chain in force and holds all committed changes. It
// holds all committed changes if it is synchronized with the previous view: nothing can have been committed in the view
// in force without it.
func (s *State) isSynchronized(identity string) bool {
	return s.position(identity) != quorum.NotFound && s.SynchronizedView+1 >= s.View.GetNumber()
}
