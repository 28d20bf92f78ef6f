package plan

import (
	"slices"
	"time"

	"fieldrelay/internal/region/migration/capacity"
)

// referenceEnd finds the earliest end over all orders of all stages by trying each order. It implements the constraints
// independently of the planner, without classes and caches. It returns false if no order is feasible.
func referenceEnd(input *Input) (time.Duration, bool) {
	r := &reference{input: input, best: -1}
	r.visit(make([]bool, len(input.Replacements)), input.Begin)
	return r.best, r.best >= 0
}

// reference is a search through all orders, with which the planner is compared.
type reference struct {
	input *Input
	best  time.Duration
}

// visit tries every stage that can follow a state.
func (r *reference) visit(done []bool, now time.Duration) {
	if !slices.Contains(done, false) {
		if r.best < 0 || now < r.best {
			r.best = now
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
		if end, possible := r.stageEnd(done, stage, now); possible {
			next := slices.Clone(done)
			for index := range next {
				next[index] = next[index] || stage[index]
			}
			r.visit(next, end)
		}
	}
}

// stageEnd returns when a stage ends that begins as early as the demand allows, or false if a
// constraint forbids it.
func (r *reference) stageEnd(done, stage []bool, now time.Duration) (time.Duration, bool) {
	nodes := r.stageNodes(done, stage)
	if !r.withinBatchSize(stage) || !r.votersSurvive(done, stage) || !r.hasSurgeCapacity(done, stage) ||
		!r.keepsServers(nodes) || !r.mayPauseAfter(nodes) {
		return 0, false
	}
	duration := time.Duration(0)
	for i, replacement := range r.input.Replacements {
		if stage[i] {
			duration = max(duration, replacement.Times.Total())
		}
	}
	for _, begin := range r.input.Demand.ChangesFrom(now) {
		if r.input.Window > 0 && begin+duration > r.input.Begin+r.input.Window {
			return 0, false
		}
		if r.hasCapacity(stage, nodes, begin, begin+duration) {
			return begin + duration, true
		}
	}
	return 0, false
}

// stageNodes are the serving nodes before a stage, in its phases and at the end of the plan.
type stageNodes struct {
	beforeStage, inPlaceRemoved, surgeTakenOver, afterStage, afterPlan []capacity.Node
}

func (r *reference) stageNodes(done, stage []bool) *stageNodes {
	surge := func(i int) bool { return r.input.Replacements[i].Surge }
	return &stageNodes{
		beforeStage:    r.nodesIf(func(i int) (bool, bool) { return !done[i], done[i] }),
		inPlaceRemoved: r.nodesIf(func(i int) (bool, bool) { return !done[i] && (!stage[i] || surge(i)), done[i] }),
		surgeTakenOver: r.nodesIf(func(i int) (bool, bool) { return !done[i] && !stage[i], done[i] || stage[i] && surge(i) }),
		afterStage:     r.nodesIf(func(i int) (bool, bool) { return !done[i] && !stage[i], done[i] || stage[i] }),
		afterPlan:      r.nodesIf(func(int) (bool, bool) { return false, true }),
	}
}

// nodesIf returns all nodes that are not replaced and, for each replacement, those of its two nodes that choose selects.
func (r *reference) nodesIf(choose func(index int) (old, next bool)) []capacity.Node {
	var nodes []capacity.Node
	for _, node := range r.input.Nodes {
		replaced := slices.IndexFunc(r.input.Replacements, func(replacement Replacement) bool { return replacement.Old.ID == node.ID })
		if replaced < 0 {
			nodes = append(nodes, node)
			continue
		}
		old, next := choose(replaced)
		if old {
			nodes = append(nodes, node)
		}
		if next {
			nodes = append(nodes, r.input.Replacements[replaced].New)
		}
	}
	return nodes
}

// majorityMargin returns the number of voters in excess of a majority that remain after the worst failure within the fault
// budget; a negative result means that there is no majority.
func majorityMargin(voters []Voter, core Core) int {
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

func (r *reference) groups() []capacity.Group {
	var groups []capacity.Group
	for _, replacement := range r.input.Replacements {
		if group := replacement.Old.Group(); group.Kind != capacity.Core && !slices.Contains(groups, group) {
			groups = append(groups, group)
		}
	}
	return groups
}

// hasCapacity checks the headroom of the groups with replacements in a stage, in each phase of the stage.
func (r *reference) hasCapacity(stage []bool, nodes *stageNodes, begin, end time.Duration) bool {
	for _, period := range r.input.Demand.PeriodsDuring(begin, end) {
		for number, serving := range [][]capacity.Node{nodes.inPlaceRemoved, nodes.surgeTakenOver, nodes.afterStage} {
			var departed []capacity.Node
			touched := map[capacity.Group]bool{}
			for i, replacement := range r.input.Replacements {
				if !stage[i] {
					continue
				}
				touched[replacement.Old.Group()] = true
				if !replacement.Surge || number > 0 {
					departed = append(departed, replacement.Old)
				}
			}
			loads := capacity.AddLostCachePrefill(r.input.Demand.Periods[period].Loads, nodes.beforeStage, departed)
			for group := range touched {
				if group.Kind != capacity.Core && r.input.Headroom.Check(group, serving, loads) != nil {
					return false
				}
			}
		}
	}
	return true
}

// withinBatchSize checks that a stage replaces at most one core machine, and of each pool at most one node or the batch
// fraction.
func (r *reference) withinBatchSize(stage []bool) bool {
	cores := 0
	perPool := map[pool]int{}
	for i, replacement := range r.input.Replacements {
		switch {
		case !stage[i]:
		case replacement.Old.Kind == capacity.Core:
			cores++
		default:
			perPool[poolOf(&replacement.Old)]++
		}
	}
	fraction := r.input.BatchFraction
	if fraction == 0 {
		fraction = DefaultBatchFraction
	}
	for key, count := range perPool {
		size := 0
		for _, node := range r.input.Nodes {
			if poolOf(&node) == key {
				size++
			}
		}
		if count > 1 && float64(count) > fraction*float64(size) {
			return false
		}
	}
	return cores <= 1
}

// votersSurvive checks the fault budget of the voters for each core machine of a stage.
func (r *reference) votersSurvive(done, stage []bool) bool {
	voters := slices.Clone(r.input.Core.Voters)
	for i, replacement := range r.input.Replacements {
		if done[i] && replacement.Old.Kind == capacity.Core {
			voters = ExchangeVoter(voters, replacement.Old.ID, &Voter{ID: replacement.New.ID, Zone: replacement.New.Zone})
		}
	}
	for i, replacement := range r.input.Replacements {
		if !stage[i] || replacement.Old.Kind != capacity.Core {
			continue
		}
		next := ExchangeVoter(voters, replacement.Old.ID, nil)
		presentMargin := 0
		if replacement.Surge {
			next = append(next, Voter{ID: replacement.New.ID, Zone: replacement.New.Zone})
			presentMargin = majorityMargin(voters, r.input.Core)
		}
		if found := majorityMargin(next, r.input.Core); found < min(0, presentMargin) {
			return false
		}
	}
	return true
}

func (r *reference) hasSurgeCapacity(done, stage []bool) bool {
	for surgePool, free := range r.input.SurgeCapacity {
		used := 0
		for i, replacement := range r.input.Replacements {
			if (done[i] || stage[i] && replacement.Surge) && (SurgePool{replacement.New.Zone, replacement.New.Kind}) == surgePool {
				used++
			}
			if done[i] && (SurgePool{replacement.Old.Zone, replacement.Old.Kind}) == surgePool {
				used--
			}
		}
		if used > free {
			return false
		}
	}
	return true
}

// keepsServers checks that no zone loses its last node of a group during a stage, if it has one at the end of the plan.
func (r *reference) keepsServers(nodes *stageNodes) bool {
	for _, node := range nodes.beforeStage {
		in := func(nodes []capacity.Node) bool {
			return slices.ContainsFunc(nodes, func(other capacity.Node) bool {
				return other.Group() == node.Group() && other.Zone == node.Zone
			})
		}
		if node.Kind != capacity.Core && in(nodes.afterPlan) && (!in(nodes.inPlaceRemoved) || !in(nodes.surgeTakenOver)) {
			return false
		}
	}
	return true
}

// mayPauseAfter checks that the state after a stage serves every period as well as the present fleet does.
func (r *reference) mayPauseAfter(nodes *stageNodes) bool {
	for period := range r.input.Demand.Periods {
		loads := r.input.Demand.Periods[period].Loads
		for _, group := range r.groups() {
			initial := r.input.Headroom.Check(group, r.input.Nodes, loads)
			after := r.input.Headroom.Check(group, nodes.afterStage, loads)
			if after != nil && (initial == nil || after.Fraction > initial.Fraction+roundingTolerance) {
				return false
			}
		}
	}
	return true
}
