package plan

import (
	"slices"

	"fieldrelay/internal/migration/room"
)

// obstruction tells why a stage cannot be made.
type obstruction struct {
	obstacle Obstacle
	shortage *room.Shortage
	lacking  int
}

// structural checks what does not depend on the demand.
func (s *searcher) structural(done, batch counts) *obstruction {
	if found := s.corePart(done, batch); found != nil {
		return found
	}
	if found := s.places(done, batch); found != nil {
		return found
	}
	for index := range s.groups {
		if s.takesLastServer(index, done, batch) {
			return &obstruction{obstacle: LastServer, lacking: 1}
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

// limitPools finds how many nodes of each pool a stage may replace: a part, but always one.
func (s *searcher) limitPools() {
	share := s.input.Share
	if share <= 0 {
		share = DefaultShare
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
			position = len(s.most)
			known[key] = position
			most := max(1, int(share*float64(sizes[key])))
			if key.group.Kind == room.Core {
				most = coresAtOnce
			}
			s.most = append(s.most, most)
		}
		s.pools = append(s.pools, position)
	}
}

// withinShare reports whether a stage replaces no more of any pool than it may.
func (s *searcher) withinShare(batch counts) bool {
	used := make([]int, len(s.most))
	for index, count := range batch {
		used[s.pools[index]] += int(count)
		if used[s.pools[index]] > s.most[s.pools[index]] {
			return false
		}
	}
	return true
}

func (s *searcher) corePart(done, batch counts) *obstruction {
	core := s.input.Core
	for index, count := range done {
		for _, member := range s.classes[index].members[:count] {
			core.Voters = exchangeIfVoter(core.Voters, &member)
		}
	}
	for index, count := range batch {
		if count == 0 || s.classes[index].sample().Old.Kind != room.Core {
			continue
		}
		member := s.classes[index].members[done[index]]
		in := Voter{ID: member.New.ID, Zone: member.New.Zone}
		if obstacle, lacking := core.Obstacle(member.Old.ID, in, member.Beside); obstacle != 0 {
			return &obstruction{obstacle: obstacle, lacking: lacking}
		}
	}
	return nil
}

func exchangeIfVoter(voters []Voter, replacement *Replacement) []Voter {
	isVoter := slices.ContainsFunc(voters, func(voter Voter) bool { return voter.ID == replacement.Old.ID })
	if !isVoter {
		return voters
	}
	return Exchanged(voters, replacement.Old.ID, &Voter{ID: replacement.New.ID, Zone: replacement.New.Zone})
}

// places checks that there are places for all replacements that start beside their old nodes.
func (s *searcher) places(done, batch counts) *obstruction {
	needed := make(map[Place]int)
	for index, count := range batch {
		if sample := s.classes[index].sample(); sample.Beside {
			needed[placeOf(&sample.New)] += int(count)
		}
	}
	for index, count := range done {
		sample := s.classes[index].sample()
		needed[placeOf(&sample.New)] += int(count)
		needed[placeOf(&sample.Old)] -= int(count)
	}
	for place, free := range s.input.Places {
		if lacking := needed[place] - free; lacking > 0 {
			return &obstruction{obstacle: NoPlace, lacking: lacking}
		}
	}
	return nil
}

func placeOf(node *room.Node) Place { return Place{Zone: node.Zone, Kind: node.Kind} }

// zoneKey names a question of the last servers of zones.
type zoneKey struct {
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
	key := zoneKey{group, string(done.only(view.classes)), string(batch.only(view.classes))}
	takes, known := s.zones[key]
	if !known {
		takes = s.emptiesZone(view, done, batch)
		s.zones[key] = takes
	}
	return takes
}

func (s *searcher) emptiesZone(view *groupView, done, batch counts) bool {
	present := zonesOf(s.fleet(view, done, batch, before))
	final := zonesOf(s.fleet(view, s.all, make(counts, len(s.all)), before))
	for _, at := range []phase{without, swapped} {
		during := zonesOf(s.fleet(view, done, batch, at))
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

// roomKey names a question of room: it depends on the classes of one group only.
type roomKey struct {
	group, period int
	done, batch   string
}

// roomFor checks the room of a group through a stage, with the demand of one period.
func (s *searcher) roomFor(group, period int, done, batch counts) *room.Shortage {
	view := &s.groups[group]
	key := roomKey{group, period, string(done.only(view.classes)), string(batch.only(view.classes))}
	if known, found := s.rooms[key]; found {
		return known
	}
	found := s.measureRoom(view, period, done, batch)
	s.rooms[key] = found
	return found
}

func (s *searcher) measureRoom(view *groupView, period int, done, batch counts) *room.Shortage {
	loads := s.input.Demand.Periods[period].Loads
	if view.untouchedBy(batch) {
		return s.input.Bound.Check(view.group, s.fleet(view, done, batch, before), loads)
	}
	whole := s.fleet(view, done, batch, before)
	for _, at := range []phase{without, swapped, after} {
		grown := room.AddLostCachePrefill(loads, whole, s.leaving(view, done, batch, at))
		if found := s.input.Bound.Check(view.group, s.fleet(view, done, batch, at), grown); found != nil {
			return found
		}
	}
	return nil
}

// standing checks that a state between stages serves every period as well as the present fleet does.
func (s *searcher) standing(done counts) *obstruction {
	none := make(counts, len(done))
	for group := range s.groups {
		for period := range s.input.Demand.Periods {
			found := s.roomFor(group, period, done, none)
			if found == nil {
				continue
			}
			today := s.roomFor(group, period, none, none)
			if today == nil || found.Fraction > today.Fraction+tolerance {
				return &obstruction{obstacle: NoRoom, shortage: found}
			}
		}
	}
	return nil
}

// tolerance is a difference between two shortages that is rounding.
const tolerance = 1e-6
