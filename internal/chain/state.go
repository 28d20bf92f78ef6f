package chain

import (
	"github.com/cockroachdb/errors"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/quorum"
)

// State is what a replica has on disk.
type State struct {
	View   *pb.View // in force; nil before founding or joining
	Basis  uint64   // all that was committed in views up to this one is in Newest
	Newest *catalog.Snapshot
}

// EmptyState is the state of an empty disk.
func EmptyState() State { return State{Newest: catalog.Empty()} }

// Write is one step of a State. Of View, Change and Repair at most one is set.
type Write struct {
	Basis  uint64
	View   *pb.View
	Change *pb.Change
	Repair *pb.Repair
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
	s.Basis = write.Basis
	s.Newest = next
	return nil
}

// position is the place of an identity in the state's chain, or quorum.NotFound.
func (s *State) position(identity string) int {
	return quorum.IndexOf(s.View.GetChain(), identity)
}

// isSource reports whether the replica holds all that was committed up to the view in force, or nothing can
// have been committed there without it.
func (s *State) isSource(identity string) bool {
	return s.position(identity) != quorum.NotFound && s.Basis+1 >= s.View.GetNumber()
}
