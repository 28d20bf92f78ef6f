package agent

import (
	"time"

	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/gossip"
	"fieldrelay/internal/region/serverlist"
	"fieldrelay/internal/region/shuffle"
)

const (
	// maxFirstWatchDelay is the latest time of the first long poll, whether the state of the proxy is known by then or
	// not. A restarted agent waits for the state of the proxy, so that its first report does not declare a ready proxy
	// not ready.
	maxFirstWatchDelay = 300 * time.Millisecond
	// maxConfirmationLatency is the maximum duration of a call whose response confirms the state. A response is valid
	// for the time at which it was written; a response that was transferred slowly may be older than the wait of a long
	// poll.
	maxConfirmationLatency = watchTimeout
)

// startControlCalls returns the calls to control machines that are due: a long poll, probes and a notice.
func (c *core) startControlCalls(now time.Duration) []action {
	var actions []action
	lagging := c.proxy.lagging(c.replica)
	if call := c.control.nextWatch(now, c.record(), c.replica.Snapshot(), lagging); call != nil {
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
		actions = append(actions, c.newNotice(now, c.control.longPoll.address))
	}
	return actions
}

// record returns the record of this machine that is reported to the control machines.
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

// completeWatch fills in the fields of a request for which the control link has no data.
func (c *core) completeWatch(call watchCall) watchCall {
	c.counters.watches++
	call.request.List = c.replica.ListVersion()
	call.request.MembersVersion = c.members.version
	call.request.MembersSource = c.members.source
	call.request.AcceptsCompressed = true
	return call
}

// newNotice returns a notice to a control machine.
func (c *core) newNotice(now time.Duration, address string) watchCall {
	c.counters.notices++
	return c.completeWatch(c.control.newNotice(now, address, c.record(), c.replica.Snapshot()))
}

// noticeIsDue reports whether a control machine has to be notified before the next long poll: the readiness or the
// draining of this machine has changed since the last report, or a proxy process was discovered after the last request
// whose response could confirm the state to that process.
func (c *core) noticeIsDue() bool {
	link := &c.control
	if !link.inFlight || link.noticesInFlight >= maxNotices {
		return false
	}
	if link.lastNoticeInFlight && link.lastNotice.address == link.longPoll.address {
		return false
	}
	notified := link.longPoll
	if link.lastNotice.address == notified.address && link.lastNotice.started >= notified.started {
		notified = link.lastNotice
	}
	record := c.record()
	notifiedRecord := notified.request.GetAgent()
	if record.GetReady() != notifiedRecord.GetReady() || record.GetDraining() != notifiedRecord.GetDraining() {
		return true
	}
	return c.proxy.awaitsConfirmation() && notified.started < c.proxy.discoveredAt
}

// handleWatchDone processes the result of a call to a control machine.
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
	if confirmsState(now, done, outcome) {
		c.proxy.confirm(done.call.started)
		c.lag.confirm(now)
	}
	c.logControlChange(nil)
	return actions
}

// confirmsState reports whether a response confirms that no state newer than that of the replica is agreed.
func confirmsState(now time.Duration, done watchDone, outcome watchOutcome) bool {
	return done.response.GetAuthoritative() && !outcome.moreAvailable && now-done.call.started <= maxConfirmationLatency
}

// fetchState requests the state that a machine without authority has advertised in its response to a probe. There may
// be no machine with authority, and the probed machine may be the only reachable machine that has a change: a
// replication chain that is partitioned off as a whole still acknowledges changes for a while. The state is requested
// from one machine at a time, so that several machines do not send the same state. No fetch is needed from a machine
// with authority, since it becomes the current machine and receives the long poll.
func (c *core) fetchState(now time.Duration, address string) []action {
	if c.control.stateFetchID != 0 || c.control.noticesInFlight >= maxNotices {
		return nil // the response to a later probe advertises the state again
	}
	call := c.newNotice(now, address)
	c.control.stateFetchID = call.id
	return []action{call}
}

// applyWatchResponse applies the update in a response, whether the responding machine has authority or not, since a
// control machine sends committed changes only. It returns the calls that forward the update to other agents.
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
		Compressed: response.GetCompressed(),
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
			serverlist.CompareVersions(c.replica.ListVersion(), listVersion) > 0,
		moreAvailable: response.GetSequence() > c.replica.Sequence(),
	}
	return c.peerCalls(produced), outcome
}

// logControlChange logs a change of the current control machine, with the error that caused the change, if any.
func (c *core) logControlChange(err error) {
	if c.control.current == c.loggedControl {
		return
	}
	c.loggedControl = c.control.current
	c.logger.Info("control machine changed", append(c.control.fields(), zap.Error(err))...)
}
