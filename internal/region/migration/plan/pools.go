package plan

import (
	"fieldrelay/internal/region/migration/capacity"
)

// pool identifies a set of nodes of which a stage may replace a limited number: the nodes of a group in a region. The core
// machines of all regions are one pool.
type pool struct {
	group  capacity.Group
	region string
}

func poolOf(node *capacity.Node) pool {
	if node.Kind == capacity.Core {
		return pool{group: node.Group()}
	}
	return pool{group: node.Group(), region: node.Region}
}

// computePoolLimits sets the number of nodes of each pool that a stage may replace: a fraction of the pool, but at least
// one node; of the core machines maxCoresPerStage.
func (s *searcher) computePoolLimits() {
	fraction := s.input.BatchFraction
	if fraction <= 0 {
		fraction = DefaultBatchFraction
	}
	sizes := make(map[pool]int)
	for index := range s.input.Nodes {
		sizes[poolOf(&s.input.Nodes[index])]++
	}
	known := make(map[pool]int)
	for index := range s.classes {
		key := poolOf(&s.classes[index].sample().Old)
		position, found := known[key]
		if !found {
			position = len(s.poolLimits)
			known[key] = position
			most := max(1, int(fraction*float64(sizes[key])))
			if key.group.Kind == capacity.Core {
				most = maxCoresPerStage
			}
			s.poolLimits = append(s.poolLimits, most)
		}
		s.classPools = append(s.classPools, position)
	}
}

// withinPoolLimits reports whether a stage replaces no more nodes of any pool than the pool's limit.
func (s *searcher) withinPoolLimits(batch counts) bool {
	used := make([]int, len(s.poolLimits))
	for index, count := range batch {
		used[s.classPools[index]] += int(count)
		if used[s.classPools[index]] > s.poolLimits[s.classPools[index]] {
			return false
		}
	}
	return true
}
