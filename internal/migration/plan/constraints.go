package plan

import (
	"slices"

	"fieldrelay/internal/migration/room"
)

// obstruction tells why a stage cannot be made.
type violation struct {
	constraint Constraint
	shortage   *room.Shortage
	missing    int
}

// structural checks what does not depend on the demand.
func (s *searcher) checkStructure(done, batch counts) *violation {
	if found := s.checkVoters(done, batch); found != nil {
		return found
	}
	if found := s.checkSurge(done, batch); found != nil {
		return found
	}
	for index := range s.groups {
		if s.takesLastServer(index, done, batch) {
			return &violation{constraint: ConstraintLastServer, missing: 1}
		}
	}
	return nil
}

// pool is the nodes of a group in a region; core machines are one pool.
type pool struct {
	group  room.Group
	region string
}

func poolOf(node *room.Node) pool {
	if node.Kind == room.Core {
		return pool{group: node.Group()}
	}
	return pool{group: node.Group(), region: node.Region}
}

// computePoolLimits finds how many nodes of each pool a stage may replace: a part, but always one.
func (s *searcher) computePoolLimits() {
	share := s.input.BatchFraction
	if share <= 0 {
		share = DefaultBatchFraction
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
			most := max(1, int(share*float64(sizes[key])))
			if key.group.Kind == room.Core {
				most = maxCoresPerStage
			}
			s.poolLimits = append(s.poolLimits, most)
		}
		s.classPools = append(s.classPools, position)
	}
}

// withinPoolLimits reports whether a stage replaces no more of any pool than it may.
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

func (s *searcher) checkVoters(done, batch counts) *violation {
	core := s.input.Core
	for index, count := range done {
		for _, member := range s.classes[index].members[:count] {
			core.Voters = exchangeReplaced(core.Voters, &member)
		}
	}
	for index, count := range batch {
		if count == 0 || s.classes[index].sample().Old.Kind != room.Core {
			continue
		}
		member := s.classes[index].members[done[index]]
		in := Voter{ID: member.New.ID, Zone: member.New.Zone}
		if obstacle, lacking := core.CheckExchange(member.Old.ID, in, member.Surge); obstacle != 0 {
			return &violation{constraint: obstacle, missing: lacking}
		}
	}
	return nil
}

func exchangeReplaced(voters []Voter, replacement *Replacement) []Voter {
	isVoter := slices.ContainsFunc(voters, func(voter Voter) bool { return voter.ID == replacement.Old.ID })
	if !isVoter {
		return voters
	}
	return ExchangeVoter(voters, replacement.Old.ID, &Voter{ID: replacement.New.ID, Zone: replacement.New.Zone})
}

// places checks that there are places for all replacements that start beside their old nodes.
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
	for place, free := range s.input.SurgeCapacity {
		if lacking := needed[place] - free; lacking > 0 {
			return &violation{constraint: ConstraintSurge, missing: lacking}
		}
	}
	return nil
}

func surgePoolOf(node *room.Node) SurgePool { return SurgePool{Zone: node.Zone, Kind: node.Kind} }

// lastServerKey names a question of the last servers of zones.
type lastServerKey struct {
	group       int
	done, batch string
}

// takesLastServer reports whether a zone would have no node of a group during a stage, though it has one before
// and is to have one in the end.
func (s *searcher) takesLastServer(group int, done, batch counts) bool {
	view := &s.groups[group]
	if view.untouchedBy(batch) {
		return false
	}
	key := lastServerKey{group, string(done.project(view.classes)), string(batch.project(view.classes))}
	takes, known := s.lastServerCache[key]
	if !known {
		takes = s.emptiesZone(view, done, batch)
		s.lastServerCache[key] = takes
	}
	return takes
}

func (s *searcher) emptiesZone(view *groupView, done, batch counts) bool {
	present := zonesOf(s.servingNodes(view, done, batch, beforeStage))
	final := zonesOf(s.servingNodes(view, s.goal, make(counts, len(s.goal)), beforeStage))
	for _, at := range []phase{inPlaceRemoved, surgeTakenOver} {
		during := zonesOf(s.servingNodes(view, done, batch, at))
		for zone := range present {
			if final[zone] && !during[zone] {
				return true
			}
		}
	}
	return false
}

func zonesOf(nodes []room.Node) map[string]bool {
	zones := make(map[string]bool)
	for index := range nodes {
		zones[nodes[index].Zone] = true
	}
	return zones
}

// shortageKey names a question of room: it depends on the classes of one group only.
type shortageKey struct {
	group, period int
	done, batch   string
}

// shortageOf checks the room of a group through a stage, with the demand of one period.
func (s *searcher) shortageOf(group, period int, done, batch counts) *room.Shortage {
	view := &s.groups[group]
	key := shortageKey{group, period, string(done.project(view.classes)), string(batch.project(view.classes))}
	if known, found := s.shortageCache[key]; found {
		return known
	}
	found := s.computeShortage(view, period, done, batch)
	s.shortageCache[key] = found
	return found
}

func (s *searcher) computeShortage(view *groupView, period int, done, batch counts) *room.Shortage {
	loads := s.input.Demand.Periods[period].Loads
	if view.untouchedBy(batch) {
		return s.input.Headroom.Check(view.group, s.servingNodes(view, done, batch, beforeStage), loads)
	}
	whole := s.servingNodes(view, done, batch, beforeStage)
	for _, at := range []phase{inPlaceRemoved, surgeTakenOver, afterStage} {
		grown := room.AddLostCachePrefill(loads, whole, s.departedNodes(view, done, batch, at))
		if found := s.input.Headroom.Check(view.group, s.servingNodes(view, done, batch, at), grown); found != nil {
			return found
		}
	}
	return nil
}

// standing checks that a state between stages serves every period as well as the present fleet does.
func (s *searcher) computeRest(done counts) *violation {
	none := make(counts, len(done))
	for group := range s.groups {
		for period := range s.input.Demand.Periods {
			found := s.shortageOf(group, period, done, none)
			if found == nil {
				continue
			}
			today := s.shortageOf(group, period, none, none)
			if today == nil || found.Fraction > today.Fraction+roundingTolerance {
				return &violation{constraint: ConstraintCapacity, shortage: found}
			}
		}
	}
	return nil
}

// tolerance is a difference between two shortages that is rounding.
const roundingTolerance = 1e-6
