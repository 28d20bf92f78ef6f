package simulate

import (
	"fmt"
	"slices"
	"time"

	"fieldrelay/internal/region/migration/capacity"
	"fieldrelay/internal/region/migration/execute"
	"fieldrelay/internal/region/migration/plan"
)

// rule is a condition that the checker checks, in words.
type rule string

const (
	ruleLost        rule = "no response is lost by the migration"
	ruleDuplicated  rule = "no response is duplicated"
	ruleCapacity    rule = "no capacity is removed that is needed"
	ruleReaction    rule = "cordoned nodes serve again when capacity falls short"
	ruleLastServer  rule = "a zone keeps a warm server"
	ruleVoters      rule = "the voters survive the fault budget"
	ruleTransitions rule = "states follow each other by allowed transitions"
	ruleEnd         rule = "a run ends, with the right nodes"
)

// violation is the violation of a rule.
type violation struct {
	rule rule
	at   time.Duration
	text string
}

// reactionTimeout is the longest time that a working executor may take to uncordon a node.
const reactionTimeout = 5 * time.Second

// minMeasuredFraction is the smallest ratio of measured to offered demand that the checker allows for.
const minMeasuredFraction = 0.75

// checker checks the rules in a deployment.
type checker struct {
	*deployment
	violations       []violation
	onlyRule         rule // rule that is checked; empty: all rules
	shortageDuration map[capacity.Group]time.Duration
	phases           map[execute.Phase]int // number of times that each phase was entered
}

func newChecker(d *deployment) *checker {
	return &checker{deployment: d, shortageDuration: map[capacity.Group]time.Duration{}, phases: map[execute.Phase]int{}}
}

// report records a violation. At most ten are recorded.
func (c *checker) report(broken rule, format string, arguments ...any) {
	if len(c.violations) < 10 && (c.onlyRule == "" || c.onlyRule == broken) {
		c.violations = append(c.violations, violation{broken, c.now, fmt.Sprintf(format, arguments...)})
	}
}

// lost records a response that the migration has lost.
func (c *checker) lost(response *response, why string) {
	c.report(ruleLost, "response by way of %s from %s: %s", response.edge.spec.ID, response.server.spec.ID, why)
}

// completed checks a complete response.
func (c *checker) completed(response *response) {
	if response.executions != 1 || response.written > response.length+tick {
		c.report(ruleDuplicated, "response with %d executions, %s written of %s", response.executions, response.written, response.length)
	}
}

// stopping checks a node that is about to be stopped.
func (c *checker) stopping(node *node) {
	if node.votes {
		c.report(ruleVoters, "%s is stopped while it votes", node.spec.ID)
	}
	if !slices.Contains(c.store.committed.Stop, node.spec.ID) {
		c.report(ruleTransitions, "%s is stopped, but is not in the Stop list of the committed state", node.spec.ID)
	}
}

// stored checks a state that replaces another one.
func (c *checker) stored(before, after *execute.State) {
	c.counts.states++
	if err := execute.CheckTransition(before, after, c.plan); err != nil {
		c.report(ruleTransitions, "%v", err)
		return
	}
	var cordoned []string
	if before != nil {
		cordoned = before.Cordoned
		c.checkReleased(before, after)
	}
	for index, task := range after.Tasks {
		if before == nil || before.Stage != after.Stage || task.Phase != before.Tasks[index].Phase {
			c.phases[task.Phase]++
		}
		if before != nil && before.Stage == after.Stage && isUncordoned(before.Tasks[index].Phase, task.Phase) {
			c.counts.uncordoned++
		}
	}
	for _, id := range after.Cordoned {
		node := c.nodes[id]
		if node.ready(c.now) && node.spec.Kind != capacity.Core && !slices.Contains(cordoned, id) {
			c.cordoning(node, after)
		}
	}
}

func isUncordoned(from, to execute.Phase) bool {
	cordoned := from == execute.Cordoning || from == execute.Draining || from == execute.RollbackDraining
	return cordoned && (to == execute.Warming || to == execute.Waiting)
}

// checkReleased checks that nodes that may be stopped remain so.
func (c *checker) checkReleased(before, after *execute.State) {
	for _, id := range before.Stop {
		if !slices.Contains(after.Stop, id) {
			c.report(ruleTransitions, "%s is no longer in the Stop list", id)
		}
	}
}

// cordoning checks a node that a new state cordons: another server serves in its zone, and the demand fits without it.
func (c *checker) cordoning(node *node, after *execute.State) {
	serving := c.serving(after.Cordoned)
	sameZone := func(other capacity.Node) bool {
		return other.Group() == node.spec.Group() && other.Zone == node.spec.Zone
	}
	stable := c.now >= c.faults.unstableUntil
	if stable && !slices.ContainsFunc(serving, sameZone) {
		c.report(ruleLastServer, "%s is cordoned, and no other node of its group serves in the zone", node.spec.ID)
	}
	headroom := c.input.Headroom
	headroom.Margin = 0
	if shortage := headroom.Check(node.spec.Group(), serving, c.offeredLoads(minMeasuredFraction)); stable && shortage != nil {
		c.report(ruleCapacity, "%s is cordoned, and %s", node.spec.ID, shortage)
	}
}

// serving returns the nodes that are in fact ready and are not cordoned.
func (c *checker) serving(cordoned []string) []capacity.Node {
	var nodes []capacity.Node
	for _, node := range c.orderedNodes {
		if node.ready(c.now) && !slices.Contains(cordoned, node.spec.ID) {
			nodes = append(nodes, node.spec)
		}
	}
	return nodes
}

// offeredLoads returns the offered demand, multiplied by a factor.
func (c *checker) offeredLoads(scale float64) []capacity.Load {
	return offeredLoads(c.clients, c.now, scale)
}

// arrivedLoads returns the offered demand, limited to the responses in flight for clients without recent rejections, since
// a burst fills the servers only gradually.
func (c *checker) arrivedLoads() []capacity.Load {
	return loadsBy(c.clients, func(from *client) float64 {
		if from.rejectedAt > 0 && c.now-from.rejectedAt < time.Second {
			return from.offered(c.now) * minMeasuredFraction
		}
		return min(from.offered(c.now)*minMeasuredFraction, float64(c.inFlightOf(from)))
	})
}

// check checks the deployment after a step.
func (c *checker) check() {
	c.checkVoters()
	if c.store.committed == nil {
		return
	}
	for _, group := range []capacity.Group{lmServers, {Kind: capacity.Edge}} {
		c.checkReaction(group)
	}
}

// checkReaction measures for how long a shortage of a group lasts although the group has cordoned nodes that could serve
// again.
func (c *checker) checkReaction(group capacity.Group) {
	uncordonable := c.uncordonable(group)
	executorWorks := slices.ContainsFunc(c.store.instances, func(instance *instance) bool { return !instance.outdated && c.now >= instance.frozenUntil })
	if len(uncordonable) == 0 || !executorWorks || !c.store.hasMajority() {
		c.shortageDuration[group] = 0
		return
	}
	if (capacity.Headroom{}).Check(group, c.serving(c.store.committed.Cordoned), c.arrivedLoads()) == nil {
		c.shortageDuration[group] = 0
		return
	}
	c.shortageDuration[group] += tick
	if c.shortageDuration[group] == reactionTimeout {
		c.report(ruleReaction, "%v remain cordoned despite a shortage of %s", uncordonable, group)
	}
}

// uncordonable returns the cordoned nodes of a group that could serve again.
func (c *checker) uncordonable(group capacity.Group) []string {
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

// checkVoters checks that the voters survive the fault budget, or at least as well as the initial voters did.
func (c *checker) checkVoters() {
	var voters []plan.Voter
	for _, node := range c.orderedNodes {
		if node.votes {
			voters = append(voters, plan.Voter{ID: node.spec.ID, Zone: node.spec.Zone})
		}
	}
	core := c.input.Core
	if majorityMargin(voters, core) < min(0, majorityMargin(core.Voters, core)) {
		c.report(ruleVoters, "voters %v do not survive the fault budget", voters)
	}
}

// end checks the deployment after the run.
func (c *checker) end() {
	state := c.store.committed
	if state == nil || !state.Outcome.Ended() {
		var blockers []execute.Blocker
		for _, instance := range c.store.instances {
			blockers = append(blockers, instance.machine.Blockers()...)
		}
		c.report(ruleEnd, "the run has not ended: state %+v, blockers %+v", state, blockers)
		return
	}
	for number, stage := range c.plan.Stages {
		for index, replacement := range stage.Replacements {
			finished := number < state.Stage || number == state.Stage && state.Tasks[index].Phase == execute.Finished
			c.endOf(&replacement, finished)
		}
	}
}

// endOf checks the nodes of a replacement after the run.
func (c *checker) endOf(replacement *plan.Replacement, finished bool) {
	old, next := c.nodes[replacement.Old.ID], c.nodes[replacement.New.ID]
	if finished {
		old, next = next, old
	}
	if !old.ready(c.now) || next.present {
		c.report(ruleEnd, "%s should serve and %s should have stopped", old.spec.ID, next.spec.ID)
	}
	if old.spec.Kind == capacity.Core && (!old.votes || next.votes) {
		c.report(ruleEnd, "%s should vote instead of %s", old.spec.ID, next.spec.ID)
	}
	if slices.Contains(c.store.committed.Cordoned, old.spec.ID) {
		c.report(ruleEnd, "%s should serve, but is cordoned", old.spec.ID)
	}
}

// majorityMargin returns the number of voters in excess of a majority that remain after the worst failure within the fault
// budget.
func majorityMargin(voters []plan.Voter, core plan.Core) int {
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
