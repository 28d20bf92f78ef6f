package simulate

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fieldrelay/internal/migration/execute"
	"fieldrelay/internal/migration/plan"
	"fieldrelay/internal/migration/room"
)

// rule names what the checker watches over.
type rule string

const (
	ruleLost     rule = "no reply is lost by the migration"
	ruleDoubled  rule = "no reply is doubled"
	ruleRoom     rule = "nothing is taken for which there is no room"
	ruleReaction rule = "what is withheld is given back when room falls"
	ruleLast     rule = "a zone keeps a warm server"
	ruleVoters   rule = "the voters bear the fault budget"
	ruleSteps    rule = "states follow each other as they may"
	ruleEnd      rule = "a run ends, and as it should"
)

// violation is a broken rule.
type violation struct {
	rule rule
	at   time.Duration
	text string
}

// reaction is how long an executor that works may take to give a node back.
const reaction = 5 * time.Second

// surely is the part of the offered load that measured demand is never below.
const surely = 0.75

// checker watches a world.
type checker struct {
	*world
	violations []violation
	only       rule // that is watched; empty: all
	shortFor   map[room.Group]time.Duration
	seen       map[execute.Phase]int // phases that were entered
}

func newChecker(w *world) *checker {
	return &checker{world: w, shortFor: map[room.Group]time.Duration{}, seen: map[execute.Phase]int{}}
}

func (c *checker) broken(broken rule, format string, arguments ...any) {
	if len(c.violations) < 10 && (c.only == "" || c.only == broken) {
		c.violations = append(c.violations, violation{broken, c.now, fmt.Sprintf(format, arguments...)})
	}
}

func (c *checker) lost(one *reply, why string) {
	c.broken(ruleLost, "from %s by %s: %s", one.edge.spec.ID, one.server.spec.ID, why)
}

func (c *checker) whole(one *reply) {
	if one.runs != 1 || one.written > one.length+tick {
		c.broken(ruleDoubled, "%d runs, %s written of %s", one.runs, one.written, one.length)
	}
}

// stopping looks at a node that is about to be stopped.
func (c *checker) stopping(one *node) {
	if one.votes {
		c.broken(ruleVoters, "%s is stopped while it votes", one.spec.ID)
	}
	if !slices.Contains(c.store.committed.Stop, one.spec.ID) {
		c.broken(ruleSteps, "%s is stopped, which the state does not say any more", one.spec.ID)
	}
}

// stored looks at a state that takes the place of another one.
func (c *checker) stored(before, after *execute.State) {
	c.counts.states++
	if err := execute.CheckTransition(before, after, c.plan); err != nil {
		c.broken(ruleSteps, "%v", err)
		return
	}
	var withheld []string
	if before != nil {
		withheld = before.Cordoned
		c.noteRetired(before, after)
	}
	for index, task := range after.Tasks {
		if before == nil || before.Stage != after.Stage || task.Phase != before.Tasks[index].Phase {
			c.seen[task.Phase]++
		}
		if before != nil && before.Stage == after.Stage && isGivenBack(before.Tasks[index].Phase, task.Phase) {
			c.counts.givenBack++
		}
	}
	for _, id := range after.Cordoned {
		one := c.nodes[id]
		if one.ready(c.now) && one.spec.Kind != room.Core && !slices.Contains(withheld, id) {
			c.withholding(one, after)
		}
	}
}

func isGivenBack(from, to execute.Phase) bool {
	withheld := from == execute.Cordoning || from == execute.Draining || from == execute.RollbackDraining
	return withheld && (to == execute.Warming || to == execute.Waiting)
}

// noteRetired checks that what may be stopped stays so.
func (c *checker) noteRetired(before, after *execute.State) {
	for _, id := range before.Stop {
		if !slices.Contains(after.Stop, id) {
			c.broken(ruleSteps, "%s is not to be stopped any more", id)
		}
	}
}

// withholding looks at a node that is to get nothing new from now on.
func (c *checker) withholding(one *node, after *execute.State) {
	serving := c.serving(after.Cordoned)
	sameZone := func(other room.Node) bool {
		return other.Group() == one.spec.Group() && other.Zone == one.spec.Zone
	}
	settled := c.now >= c.faults.troubleAt
	if settled && !slices.ContainsFunc(serving, sameZone) {
		c.broken(ruleLast, "%s is withheld", one.spec.ID)
	}
	bound := c.input.Headroom
	bound.Margin = 0
	if shortage := bound.Check(one.spec.Group(), serving, c.offered(surely)); settled && shortage != nil {
		c.broken(ruleRoom, "%s is withheld, and %s", one.spec.ID, shortage)
	}
}

// serving gives the nodes that truly serve and are not withheld.
func (c *checker) serving(withheld []string) []room.Node {
	var nodes []room.Node
	for _, one := range c.order {
		if one.ready(c.now) && !slices.Contains(withheld, one.spec.ID) {
			nodes = append(nodes, one.spec)
		}
	}
	return nodes
}

// offered gives the true demand, scaled.
func (c *checker) offered(scale float64) []room.Load {
	return offeredLoads(c.clients, c.now, scale)
}

// asked gives the demand that is there already: a burst takes a while to fill the servers.
func (c *checker) asked() []room.Load {
	return loadsBy(c.clients, func(from *client) float64 {
		if from.turnedAt > 0 && c.now-from.turnedAt < time.Second {
			return from.offered(c.now) * surely
		}
		return min(from.offered(c.now)*surely, float64(c.openOf(from)))
	})
}

func offeredLoads(clients []*client, now time.Duration, scale float64) []room.Load {
	return loadsBy(clients, func(from *client) float64 { return from.offered(now) * scale })
}

func loadsBy(clients []*client, needOf func(*client) float64) []room.Load {
	var loads []room.Load
	edges := map[string]float64{}
	for _, from := range clients {
		need := needOf(from)
		edges[from.region] += need
		loads = append(loads, room.Load{Region: from.region, Group: serving, HomeRegions: from.homes, Required: room.Amount{room.Slots: need}})
	}
	for region, need := range edges {
		loads = append(loads, room.Load{
			Region: region, Group: room.Group{Kind: room.Edge}, HomeRegions: []string{region}, Required: room.Amount{room.Slots: need},
		})
	}
	slices.SortFunc(loads, func(a, b room.Load) int { return compareLoads(&a, &b) })
	return loads
}

func compareLoads(a, b *room.Load) int {
	return cmp.Or(cmp.Compare(a.Group.Kind, b.Group.Kind), cmp.Compare(a.Region, b.Region), slices.Compare(a.HomeRegions, b.HomeRegions))
}

// check looks at the world after a step.
func (c *checker) check() {
	c.checkVoters()
	if c.store.committed == nil {
		return
	}
	for _, group := range []room.Group{serving, {Kind: room.Edge}} {
		c.checkReaction(group)
	}
}

// checkReaction measures for how long room is short although nodes are withheld that could be given back.
func (c *checker) checkReaction(group room.Group) {
	returnable := c.returnable(group)
	works := slices.ContainsFunc(c.store.instances, func(one *instance) bool { return !one.outdated && c.now >= one.frozen })
	if len(returnable) == 0 || !works || !c.store.majority() {
		c.shortFor[group] = 0
		return
	}
	if (room.Headroom{}).Check(group, c.serving(c.store.committed.Cordoned), c.asked()) == nil {
		c.shortFor[group] = 0
		return
	}
	c.shortFor[group] += tick
	if c.shortFor[group] == reaction {
		c.broken(ruleReaction, "%v are withheld from %s", returnable, group)
	}
}

// returnable lists the nodes of a group that are withheld and could serve again.
func (c *checker) returnable(group room.Group) []string {
	committed := c.store.committed
	var ids []string
	for index, task := range committed.Tasks {
		replacement := c.plan.Stages[committed.Stage].Replacements[index]
		id := ""
		switch task.Phase {
		case execute.Cordoning, execute.Draining:
			id = replacement.Old.ID
		case execute.RollbackDraining:
			id = replacement.New.ID
		}
		if id != "" && replacement.Old.Group() == group && c.nodes[id].ready(c.now) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (c *checker) checkVoters() {
	var voters []plan.Voter
	for _, one := range c.order {
		if one.votes {
			voters = append(voters, plan.Voter{ID: one.spec.ID, Zone: one.spec.Zone})
		}
	}
	core := c.input.Core
	if survivors(voters, core) < min(0, survivors(core.Voters, core)) {
		c.broken(ruleVoters, "%v do not bear the budget", voters)
	}
}

// survivors is how many voters more than a majority remain after the worst loss within the budget.
func survivors(voters []plan.Voter, core plan.Core) int {
	worst := len(voters) - core.Hosts
	zones := map[string]int{}
	for _, voter := range voters {
		zones[voter.Zone]++
		if core.Zones > 0 {
			worst = min(worst, len(voters)-zones[voter.Zone])
		}
	}
	return worst - len(voters)/2 - 1
}

// end looks at the world after the run.
func (c *checker) end() {
	state := c.store.committed
	if state == nil || !state.Outcome.Ended() {
		var holds []execute.Blocker
		for _, one := range c.store.instances {
			holds = append(holds, one.machine.Blockers()...)
		}
		c.broken(ruleEnd, "it has not ended: %+v; holds %+v", state, holds)
		return
	}
	for number, stage := range c.plan.Stages {
		for index, replacement := range stage.Replacements {
			finished := number < state.Stage || number == state.Stage && state.Tasks[index].Phase == execute.Finished
			c.endOf(&replacement, finished)
		}
	}
}

func (c *checker) endOf(replacement *plan.Replacement, finished bool) {
	old, next := c.nodes[replacement.Old.ID], c.nodes[replacement.New.ID]
	if finished {
		old, next = next, old
	}
	if !old.ready(c.now) || next.present {
		c.broken(ruleEnd, "%s is to serve and %s is to be gone", old.spec.ID, next.spec.ID)
	}
	if old.spec.Kind == room.Core && (!old.votes || next.votes) {
		c.broken(ruleEnd, "%s is to vote instead of %s", old.spec.ID, next.spec.ID)
	}
	if slices.Contains(c.store.committed.Cordoned, old.spec.ID) {
		c.broken(ruleEnd, "%s is withheld", old.spec.ID)
	}
}
