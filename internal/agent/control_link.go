package agent

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
)

// Times of the link to control.
const (
	// watchWait is the longest wait for news that is asked of a control machine.
	watchWait = time.Second
	// overdueMargin is how long after its hold an answer may come before other control machines are asked: a cut
	// says nothing.
	overdueMargin = 250 * time.Millisecond
	// watchTimeout ends a call.
	watchTimeout = watchWait + time.Second
	// noticeTimeout ends a call that is not held.
	noticeTimeout = time.Second
	// nonAuthoritativeWait is asked of a control machine that doesn't hold the agreed state.
	nonAuthoritativeWait = 400 * time.Millisecond
	// nonAuthoritativeProbeDelay is how long the current control machine may lack the agreed state before others are probed:
	// while the view changes none of them holds it.
	nonAuthoritativeProbeDelay = 300 * time.Millisecond
	// nonAuthoritativeTimeout is how long a control machine that doesn't hold the agreed state is put up with.
	nonAuthoritativeTimeout = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the wait after a failure, before jitter.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// minDialTimeout and maxDialTimeout bound the opening of a connection: a machine without power says nothing, so the
	// first tries are short; each one that was too short makes the next one longer.
	minDialTimeout = 150 * time.Millisecond
	maxDialTimeout = time.Second
	// minEmptyBackoff and maxEmptyBackoff bound the wait after an answer that came soon and brought nothing; it doubles
	// with each one in a row. The first one is short: the control machine may just have come to hold the agreed state.
	minEmptyBackoff = 10 * time.Millisecond
	maxEmptyBackoff = 160 * time.Millisecond
	// minTenure is how long a control machine is kept, once it is the current one, before a nearer one is preferred:
	// the proxy's readiness comes first.
	minTenure = time.Second
	// proxyReportWait is how long the next watch waits for the proxy to take the news, to report it.
	proxyReportWait = 100 * time.Millisecond
	// maxNotices bounds the notices under way.
	maxNotices = 3
)

// dialTimeoutError tells that a connection did not come up in time.
type dialTimeoutError struct{}

func (*dialTimeoutError) Error() string { return "no connection in time" }

var errDialTimeout = &dialTimeoutError{}

// link keeps one long poll open to one control machine at a time. While that one doesn't answer with the agreed
// state, others are probed, and the first that does becomes the current one.
type controlLink struct {
	endpoints             controlEndpoints
	random                *rand.Rand
	current               string        // address of the control machine, empty at first
	currentSince          time.Duration // when the current machine became that
	established           bool          // the current machine has shown that it holds the agreed state, and hasn't failed since
	inFlight              bool
	longPoll              watchCall // the last long poll that was sent
	responding            bool      // its answer has begun to come
	nextLongPoll          time.Duration
	proxyReportDeadline   time.Duration // the next watch may wait so long for the proxy
	consecutiveFailures   int           // in a row
	consecutiveEmpty      int           // answers in a row that came soon and brought nothing
	dialTimeout           time.Duration // for the opening of the next connection
	nonAuthoritative      bool          // the current machine doesn't hold the agreed state
	nonAuthoritativeSince time.Duration
	sendDigests           bool
	viewNumber            uint64
	callCount             uint64 // made so far
	noticesInFlight       int    // in flight
	lastNotice            watchCall
	lastNoticeInFlight    bool   // lastNotice is in flight
	stateFetchID          uint64 // the notice in flight that fetches what a probe told of; 0: none
	probes                probes
}

func newControlLink(endpoints controlEndpoints, random *rand.Rand) controlLink {
	return controlLink{endpoints: endpoints, random: random, dialTimeout: minDialTimeout}
}

// next is the long poll that is due, nil if none is. News that the proxy hasn't taken yet holds it up a little.
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

// notice is a call that is answered at once, beside the long poll.
func (l *controlLink) newNotice(now time.Duration, address string, record *pb.AgentRecord, state *catalog.Snapshot) watchCall {
	call := l.newCall(now, address, record, state)
	call.kind = watchNotice
	call.timeout = noticeTimeout
	l.noticesInFlight++
	l.lastNotice = call
	l.lastNoticeInFlight = true
	return call
}

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

// isCurrentLongPoll tells whether a call is the long poll that is waited for. One that took too long may have been given up.
func (l *controlLink) isCurrentLongPoll(call watchCall) bool {
	return l.inFlight && call.id == l.longPoll.id
}

// begun notes that the answer to a call has begun to come.
func (l *controlLink) handleResponseStarted(id uint64) {
	if l.inFlight && id == l.longPoll.id {
		l.responding = true
	}
}

// finishNotice takes the end of a notice.
func (l *controlLink) finishNotice(call watchCall) {
	l.noticesInFlight--
	if call.id == l.stateFetchID {
		l.stateFetchID = 0
	}
	if call.id == l.lastNotice.id {
		l.lastNoticeInFlight = false
	}
}

// failed moves to another control machine after a wait.
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

// backoff doubles with each failure in a row, within its bounds, and varies by half.
func (l *controlLink) backoff() time.Duration {
	backoff := maxBackoff
	if doublings := max(l.consecutiveFailures-1, 0); doublings < 10 {
		backoff = min(minBackoff<<doublings, maxBackoff)
	}
	return backoff/2 + time.Duration(l.random.Int64N(int64(backoff)))
}

// answered takes an answer. Outcome tells what it brought.
func (l *controlLink) handleResponse(now time.Duration, call watchCall, response *pb.WatchResponse, outcome watchOutcome) {
	if call.kind == watchProbe {
		l.handleProbeResponse(now, call, response, outcome)
		return
	}
	if outcome.moreAvailable || outcome.updated { // else it says nothing of what another machine needs digests for
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

// pace lets some time pass after answers that came soon and brought nothing.
func (l *controlLink) paceEmptyResponses(now time.Duration, call watchCall, useful bool) {
	if useful || now-call.started >= maxEmptyBackoff {
		l.consecutiveEmpty = 0
		return
	}
	l.nextLongPoll = now + min(minEmptyBackoff<<min(l.consecutiveEmpty, 10), maxEmptyBackoff)
	l.consecutiveEmpty++
}

// watchOutcome tells what an answer brought.
type watchOutcome struct {
	updated       bool // something that was not held
	moreAvailable bool // the control machine holds more than this one still
}

// adoptView learns the voters of a newer view and tells whether it was one.
func (l *controlLink) adoptView(view *pb.View) bool {
	if view.GetNumber() <= l.viewNumber || len(view.GetVoters()) == 0 {
		return false
	}
	l.viewNumber = view.GetNumber()
	l.endpoints.voters = view.GetVoters()
	return true
}

// judge leaves a control machine that doesn't hold the agreed state for too long, or for a nearer one.
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

// wake is when the link has something to do; there is always something.
func (l *controlLink) nextDue(now time.Duration, proxyLagging bool) time.Duration {
	at := l.nextLongPoll
	if proxyLagging {
		at = max(l.nextLongPoll, l.proxyReportDeadline)
	}
	if l.inFlight {
		at = l.overdueAt()
	}
	return min(at, l.nextProbeDue(now))
}

// fields describe the link for the log.
func (l *controlLink) fields() []zap.Field {
	return []zap.Field{
		zap.String("control", l.current),
		zap.Uint64("view", l.viewNumber),
		zap.Int("voters", len(l.endpoints.voters)),
	}
}
