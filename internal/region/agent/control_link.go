package agent

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

// Timing and limits of long polls and notices.
const (
	// watchWait is the maximum time that a long poll asks a control machine to wait for an update before responding.
	watchWait = time.Second
	// overdueMargin is the time after the wait of a long poll at which a missing response becomes overdue and other
	// control machines are probed. A network partition closes no connection, so no error reports the partition earlier.
	overdueMargin = 250 * time.Millisecond
	// watchTimeout is the time within which the response to a long poll has to start.
	watchTimeout = watchWait + time.Second
	// noticeTimeout is the time within which the response to a notice has to start. Control machines respond to notices
	// without waiting for an update.
	noticeTimeout = time.Second
	// maxNotices is the maximum number of notices in flight.
	maxNotices = 3
	// proxyReportWait is the maximum delay of the next long poll for the proxy to apply an update, so that the long
	// poll can report the update as applied.
	proxyReportWait = 100 * time.Millisecond
)

// Selection of the current control machine. A control machine has authority (the field authoritative of its responses)
// while it holds the agreed state and knows that no newer state is agreed.
const (
	// nonAuthoritativeWait replaces watchWait for a control machine without authority.
	nonAuthoritativeWait = 400 * time.Millisecond
	// nonAuthoritativeProbeDelay is how long the current control machine may lack authority before other control
	// machines are probed.
	// No control machine has authority during a view change.
	nonAuthoritativeProbeDelay = 300 * time.Millisecond
	// nonAuthoritativeTimeout is how long a control machine without authority stays the current one.
	nonAuthoritativeTimeout = 1500 * time.Millisecond
	// minTenure is the minimum time for which a control machine stays the current one before a nearer control machine
	// replaces it. Updating the proxy quickly, so that it becomes ready, has priority over proximity.
	minTenure = time.Second
)

// Backoff between calls, and timeouts of connections.
const (
	// minBackoff and maxBackoff bound the backoff after a failure, before jitter. The backoff doubles with each
	// consecutive failure.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// minEmptyBackoff and maxEmptyBackoff bound the backoff after a response that arrived early without an update. The
	// backoff doubles with each consecutive response of this kind, and begins short because the control machine may be
	// about to gain authority.
	minEmptyBackoff = 10 * time.Millisecond
	maxEmptyBackoff = 160 * time.Millisecond
	// maxDoublings bounds the shift in the computation of a backoff, which would otherwise overflow.
	maxDoublings = 10
	// minDialTimeout and maxDialTimeout bound the time for a connection to be established. The first attempts are
	// short, since a machine without power does not refuse connections. Each timeout makes the next timeout longer by
	// half, for slow links.
	minDialTimeout = 150 * time.Millisecond
	maxDialTimeout = time.Second
)

// dialTimeoutError reports that no connection was established in time.
type dialTimeoutError struct{}

func (*dialTimeoutError) Error() string {
	return "dial control machine: no connection within the timeout"
}

var errDialTimeout = &dialTimeoutError{}

// controlLink keeps one long poll open to one control machine at a time, the current machine. While the current machine
// does not respond or has no authority, other machines are probed, and the first machine that responds with authority
// becomes the current machine.
// Notices are requests in addition to the long poll to which control machines respond at once.
type controlLink struct {
	endpoints controlEndpoints
	random    *rand.Rand

	current               string        // address of the current control machine; empty: none has been chosen yet
	currentSince          time.Duration // time at which the current machine was chosen
	established           bool          // the current machine has responded with authority, and has not failed since
	nonAuthoritative      bool          // the last response of the current machine was without authority
	nonAuthoritativeSince time.Duration // time of the first of the consecutive responses without authority

	inFlight            bool          // a long poll is in flight
	longPoll            watchCall     // the last long poll sent
	responding          bool          // the response to the last long poll has started
	nextLongPoll        time.Duration // earliest time of the next long poll
	proxyReportDeadline time.Duration // time until which the next long poll may wait for the proxy
	consecutiveFailures int           // consecutive failures of long polls
	consecutiveEmpty    int           // consecutive responses that arrived early without an update
	dialTimeout         time.Duration // time for the next connection to be established

	noticesInFlight    int
	lastNotice         watchCall // last notice sent
	lastNoticeInFlight bool
	stateFetchID       uint64 // the notice in flight that fetches a state advertised in a probe response; 0: none
	probes             probes

	callCount   uint64 // number of calls of all kinds made so far; the source of the ids of the calls
	sendDigests bool   // the next request carries the replica's digests, for a repair
	viewNumber  uint64 // number of the newest view received
}

func newControlLink(endpoints controlEndpoints, random *rand.Rand) controlLink {
	return controlLink{endpoints: endpoints, random: random, dialTimeout: minDialTimeout}
}

// nextWatch returns the long poll that is due; nil if none is due. While the proxy lacks an update, the long poll is
// delayed by up to proxyReportWait, so that it can report the update as applied.
func (l *controlLink) nextWatch(now time.Duration, record *pb.AgentRecord, state *catalog.Snapshot, proxyLagging bool) *watchCall {
	if l.inFlight || now < l.nextLongPoll {
		return nil
	}
	if proxyLagging && now < l.proxyReportDeadline {
		return nil
	}
	if l.current == "" || !l.endpoints.known(l.current) {
		l.switchTo(now, l.endpoints.choose(now, ""))
	}
	if l.current == "" {
		l.nextLongPoll = now + maxBackoff
		return nil
	}
	wait := watchWait
	if l.nonAuthoritative {
		wait = nonAuthoritativeWait
	}
	call := l.newCall(now, l.current, record, state)
	call.request.HoldMs = uint32(wait / time.Millisecond)
	call.timeout = watchTimeout
	l.inFlight = true
	l.longPoll = call
	l.responding = false
	return &call
}

// newNotice returns a notice and counts it as in flight.
func (l *controlLink) newNotice(now time.Duration, address string, record *pb.AgentRecord, state *catalog.Snapshot) watchCall {
	call := l.newCall(now, address, record, state)
	call.kind = watchNotice
	call.timeout = noticeTimeout
	l.noticesInFlight++
	l.lastNotice = call
	l.lastNoticeInFlight = true
	return call
}

// newCall returns a call with the fields that requests of all kinds have in common.
func (l *controlLink) newCall(now time.Duration, address string, record *pb.AgentRecord, state *catalog.Snapshot) watchCall {
	request := &pb.WatchRequest{
		Agent:      record,
		Sequence:   state.Sequence(),
		Generation: state.Generation(),
		ViewNumber: l.viewNumber,
	}
	l.callCount++
	call := watchCall{id: l.callCount, address: address, request: request, started: now, dialTimeout: l.dialTimeout}
	if l.sendDigests {
		request.Digests = state.Digests()
		call.base = state
	}
	return call
}

// isCurrentLongPoll reports whether a call is the long poll in flight. The response to an overdue long poll may still
// arrive after the long poll has been abandoned.
func (l *controlLink) isCurrentLongPoll(call watchCall) bool {
	return l.inFlight && call.id == l.longPoll.id
}

// handleResponseStarted records that the first bytes of the response to a call have arrived.
func (l *controlLink) handleResponseStarted(id uint64) {
	if l.inFlight && id == l.longPoll.id {
		l.responding = true
	}
}

// finishNotice records the end of a notice.
func (l *controlLink) finishNotice(call watchCall) {
	l.noticesInFlight--
	if call.id == l.stateFetchID {
		l.stateFetchID = 0
	}
	if call.id == l.lastNotice.id {
		l.lastNoticeInFlight = false
	}
}

// handleFailure processes the failure of a call. If the long poll failed, another control machine becomes the current
// one and is called after a backoff.
func (l *controlLink) handleFailure(now time.Duration, call watchCall, err error) {
	if call.kind == watchNotice {
		l.finishNotice(call)
		return
	}
	l.endpoints.recordFailure(now, call.address)
	if call.kind == watchProbe {
		l.probes.finish(call.address, now+l.backoff())
		return
	}
	if !l.isCurrentLongPoll(call) {
		return
	}
	if errors.Is(err, errDialTimeout) {
		l.dialTimeout = min(l.dialTimeout*3/2, maxDialTimeout)
	}
	l.inFlight = false
	l.established = false
	l.consecutiveFailures++
	l.switchTo(now, l.endpoints.choose(now, call.address))
	l.nextLongPoll = now + l.backoff()
}

// backoff returns the time to wait after a failure. The backoff is exponential in the number of consecutive failures,
// with a jitter of plus or minus one half.
func (l *controlLink) backoff() time.Duration {
	backoff := maxBackoff
	if doublings := max(l.consecutiveFailures-1, 0); doublings < maxDoublings {
		backoff = min(minBackoff<<doublings, maxBackoff)
	}
	return backoff/2 + time.Duration(l.random.Int64N(int64(backoff)))
}

// watchOutcome is the effect of a response on the state of the agent.
type watchOutcome struct {
	updated       bool // the response contained a newer state, server list, membership or view
	moreAvailable bool // the control machine still holds newer state than the replica
}

// handleResponse processes the response to a call.
func (l *controlLink) handleResponse(now time.Duration, call watchCall, response *pb.WatchResponse, outcome watchOutcome) {
	if call.kind == watchProbe {
		l.handleProbeResponse(now, call, response, outcome)
		return
	}
	// A response of a machine that has nothing newer does not cancel another machine's request for digests.
	if outcome.moreAvailable || outcome.updated {
		l.sendDigests = outcome.moreAvailable && (response.GetNeedDigests() || !outcome.updated)
	}
	if call.kind == watchNotice {
		l.finishNotice(call)
		return
	}
	if !l.isCurrentLongPoll(call) {
		return
	}
	l.inFlight = false
	l.consecutiveFailures = 0
	l.dialTimeout = minDialTimeout
	l.nextLongPoll = now
	l.proxyReportDeadline = now + proxyReportWait
	l.paceEmptyResponses(now, call, outcome.updated || response.GetNeedDigests())
	l.evaluate(now, call.address, response.GetAuthoritative())
}

// paceEmptyResponses delays the next long poll after a response that arrived early without an update.
func (l *controlLink) paceEmptyResponses(now time.Duration, call watchCall, useful bool) {
	if useful || now-call.started >= maxEmptyBackoff {
		l.consecutiveEmpty = 0
		return
	}
	l.nextLongPoll = now + min(minEmptyBackoff<<min(l.consecutiveEmpty, maxDoublings), maxEmptyBackoff)
	l.consecutiveEmpty++
}

// adoptView adopts the voters of a view if the view is newer than the last adopted view, and reports whether it was.
func (l *controlLink) adoptView(view *pb.View) bool {
	if view.GetNumber() <= l.viewNumber || len(view.GetVoters()) == 0 {
		return false
	}
	l.viewNumber = view.GetNumber()
	l.endpoints.voters = view.GetVoters()
	return true
}

// evaluate decides, after a response to the long poll, whether the responding machine stays the current one. A machine
// with authority is replaced by a nearer machine after minTenure, and a machine that has lacked authority for
// nonAuthoritativeTimeout by any other machine.
func (l *controlLink) evaluate(now time.Duration, address string, authoritative bool) {
	if authoritative {
		l.established = true
		l.probes.nonAuthoritative = nil
		l.nonAuthoritative = false
		if nearer := l.endpoints.nearer(now, address); nearer != "" && now-l.currentSince >= minTenure {
			l.switchTo(now, nearer)
		}
		return
	}
	if !l.nonAuthoritative {
		l.nonAuthoritative = true
		l.nonAuthoritativeSince = now
		return
	}
	if now-l.nonAuthoritativeSince >= nonAuthoritativeTimeout {
		l.endpoints.recordFailure(now, address)
		l.switchTo(now, l.endpoints.choose(now, address))
	}
}

// switchTo makes a control machine the current one.
func (l *controlLink) switchTo(now time.Duration, address string) {
	if address != l.current {
		l.current = address
		l.currentSince = now
		l.nonAuthoritative = false
	}
}

// nextDue returns the time at which the next long poll or probe is due, or the long poll in flight becomes overdue.
func (l *controlLink) nextDue(proxyLagging bool) time.Duration {
	at := l.nextLongPoll
	if proxyLagging {
		at = max(l.nextLongPoll, l.proxyReportDeadline)
	}
	if l.inFlight {
		at = l.overdueAt()
	}
	return min(at, l.nextProbeDue())
}

// fields returns the fields that describe the link in log lines.
func (l *controlLink) fields() []zap.Field {
	return []zap.Field{
		zap.String("control", l.current),
		zap.Uint64("view", l.viewNumber),
		zap.Int("voters", len(l.endpoints.voters)),
	}
}
