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
	identity      identity
	logger        *zap.Logger
	grace         time.Duration
	replica       *gossip.Replica
	partialView   *shuffle.View
	gossip        *gossip.Machine
	members       membership
	control       controlLink
	proxy         proxyLink
	shutdown      shutdown
	counters      counters
	lag           lagMonitor
	violations    violations
	gossipDue     time.Duration
	proxyQueried  bool   // the proxy has been asked for its status, with or without success
	loggedControl string // as last logged
}

const (
	// gossipInterval is the shortest time between two looks at what the gossip and the view have due.
	gossipInterval = 200 * time.Millisecond
	// maxFirstWatchDelay is when control is told of this machine at the latest, whether the proxy's state is known or not:
	// an agent that was started anew beside a proxy that is ready shouldn't first say that it isn't.
	maxFirstWatchDelay = 300 * time.Millisecond
	// maxConfirmationLatency is the longest time that a call may have taken whose answer confirms the state: what it says was
	// true when it was written, and an answer that came slowly may be older than a hold.
	maxConfirmationLatency = watchTimeout
	// maxTickInterval is the longest time between two steps.
	maxTickInterval = time.Second
)

// newCore makes the state of an agent that knows only the addresses of some control machines.
func newCore(self identity, seeds []string, grace time.Duration, random *rand.Rand, logger *zap.Logger) *core {
	replica := gossip.NewReplica()
	view := shuffle.New(self.neighbour, random)
	endpoints := newControlEndpoints(self.neighbour.Zone, self.neighbour.Region, seeds, random)
	control := newControlLink(endpoints, random)
	control.nextLongPoll = maxFirstWatchDelay
	return &core{
		identity:    self,
		logger:      logger,
		grace:       grace,
		replica:     replica,
		partialView: view,
		gossip:      gossip.New(replica, view, random),
		members:     newMembership(self.neighbour, self.incarnation),
		control:     control,
	}
}

// step handles one event at the time now of a steady clock.
func (c *core) step(now time.Duration, received event) []action {
	sequence := c.replica.Sequence()
	actions := c.handle(now, received)
	if c.replica.Sequence() < sequence {
		panic("agent: the sequence of the copy fell")
	}
	c.lag.observe(now, received, c.replica.Sequence(), c.proxy.status)
	c.lag.log(now, c.logger)
	actions = append(actions, c.stepGossip(now)...)
	return append(actions, c.startDueCalls(now)...)
}

func (c *core) handle(now time.Duration, received event) []action {
	switch received := received.(type) {
	case watchResponseStarted:
		c.control.handleResponseStarted(received.id)
	case watchDone:
		return c.handleWatchDone(now, received)
	case proxyCallDone:
		c.handleProxyCallDone(now, received)
	case shuffleDone, pushDone, compareDone:
		return c.handlePeerCallDone(now, received)
	case shuffleRequested, pushRequested, compareRequested:
		return c.handlePeerRequest(now, received)
	case seedsReloaded:
		c.control.endpoints.seeds = received.addresses
		c.logger.Info("settings read again", zap.Strings("seeds", received.addresses))
	case shutdownRequested:
		return c.handleShutdownRequested(now)
	}
	return nil
}

// pass lets the gossip and the view do what is due.
func (c *core) stepGossip(now time.Duration) []action {
	if now < c.gossipDue {
		return nil
	}
	c.gossipDue = now + gossipInterval
	actions := c.gossipActions(c.gossip.Step(now, gossip.Tick{}))
	for _, one := range c.partialView.Step(now, shuffle.Tick{}) {
		if exchange, ok := one.(shuffle.Exchange); ok {
			c.counters.shuffles++
			actions = append(actions, shuffleCall{exchange})
		}
	}
	return actions
}

// advance begins the calls to the proxy and to control that are due.
func (c *core) startDueCalls(now time.Duration) []action {
	var actions []action
	if call := c.proxy.nextCall(now, c.replica, &c.members); call != nil {
		c.counters.exchanges++
		if call.apply != nil {
			c.counters.applies++
			c.violations.checkSent(c.logger, call.apply, c.proxy.status)
		}
		actions = append(actions, *call)
	}
	feeding := c.proxy.lagging(c.replica)
	if call := c.control.nextWatch(now, c.record(), c.replica.Snapshot(), feeding); call != nil {
		actions = append(actions, c.completeWatch(*call))
	}
	for {
		call := c.control.nextProbe(now, c.record(), c.replica.Snapshot())
		if call == nil {
			break
		}
		c.counters.probes++
		actions = append(actions, c.completeWatch(*call))
	}
	if c.noticeIsDue() {
		notice := c.control.newNotice(now, c.control.longPoll.address, c.record(), c.replica.Snapshot())
		actions = append(actions, c.completeNotice(notice))
	}
	if c.counters.due(now) {
		c.logCounters(now)
	}
	return actions
}

// over tells whether the process may end.
func (c *core) finished(now time.Duration) bool {
	return c.shutdown.finished(now, &c.proxy, c.control.noticesInFlight)
}

// wake is when the core wants its next tick at the latest.
func (c *core) nextTick(now time.Duration) time.Duration {
	at := now + maxTickInterval
	if !c.proxy.inFlight {
		at = min(at, c.proxy.nextExchange)
	}
	at = min(at, c.control.nextDue(now, c.proxy.lagging(c.replica)))
	if c.shutdown.requested {
		at = min(at, c.shutdown.deadline)
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
		EdgeAddress:  c.proxy.status.GetEdgeAddress(),
		Ready:        c.proxy.ready() && !c.shutdown.requested,
		Draining:     c.shutdown.requested || c.proxy.status.GetDraining(),
		Sequence:     c.proxy.status.GetSequence(),
	}
}

// watch completes a call to control.
func (c *core) completeWatch(call watchCall) watchCall {
	c.counters.watches++
	call.request.List = c.replica.ListVersion()
	call.request.MembersVersion = c.members.version
	call.request.MembersSource = c.members.source
	call.request.TakesPacked = true
	return call
}

func (c *core) completeNotice(call watchCall) watchCall {
	c.counters.notices++
	return c.completeWatch(call)
}

// noticeIsDue tells whether control must not wait for the next long poll to hear something: that the proxy became
// ready or ceased to be, or that it is new and its state wants to be confirmed.
func (c *core) noticeIsDue() bool {
	if !c.control.inFlight || c.control.noticesInFlight >= maxNotices {
		return false
	}
	if c.control.lastNoticeInFlight && c.control.lastNotice.address == c.control.longPoll.address {
		return false
	}
	notified := c.control.longPoll
	if c.control.lastNotice.address == notified.address && c.control.lastNotice.started >= notified.started {
		notified = c.control.lastNotice
	}
	record := c.record()
	notifiedRecord := notified.request.GetAgent()
	if record.GetReady() != notifiedRecord.GetReady() || record.GetDraining() != notifiedRecord.GetDraining() {
		return true
	}
	return c.proxy.awaitsConfirmation() && notified.started < c.proxy.foundAt
}

func (c *core) handleWatchDone(now time.Duration, done watchDone) []action {
	if done.err != nil {
		c.counters.watchFailures++
		c.counters.watchFailureKinds.count(done.err)
		c.control.handleFailure(now, done.call, done.err)
		c.logControlChange(done.err)
		return nil
	}
	c.counters.countResponse(now-done.call.started, done.response)
	actions, outcome := c.applyWatchResponse(now, done)
	c.control.handleResponse(now, done.call, done.response, outcome)
	if done.call.kind == watchProbe && outcome.moreAvailable && !done.response.GetAuthoritative() {
		actions = append(actions, c.fetchState(now, done.call.address)...)
	}
	if done.response.GetAuthoritative() && !outcome.moreAvailable && now-done.call.started <= maxConfirmationLatency {
		c.proxy.confirm(done.call.started)
		c.lag.confirm(now)
	}
	c.logControlChange(nil)
	return actions
}

// fetch asks a machine for the state that its answer to a probe told of. Nobody may hold the agreed state, and this be
// the only machine in reach that has a change: a chain that is cut off as a whole acknowledges for a while. One machine
// is asked at a time, so that the same does not come from several; one that holds the agreed state becomes the current
// one, which the long poll asks.
func (c *core) fetchState(now time.Duration, address string) []action {
	if c.control.stateFetchID != 0 || c.control.noticesInFlight >= maxNotices {
		return nil // a later probe tells of it again
	}
	call := c.control.newNotice(now, address, c.record(), c.replica.Snapshot())
	c.control.stateFetchID = call.id
	return []action{c.completeNotice(call)}
}

// learn takes what a control machine told. Any control machine tells committed changes only, whether it holds the
// agreed state or not.
func (c *core) applyWatchResponse(now time.Duration, done watchDone) ([]action, watchOutcome) {
	response := done.response
	sequence, listVersion := c.replica.Sequence(), c.replica.ListVersion()
	if response.GetSequence() < sequence {
		c.counters.staleResponses++
	}
	produced := c.gossip.Step(now, gossip.UpdateReceived{
		Changes:    response.GetChanges(),
		Base:       done.call.base,
		Repair:     response.GetRepair(),
		Compressed: response.GetPacked(),
		List:       response.GetList(),
	})
	viewChanged := c.control.adoptView(response.GetView())
	membersChanged := c.members.update(now, response.GetMembersSource(), response.GetMembers())
	c.members.expireLost(now)
	if membersChanged {
		c.partialView.Step(now, shuffle.MembersReceived{Members: c.members.neighbours()})
	}
	outcome := watchOutcome{
		updated: viewChanged ||
			membersChanged ||
			c.replica.Sequence() > sequence ||
			gossip.CompareVersions(c.replica.ListVersion(), listVersion) > 0,
		moreAvailable: response.GetSequence() > c.replica.Sequence(),
	}
	return c.gossipActions(produced), outcome
}

func (c *core) handleProxyCallDone(now time.Duration, done proxyCallDone) {
	reachable, ready := c.proxy.reachable, c.proxy.ready()
	previous := c.proxy.status
	discovered := c.proxy.handleDone(now, done)
	if !c.proxyQueried {
		c.proxyQueried = true
		c.control.nextLongPoll = min(c.control.nextLongPoll, now)
	}
	if done.err != nil {
		c.counters.proxyFailures++
		c.counters.proxyFailureKinds.count(done.err)
	}
	c.violations.checkReport(c.logger, previous, c.proxy.status)
	switch {
	case discovered:
		c.logger.Info("proxy found",
			zap.Uint64("incarnation", c.proxy.status.GetIncarnation()),
			zap.Uint64("sequence", c.proxy.status.GetSequence()))
	case reachable && !c.proxy.reachable:
		c.logger.Warn("proxy gone", zap.Error(done.err))
	case !reachable && c.proxy.reachable:
		c.logger.Info("proxy back")
	}
	if ready != c.proxy.ready() {
		c.logger.Info("proxy readiness", zap.Bool("ready", c.proxy.ready()))
	}
}

// handleShutdownRequested tells two control machines that this machine is ending.
func (c *core) handleShutdownRequested(now time.Duration) []action {
	c.shutdown.begin(now, c.grace, &c.proxy)
	c.logger.Info("asked to end", zap.Duration("grace", c.grace))
	current := c.control.current
	if current == "" {
		return nil
	}
	actions := []action{c.completeNotice(c.control.newNotice(now, current, c.record(), c.replica.Snapshot()))}
	if other := c.control.endpoints.choose(now, current); other != "" && other != current {
		actions = append(actions, c.completeNotice(c.control.newNotice(now, other, c.record(), c.replica.Snapshot())))
	}
	return actions
}

// logControlChange logs that the link goes to another control machine.
func (c *core) logControlChange(err error) {
	if c.control.current == c.loggedControl {
		return
	}
	c.loggedControl = c.control.current
	c.logger.Info("link to control", append(c.control.fields(), zap.Error(err))...)
}

func (c *core) logCounters(now time.Duration) {
	fields := append(c.counters.fields(),
		zap.Uint64("sequence", c.replica.Sequence()),
		zap.Uint64("generation", c.replica.Snapshot().Generation()),
		zap.Uint64("malformed_repairs", c.gossip.Malformed()),
		zap.Int("neighbours", len(c.partialView.Neighbours())),
		zap.Uint32("members", c.members.shares.GetProxies()),
		zap.Bool("proxy_ready", c.proxy.ready()))
	fields = append(fields, c.lag.fields(now)...)
	fields = append(fields, zap.Uint64("violations", c.violations.total()))
	if c.replica.ListVersion() != nil {
		fields = append(fields, zap.Duration("list_age", now-c.replica.ListConfirmedAt()))
	}
	c.logger.Info("counters", append(fields, c.control.fields()...)...)
}
