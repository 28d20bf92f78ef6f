package plan

import (
	"fieldrelay/internal/region/migration/capacity"
)

// violation describes a constraint that a stage, or a state between stages, violates.
type violation struct {
	constraint Constraint
	shortage   *capacity.Shortage
	missing    int // number of voters, replicas, servers or surge nodes that are missing
}

// checkStructure checks the constraints of a stage that do not depend on demand.
func (s *searcher) checkStructure(done, batch counts) *violation {
	if found := s.checkVoters(done, batch); found != nil {
		return found
	}
	if found := s.checkSurge(done, batch); found != nil {
		return found
	}
	for index := range s.groups {
		if s.removesLastServer(index, done, batch) {
			return &violation{constraint: ConstraintLastServer, missing: 1}
		}
	}
	return nil
}

// checkSurge checks that there is surge capacity for all new nodes of a stage that start before the old ones have stopped.
// The violation has the number of nodes for which capacity is missing in the pool that lacks most.
func (s *searcher) checkSurge(done, batch counts) *violation {
	needed := make(map[SurgePool]int)
	for index, count := range batch {
		if sample := s.classes[index].sample(); sample.Surge {
			needed[surgePoolOf(&sample.New)] += int(count)
		}
	}
	for index, count := range done {
		sample := s.classes[index].sample()
		needed[surgePoolOf(&sample.New)] += int(count)
		needed[surgePoolOf(&sample.Old)] -= int(count)
	}
	if missing := s.largestSurgeShortage(needed); missing > 0 {
		return &violation{constraint: ConstraintSurge, missing: missing}
	}
	return nil
}

// largestSurgeShortage returns the number of nodes for which surge capacity is missing in the pool that lacks most, or 0
// if no pool lacks any. The result does not depend on the iteration order of the pools.
func (s *searcher) largestSurgeShortage(needed map[SurgePool]int) int {
	most := 0
	for pool, free := range s.input.SurgeCapacity {
		most = max(most, needed[pool]-free)
	}
	return most
}

func surgePoolOf(node *capacity.Node) SurgePool { return SurgePool{Zone: node.Zone, Kind: node.Kind} }
