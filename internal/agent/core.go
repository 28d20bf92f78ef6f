package agent

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/gossip"
	"fieldrelay/internal/shuffle"
)

// identity is who an agent is.
type identity struct {
	neighbour   shuffle.Neighbour
	incarnation uint64
}

// core owns the agent's state. It does no I/O apart from the log: step is told events and returns the calls to
// make. One goroutine alone uses it.
type core struct {
	identity identity
	logger   *zap.Logger
	grace    time.Duration
	held     *gossip.Replica
	view     *shuffle.View
	gossip   *gossip.Machine
	members  membership
	link     link
	feed     feed
	ending   ending
	counters counters
	lateness lateness
	broken   violations
	passDue  time.Duration
	asked    bool   // the proxy has been asked for its status, with or without success
	linkedTo string // as last logged
}

const (
	// passPeriod is the shortest time between two looks at what the gossip and the view have due.
	passPeriod = 200 * time.Millisecond
	// firstWatchBy is when control is told of this machine at the latest, whether the proxy's state is known or not:
	// an agent that was started anew beside a proxy that is ready shouldn't first say that it isn't.
	firstWatchBy = 300 * time.Millisecond
	// confirmWithin is the longest time that a call may have taken whose answer confirms the state: what it says was
	// true when it was written, and an answer that came slowly may be older than a hold.
	confirmWithin = watchTimeout
	// longestSleep is the longest time between two steps.
	longestSleep = time.Second
)

// newCore makes the state of an agent that knows only the addresses of some control machines.
func newCore(who identity, seeds []string, grace time.Duration, random *rand.Rand, logger *zap.Logger) *core {
	held := gossip.NewReplica()
	view := shuffle.New(who.neighbour, random)
	known := newTargets(who.neighbour.Zone, who.neighbour.Region, seeds, random)
	made := newLink(known, random)
	made.due = firstWatchBy
	return &core{
		identity: who,
		logger:   logger,
		grace:    grace,
		held:     held,
		view:     view,
		gossip:   gossip.New(held, view, random),
		members:  newMembership(who.neighbour, who.incarnation),
		link:     made,
	}
}

// step handles one event at the time now of a steady clock.
func (c *core) step(now time.Duration, happened event) []action {
	sequence := c.held.Sequence()
	actions := c.handle(now, happened)
	if c.held.Sequence() < sequence {
		panic("agent: the sequence of the copy fell")
	}
	c.lateness.observe(now, happened, c.held.Sequence(), c.feed.status)
	c.lateness.log(now, c.logger)
	actions = append(actions, c.pass(now)...)
	return append(actions, c.advance(now)...)
}

func (c *core) handle(now time.Duration, happened event) []action {
	switch happened := happened.(type) {
	case watchBegun:
		c.link.begun(happened.id)
	case watchDone:
		return c.watchDone(now, happened)
	case feedDone:
		c.feedDone(now, happened)
	case shuffleDone, pushDone, compareDone:
		return c.peerDone(now, happened)
	case shuffleAsked, pushAsked, compareAsked:
		return c.peerAsked(now, happened)
	case seedsRead:
		c.link.targets.seeds = happened.addresses
		c.logger.Info("settings read again", zap.Strings("seeds", happened.addresses))
	case endRequested:
		return c.endRequested(now)
	}
	return nil
}

// pass lets the gossip and the view do what is due.
func (c *core) pass(now time.Duration) []action {
	if now < c.passDue {
		return nil
	}
	c.passDue = now + passPeriod
	actions := c.gossipActions(c.gossip.Step(now, gossip.Tick{}))
	for _, wanted := range c.view.Step(now, shuffle.Tick{}) {
		if exchange, ok := wanted.(shuffle.Exchange); ok {
			c.counters.shuffles++
			actions = append(actions, shuffleCall{exchange})
		}
	}
	return actions
}

// advance begins the calls to the proxy and to control that are due.
func (c *core) advance(now time.Duration) []action {
	var actions []action
	if call := c.feed.next(now, c.held, &c.members); call != nil {
		c.counters.exchanges++
		if call.apply != nil {
			c.counters.applies++
			c.broken.checkSent(c.logger, call.apply, c.feed.status)
		}
		actions = append(actions, *call)
	}
	feeding := c.feed.lacksChanges(c.held)
	if call := c.link.next(now, c.record(), c.held.Snapshot(), feeding); call != nil {
		actions = append(actions, c.watch(*call))
	}
	for {
		call := c.link.probe(now, c.record(), c.held.Snapshot())
		if call == nil {
			break
		}
		c.counters.probes++
		actions = append(actions, c.watch(*call))
	}
	if c.noticeDue() {
		notice := c.link.notice(now, c.link.long.address, c.record(), c.held.Snapshot())
		actions = append(actions, c.notice(notice))
	}
	if c.counters.due(now) {
		c.logCounters(now)
	}
	return actions
}

// over tells whether the process may end.
func (c *core) over(now time.Duration) bool {
	return c.ending.over(now, &c.feed, c.link.notices)
}

// wake is when the core wants its next tick at the latest.
func (c *core) wake(now time.Duration) time.Duration {
	at := now + longestSleep
	if !c.feed.inFlight {
		at = min(at, c.feed.due)
	}
	at = min(at, c.link.wake(now, c.feed.lacksChanges(c.held)))
	if c.ending.requested {
		at = min(at, c.ending.deadline)
	}
	return at
}

// record is what control is told of this machine.
func (c *core) record() *pb.AgentRecord {
	return &pb.AgentRecord{
		Host:         c.identity.neighbour.Host,
		Incarnation:  c.identity.incarnation,
		Zone:         c.identity.neighbour.Zone,
		Region:       c.identity.neighbour.Region,
		AgentAddress: c.identity.neighbour.Address,
		EdgeAddress:  c.feed.status.GetEdgeAddress(),
		Ready:        c.feed.ready() && !c.ending.requested,
		Draining:     c.ending.requested || c.feed.status.GetDraining(),
		Sequence:     c.feed.status.GetSequence(),
	}
}

// watch completes a call to control.
func (c *core) watch(call watchCall) watchCall {
	c.counters.watches++
	call.request.List = c.held.ListVersion()
	call.request.MembersVersion = c.members.version
	call.request.MembersSource = c.members.source
	call.request.TakesPacked = true
	return call
}

func (c *core) notice(call watchCall) watchCall {
	c.counters.notices++
	return c.watch(call)
}

// noticeDue tells whether control must not wait for the next long poll to hear something: that the proxy became
// ready or ceased to be, or that it is new and its state wants to be confirmed.
func (c *core) noticeDue() bool {
	if !c.link.inFlight || c.link.notices >= maxNotices {
		return false
	}
	if c.link.noticing && c.link.lastNotice.address == c.link.long.address {
		return false
	}
	told := c.link.long
	if c.link.lastNotice.address == told.address && c.link.lastNotice.started >= told.started {
		told = c.link.lastNotice
	}
	record := c.record()
	heard := told.request.GetAgent()
	if record.GetReady() != heard.GetReady() || record.GetDraining() != heard.GetDraining() {
		return true
	}
	return c.feed.awaitsConfirmation() && told.started < c.feed.seenAt
}

func (c *core) watchDone(now time.Duration, done watchDone) []action {
	if done.err != nil {
		c.counters.watchFailures++
		c.counters.watchFailureKinds.count(done.err)
		c.link.failed(now, done.call, done.err)
		c.logLink(done.err)
		return nil
	}
	c.counters.countAnswer(now-done.call.started, done.response)
	actions, outcome := c.learn(now, done)
	c.link.answered(now, done.call, done.response, outcome)
	if done.call.kind == watchProbe && outcome.behind && !done.response.GetAuthoritative() {
		actions = append(actions, c.fetch(now, done.call.address)...)
	}
	if done.response.GetAuthoritative() && !outcome.behind && now-done.call.started <= confirmWithin {
		c.feed.confirm(done.call.started)
		c.lateness.confirm(now)
	}
	c.logLink(nil)
	return actions
}

// fetch asks a machine for the state that its answer to a probe told of. Nobody may hold the agreed state, and this be
// the only machine in reach that has a change: a chain that is cut off as a whole acknowledges for a while. One machine
// is asked at a time, so that the same does not come from several; one that holds the agreed state becomes the current
// one, which the long poll asks.
func (c *core) fetch(now time.Duration, address string) []action {
	if c.link.fetching != 0 || c.link.notices >= maxNotices {
		return nil // a later probe tells of it again
	}
	call := c.link.notice(now, address, c.record(), c.held.Snapshot())
	c.link.fetching = call.id
	return []action{c.notice(call)}
}

// learn takes what a control machine told. Any control machine tells committed changes only, whether it holds the
// agreed state or not.
func (c *core) learn(now time.Duration, done watchDone) ([]action, watchOutcome) {
	response := done.response
	sequence, list := c.held.Sequence(), c.held.ListVersion()
	if response.GetSequence() < sequence {
		c.counters.olderAnswers++
	}
	wanted := c.gossip.Step(now, gossip.UpdateReceived{
		Changes:    response.GetChanges(),
		Base:       done.call.base,
		Repair:     response.GetRepair(),
		Compressed: response.GetPacked(),
		List:       response.GetList(),
	})
	viewChanged := c.link.takeView(response.GetView())
	membersChanged := c.members.take(now, response.GetMembersSource(), response.GetMembers())
	c.members.heard(now)
	if membersChanged {
		c.view.Step(now, shuffle.MembersReceived{Members: c.members.neighbours()})
	}
	outcome := watchOutcome{
		news: viewChanged ||
			membersChanged ||
			c.held.Sequence() > sequence ||
			gossip.CompareVersions(c.held.ListVersion(), list) > 0,
		behind: response.GetSequence() > c.held.Sequence(),
	}
	return c.gossipActions(wanted), outcome
}

func (c *core) feedDone(now time.Duration, done feedDone) {
	reachable, ready := c.feed.reachable, c.feed.ready()
	earlier := c.feed.status
	found := c.feed.done(now, done)
	if !c.asked {
		c.asked = true
		c.link.due = min(c.link.due, now)
	}
	if done.err != nil {
		c.counters.feedFailures++
		c.counters.feedFailureKinds.count(done.err)
	}
	c.broken.checkReport(c.logger, earlier, c.feed.status)
	switch {
	case found:
		c.logger.Info("proxy found",
			zap.Uint64("incarnation", c.feed.status.GetIncarnation()),
			zap.Uint64("sequence", c.feed.status.GetSequence()))
	case reachable && !c.feed.reachable:
		c.logger.Warn("proxy gone", zap.Error(done.err))
	case !reachable && c.feed.reachable:
		c.logger.Info("proxy back")
	}
	if ready != c.feed.ready() {
		c.logger.Info("proxy readiness", zap.Bool("ready", c.feed.ready()))
	}
}

// endRequested tells two control machines that this machine is ending.
func (c *core) endRequested(now time.Duration) []action {
	c.ending.request(now, c.grace, &c.feed)
	c.logger.Info("asked to end", zap.Duration("grace", c.grace))
	first := c.link.current
	if first == "" {
		return nil
	}
	actions := []action{c.notice(c.link.notice(now, first, c.record(), c.held.Snapshot()))}
	if second := c.link.targets.choose(now, first); second != "" && second != first {
		actions = append(actions, c.notice(c.link.notice(now, second, c.record(), c.held.Snapshot())))
	}
	return actions
}

// logLink logs that the link goes to another control machine.
func (c *core) logLink(err error) {
	if c.link.current == c.linkedTo {
		return
	}
	c.linkedTo = c.link.current
	c.logger.Info("link to control", append(c.link.fields(), zap.Error(err))...)
}

func (c *core) logCounters(now time.Duration) {
	fields := append(c.counters.fields(),
		zap.Uint64("sequence", c.held.Sequence()),
		zap.Uint64("generation", c.held.Snapshot().Generation()),
		zap.Uint64("malformed_repairs", c.gossip.Malformed()),
		zap.Int("neighbours", len(c.view.Neighbours())),
		zap.Uint32("members", c.members.shares.GetProxies()),
		zap.Bool("proxy_ready", c.feed.ready()))
	fields = append(fields, c.lateness.fields(now)...)
	fields = append(fields, zap.Uint64("violations", c.broken.total()))
	if c.held.ListVersion() != nil {
		fields = append(fields, zap.Duration("list_age", now-c.held.ListConfirmedAt()))
	}
	c.logger.Info("counters", append(fields, c.link.fields()...)...)
}
