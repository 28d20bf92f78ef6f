package chain

import (
	"github.com/cockroachdb/errors"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/quorum"
)

// State is what a replica has on disk.
type State struct {
	View             *pb.View // in force; nil before founding or joining
	SynchronizedView uint64   // all that was committed in views up to this one is in Newest
	Newest           *catalog.Snapshot
	// History keeps the last changes that led to Newest. It belongs to the replica that is made of the state.
	History *catalog.History
}

// EmptyState is the state of an empty disk.
func EmptyState() State {
	return State{Newest: catalog.Empty(), History: catalog.NewHistory(0)}
}

// Write is one step of a State. Of View, Change and Repair at most one is set.
type Write struct {
	SynchronizedView uint64
	View             *pb.View
	Change           *pb.Change
	Repair           *pb.Repair
}

// Apply brings the state forward by a write. The error is one of package catalog: the write does not fit.
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
		return errors.Wrap(err, "apply a write")
	}
	s.SynchronizedView = write.SynchronizedView
	s.Newest = next
	s.recordHistory(write)
	return nil
}

func (s *State) recordHistory(write Write) {
	if write.Change != nil {
		s.History.Add(write.Change)
	}
	if write.Repair != nil {
		s.History.Reset(s.Newest.Sequence())
	}
}

// position is the place of an identity in the state's chain, or quorum.NotFound.
func (s *State) position(identity string) int {
	return quorum.IndexOf(s.View.GetChain(), identity)
}

// isSource reports whether the replica holds all that was committed up to the view in force, or nothing can
// have been committed there without it.
func (s *State) isSource(identity string) bool {
	return s.position(identity) != quorum.NotFound && s.SynchronizedView+1 >= s.View.GetNumber()
}
