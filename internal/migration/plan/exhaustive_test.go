package plan

import (
	"slices"
	"time"

	"fieldrelay/internal/migration/room"
)

// exhaustive finds the shortest end over all orders of all stages, with the rules written down a second time
// and neither classes nor memory of earlier answers. It returns false if no order is safe.
func exhaustive(input *Input) (time.Duration, bool) {
	e := &enumeration{input: input, best: -1}
	e.visit(make([]bool, len(input.Replacements)), input.Begin)
	return e.best, e.best >= 0
}

type enumeration struct {
	input *Input
	best  time.Duration
}

func (e *enumeration) visit(done []bool, now time.Duration) {
	if !slices.Contains(done, false) {
		if e.best < 0 || now < e.best {
			e.best = now
		}
		return
	}
	for set := 1; set < 1<<len(done); set++ {
		stage := make([]bool, len(done))
		fresh := true
		for index := range done {
			stage[index] = set&(1<<index) != 0
			fresh = fresh && (!stage[index] || !done[index])
		}
		if !fresh {
			continue
		}
		if end, possible := e.stageEnd(done, stage, now); possible {
			next := slices.Clone(done)
			for index := range next {
				next[index] = next[index] || stage[index]
			}
			e.visit(next, end)
		}
	}
}

// nodesIf gives all nodes; for each replacement, choose tells whether its old and new node are among them.
func (e *enumeration) nodesIf(choose func(index int) (old, next bool)) []room.Node {
	var nodes []room.Node
	for _, node := range e.input.Nodes {
		replaced := slices.IndexFunc(e.input.Replacements, func(one Replacement) bool { return one.Old.ID == node.ID })
		if replaced < 0 {
			nodes = append(nodes, node)
			continue
		}
		old, next := choose(replaced)
		if old {
			nodes = append(nodes, node)
		}
		if next {
			nodes = append(nodes, e.input.Replacements[replaced].New)
		}
	}
	return nodes
}

func (e *enumeration) stageEnd(done, stage []bool, now time.Duration) (time.Duration, bool) {
	input := e.input
	present := e.nodesIf(func(i int) (bool, bool) { return !done[i], done[i] })
	without := e.nodesIf(func(i int) (bool, bool) {
		return !done[i] && (!stage[i] || input.Replacements[i].Beside), done[i]
	})
	swapped := e.nodesIf(func(i int) (bool, bool) {
		beside := input.Replacements[i].Beside
		return !done[i] && !stage[i], done[i] || stage[i] && beside
	})
	final := e.nodesIf(func(i int) (bool, bool) { return !done[i] && !stage[i], done[i] || stage[i] })
	end := e.nodesIf(func(int) (bool, bool) { return false, true })

	lasts := time.Duration(0)
	cores := 0
	perPool := map[pool]int{}
	voters := slices.Clone(input.Core.Voters)
	for i, one := range input.Replacements {
		if done[i] && one.Old.Kind == room.Core {
			voters = Exchanged(voters, one.Old.ID, &Voter{ID: one.New.ID, Zone: one.New.Zone})
		}
		if !stage[i] {
			continue
		}
		lasts = max(lasts, one.Times.Total())
		if one.Old.Kind == room.Core {
			cores++
		} else {
			perPool[poolOf(&one.Old)]++
		}
	}
	if cores > 1 {
		return 0, false
	}
	for key, count := range perPool {
		size := 0
		for _, node := range input.Nodes {
			if poolOf(&node) == key {
				size++
			}
		}
		share := input.Share
		if share == 0 {
			share = DefaultShare
		}
		if count > 1 && float64(count) > share*float64(size) {
			return 0, false
		}
	}
	for i, one := range input.Replacements {
		if !stage[i] || one.Old.Kind != room.Core {
			continue
		}
		next := Exchanged(voters, one.Old.ID, nil)
		spared := 0
		if one.Beside {
			next = append(next, Voter{ID: one.New.ID, Zone: one.New.Zone})
			spared = survivors(voters, input.Core)
		}
		if found := survivors(next, input.Core); found < min(0, spared) {
			return 0, false
		}
	}
	for place, free := range input.Places {
		used := 0
		for i, one := range input.Replacements {
			if done[i] || stage[i] && one.Beside {
				if (Place{one.New.Zone, one.New.Kind}) == place {
					used++
				}
			}
			if done[i] && (Place{one.Old.Zone, one.Old.Kind}) == place {
				used--
			}
		}
		if used > free {
			return 0, false
		}
	}
	for _, node := range present {
		in := func(nodes []room.Node) bool {
			return slices.ContainsFunc(nodes, func(other room.Node) bool {
				return other.Group() == node.Group() && other.Zone == node.Zone
			})
		}
		if node.Kind != room.Core && in(end) && (!in(without) || !in(swapped)) {
			return 0, false
		}
	}
	for period := range input.Demand.Periods {
		loads := input.Demand.Periods[period].Loads
		for _, group := range e.groups() {
			today := input.Bound.Check(group, input.Nodes, loads)
			then := input.Bound.Check(group, final, loads)
			if then != nil && (today == nil || then.Part > today.Part+tolerance) {
				return 0, false
			}
		}
	}
	for _, begin := range input.Demand.Starts(now) {
		if input.Window > 0 && begin+lasts > input.Begin+input.Window {
			return 0, false
		}
		if e.roomThrough(stage, present, [][]room.Node{without, swapped, final}, begin, begin+lasts) {
			return begin + lasts, true
		}
	}
	return 0, false
}

// survivors is how many voters more than a majority remain after the worst loss; below 0 it has no majority.
func survivors(voters []Voter, core Core) int {
	worst := len(voters) - core.Hosts
	zones := map[string]int{}
	for _, voter := range voters {
		zones[voter.Zone]++
	}
	for _, count := range zones {
		if core.Zones == 1 {
			worst = min(worst, len(voters)-count)
		}
	}
	return worst - len(voters)/2 - 1
}

func (e *enumeration) groups() []room.Group {
	var groups []room.Group
	for _, one := range e.input.Replacements {
		if group := one.Old.Group(); group.Kind != room.Core && !slices.Contains(groups, group) {
			groups = append(groups, group)
		}
	}
	return groups
}

func (e *enumeration) roomThrough(stage []bool, present []room.Node, phases [][]room.Node, begin, end time.Duration) bool {
	for _, period := range e.input.Demand.During(begin, end) {
		for number, nodes := range phases {
			var gone []room.Node
			touched := map[room.Group]bool{}
			for i, one := range e.input.Replacements {
				if !stage[i] {
					continue
				}
				touched[one.Old.Group()] = true
				if !one.Beside || number > 0 {
					gone = append(gone, one.Old)
				}
			}
			loads := room.Reread(e.input.Demand.Periods[period].Loads, present, gone)
			for group := range touched {
				if group.Kind != room.Core && e.input.Bound.Check(group, nodes, loads) != nil {
					return false
				}
			}
		}
	}
	return true
}
