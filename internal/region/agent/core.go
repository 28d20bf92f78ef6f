package agent

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"fieldrelay/internal/region/gossip"
	"fieldrelay/internal/region/shuffle"
)

// identity identifies one run of an agent process.
type identity struct {
	neighbour   shuffle.Neighbour
	incarnation uint64 // number of the run, which increases from run to run
}

// core is the state machine of the agent. It does no I/O apart from the log: step takes an event and returns the calls
// to make. Times are those of a monotonic clock that begins above 0. A core is not safe for concurrent use.
//
// Each concern has a type of its own. Event handlers that involve several of these types are methods of core, in
// core_control.go, core_proxy.go and core_peers.go.
type core struct {
	identity identity
	logger   *zap.Logger
	grace    time.Duration // time between the platform's request to shut down and its killing of the process

	replica     *gossip.Replica // replica of the control state and the server list
	partialView *shuffle.View   // partial view of the overlay network of agents
	gossip      *gossip.Machine // exchanges updates with other agents
	members     membership      // edge machines, and the quota members derived from them
	control     controlLink     // link to the control machines
	proxy       proxyLink       // link to the proxy
	shutdown    shutdown

	counters   counters
	lag        lagMonitor
	violations violations

	gossipDue     time.Duration // time of the next tick of gossip and partialView
	proxyQueried  bool          // the first exchange with the proxy has ended, successfully or not
	loggedControl string        // address of the current control machine as last logged
}

const (
	// gossipInterval is the time between two ticks of the gossip and the partial view.
	gossipInterval = 200 * time.Millisecond
	// maxTickInterval is the maximum time between two steps.
	maxTickInterval = time.Second
)

// newCore returns the state of an agent that knows only the link addresses of some control machines, the seeds.
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

// step handles one event and returns the calls that have become due. The argument now must not decrease.
func (c *core) step(now time.Duration, received event) []action {
	sequence := c.replica.Sequence()
	actions := c.handle(now, received)
	if c.replica.Sequence() < sequence {
		panic("agent: invariant broken: the sequence of the replica decreased")
	}
	c.lag.observe(now, received, c.replica.Sequence(), c.proxy.status)
	c.lag.log(now, c.logger)
	actions = append(actions, c.stepGossip(now)...)
	actions = append(actions, c.startProxyCall(now)...)
	actions = append(actions, c.startControlCalls(now)...)
	if c.counters.due(now) {
		c.logCounters(now)
	}
	return actions
}

// handle dispatches an event to its handler, and returns the calls that the handler requests.
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
		c.logger.Info("settings reloaded", zap.Strings("seeds", received.addresses))
	case shutdownRequested:
		return c.handleShutdownRequested(now)
	}
	return nil
}

// nextTick returns the time by which step must be called again.
func (c *core) nextTick(now time.Duration) time.Duration {
	at := now + maxTickInterval
	if !c.proxy.inFlight {
		at = min(at, c.proxy.nextExchange)
	}
	at = min(at, c.control.nextDue(c.proxy.lagging(c.replica)))
	if c.shutdown.requested {
		at = min(at, c.shutdown.deadline)
	}
	return at
}

// finished reports whether the process may exit.
func (c *core) finished(now time.Duration) bool {
	return c.shutdown.finished(now, &c.proxy, c.control.noticesInFlight)
}

// handleShutdownRequested begins the shutdown, and notifies the current control machine and another control machine of
// the shutdown.
func (c *core) handleShutdownRequested(now time.Duration) []action {
	c.shutdown.begin(now, c.grace, &c.proxy)
	c.logger.Info("shutdown requested", zap.Duration("grace", c.grace))
	current := c.control.current
	if current == "" {
		return nil
	}
	actions := []action{c.newNotice(now, current)}
	if other := c.control.endpoints.choose(now, current); other != "" && other != current {
		actions = append(actions, c.newNotice(now, other))
	}
	return actions
}

// logCounters writes the counters log line.
func (c *core) logCounters(now time.Duration) {
	fields := append(c.counters.fields(),
		zap.Uint64("sequence", c.replica.Sequence()),
		zap.Uint64("generation", c.replica.Snapshot().Generation()),
		zap.Uint64("malformed_repairs", c.gossip.MalformedRepairs()),
		zap.Int("neighbours", len(c.partialView.Neighbours())),
		zap.Uint32("members", c.members.quotaMembers.GetProxies()),
		zap.Bool("proxy_ready", c.proxy.ready()))
	fields = append(fields, c.lag.fields(now)...)
	fields = append(fields, zap.Uint64("violations", c.violations.total()))
	if c.replica.ListVersion() != nil {
		fields = append(fields, zap.Duration("list_age", now-c.replica.ListConfirmedAt()))
	}
	c.logger.Info("counters", append(fields, c.control.fields()...)...)
}
