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
	// watchHold is the longest wait for news that is asked of a control machine.
	watchHold = time.Second
	// overdueAfter is how long after its hold an answer may come before other control machines are asked: a cut
	// says nothing.
	overdueAfter = 250 * time.Millisecond
	// watchTimeout ends a call.
	watchTimeout = watchHold + time.Second
	// noticeTimeout ends a call that is not held.
	noticeTimeout = time.Second
	// doubtfulHold is asked of a control machine that doesn't hold the agreed state.
	doubtfulHold = 400 * time.Millisecond
	// doubtPatience is how long the current control machine may lack the agreed state before others are probed:
	// while the view changes none of them holds it.
	doubtPatience = 300 * time.Millisecond
	// doubtfulFor is how long a control machine that doesn't hold the agreed state is put up with.
	doubtfulFor = 1500 * time.Millisecond
	// shortestBackoff and longestBackoff bound the wait after a failure, before jitter.
	shortestBackoff = 50 * time.Millisecond
	longestBackoff  = 400 * time.Millisecond
	// shortestDial and longestDial bound the opening of a connection: a machine without power says nothing, so the
	// first tries are short; each one that was too short makes the next one longer.
	shortestDial = 150 * time.Millisecond
	longestDial  = time.Second
	// shortestPause and longestPause bound the wait after an answer that came soon and brought nothing; it doubles
	// with each one in a row. The first one is short: the control machine may just have come to hold the agreed state.
	shortestPause = 10 * time.Millisecond
	longestPause  = 160 * time.Millisecond
	// settleFor is how long a control machine is kept, once it is the current one, before a nearer one is preferred:
	// the proxy's readiness comes first.
	settleFor = time.Second
	// reportPause is how long the next watch waits for the proxy to take the news, to report it.
	reportPause = 100 * time.Millisecond
	// maxNotices bounds the notices under way.
	maxNotices = 3
)

// noConnectionError tells that a connection did not come up in time.
type noConnectionError struct{}

func (*noConnectionError) Error() string { return "no connection in time" }

var errNoConnection = &noConnectionError{}

// link keeps one long poll open to one control machine at a time. While that one doesn't answer with the agreed
// state, others are probed, and the first that does becomes the current one.
type link struct {
	targets     targets
	random      *rand.Rand
	current     string        // address of the control machine, empty at first
	since       time.Duration // when the current machine became that
	linked      bool          // the current machine has shown that it holds the agreed state, and hasn't failed since
	inFlight    bool
	long        watchCall // the last long poll that was sent
	coming      bool      // its answer has begun to come
	due         time.Duration
	reportUntil time.Duration // the next watch may wait so long for the proxy
	failures    int           // in a row
	empties     int           // answers in a row that came soon and brought nothing
	dial        time.Duration // for the opening of the next connection
	doubtful    bool          // the current machine doesn't hold the agreed state
	doubtSince  time.Duration
	wantDigests bool
	viewNumber  uint64
	calls       uint64 // made so far
	notices     int    // in flight
	lastNotice  watchCall
	noticing    bool   // lastNotice is in flight
	fetching    uint64 // the notice in flight that fetches what a probe told of; 0: none
	probes      probes
}

func newLink(targets targets, random *rand.Rand) link {
	return link{targets: targets, random: random, dial: shortestDial}
}

// next is the long poll that is due, nil if none is. News that the proxy hasn't taken yet holds it up a little.
func (l *link) next(now time.Duration, record *pb.AgentRecord, held *catalog.Snapshot, feeding bool) *watchCall {
	if l.inFlight || now < l.due {
		return nil
	}
	if feeding && now < l.reportUntil {
		return nil
	}
	if l.current == "" || !l.targets.known(l.current) {
		l.moveTo(now, l.targets.choose(now, ""))
	}
	if l.current == "" {
		l.due = now + longestBackoff
		return nil
	}
	hold := watchHold
	if l.doubtful {
		hold = doubtfulHold
	}
	call := l.call(now, l.current, record, held)
	call.request.HoldMs = uint32(hold / time.Millisecond)
	call.timeout = watchTimeout
	l.inFlight = true
	l.long = call
	l.coming = false
	return &call
}

// notice is a call that is answered at once, beside the long poll.
func (l *link) notice(now time.Duration, address string, record *pb.AgentRecord, held *catalog.Snapshot) watchCall {
	call := l.call(now, address, record, held)
	call.kind = watchNotice
	call.timeout = noticeTimeout
	l.notices++
	l.lastNotice = call
	l.noticing = true
	return call
}

func (l *link) call(now time.Duration, address string, record *pb.AgentRecord, held *catalog.Snapshot) watchCall {
	request := &pb.WatchRequest{
		Agent:      record,
		Sequence:   held.Sequence(),
		Generation: held.Generation(),
		ViewNumber: l.viewNumber,
	}
	l.calls++
	call := watchCall{id: l.calls, address: address, request: request, started: now, dial: l.dial}
	if l.wantDigests {
		request.Digests = held.Digests()
		call.base = held
	}
	return call
}

// isCurrent tells whether a call is the long poll that is waited for. One that took too long may have been given up.
func (l *link) isCurrent(call watchCall) bool { return l.inFlight && call.id == l.long.id }

// begun notes that the answer to a call has begun to come.
func (l *link) begun(id uint64) {
	if l.inFlight && id == l.long.id {
		l.coming = true
	}
}

// noticeDone takes the end of a notice.
func (l *link) noticeDone(call watchCall) {
	l.notices--
	if call.id == l.fetching {
		l.fetching = 0
	}
	if call.id == l.lastNotice.id {
		l.noticing = false
	}
}

// failed moves to another control machine after a wait.
func (l *link) failed(now time.Duration, call watchCall, err error) {
	if call.kind == watchNotice {
		l.noticeDone(call)
		return
	}
	l.targets.fail(now, call.address)
	if call.kind == watchProbe {
		l.probes.end(call.address, now+l.backoff())
		return
	}
	if !l.isCurrent(call) {
		return
	}
	if errors.Is(err, errNoConnection) {
		l.dial = min(l.dial*3/2, longestDial)
	}
	l.inFlight = false
	l.linked = false
	l.failures++
	l.moveTo(now, l.targets.choose(now, call.address))
	l.due = now + l.backoff()
}

// backoff doubles with each failure in a row, within its bounds, and varies by half.
func (l *link) backoff() time.Duration {
	backoff := longestBackoff
	if doublings := max(l.failures-1, 0); doublings < 10 {
		backoff = min(shortestBackoff<<doublings, longestBackoff)
	}
	return backoff/2 + time.Duration(l.random.Int64N(int64(backoff)))
}

// answered takes an answer. Outcome tells what it brought.
func (l *link) answered(now time.Duration, call watchCall, response *pb.WatchResponse, outcome watchOutcome) {
	if call.kind == watchProbe {
		l.probed(now, call, response, outcome)
		return
	}
	if outcome.behind || outcome.news { // else it says nothing of what another machine needs digests for
		l.wantDigests = outcome.behind && (response.GetNeedDigests() || !outcome.news)
	}
	if call.kind == watchNotice {
		l.noticeDone(call)
		return
	}
	if !l.isCurrent(call) {
		return
	}
	l.inFlight = false
	l.failures = 0
	l.dial = shortestDial
	l.due = now
	l.reportUntil = now + reportPause
	l.pace(now, call, outcome.news || response.GetNeedDigests())
	l.judge(now, call.address, response.GetAuthoritative())
}

// pace lets some time pass after answers that came soon and brought nothing.
func (l *link) pace(now time.Duration, call watchCall, useful bool) {
	if useful || now-call.started >= longestPause {
		l.empties = 0
		return
	}
	l.due = now + min(shortestPause<<min(l.empties, 10), longestPause)
	l.empties++
}

// watchOutcome tells what an answer brought.
type watchOutcome struct {
	news   bool // something that was not held
	behind bool // the control machine holds more than this one still
}

// takeView learns the voters of a newer view and tells whether it was one.
func (l *link) takeView(view *pb.View) bool {
	if view.GetNumber() <= l.viewNumber || len(view.GetVoters()) == 0 {
		return false
	}
	l.viewNumber = view.GetNumber()
	l.targets.voters = view.GetVoters()
	return true
}

// judge leaves a control machine that doesn't hold the agreed state for too long, or for a nearer one.
func (l *link) judge(now time.Duration, address string, authoritative bool) {
	if authoritative {
		l.linked = true
		l.probes.lacking = nil
		l.doubtful = false
		if nearer := l.targets.nearer(now, address); nearer != "" && now-l.since >= settleFor {
			l.moveTo(now, nearer)
		}
		return
	}
	if !l.doubtful {
		l.doubtful = true
		l.doubtSince = now
		return
	}
	if now-l.doubtSince >= doubtfulFor {
		l.targets.fail(now, address)
		l.moveTo(now, l.targets.choose(now, address))
	}
}

// moveTo makes a control machine the current one.
func (l *link) moveTo(now time.Duration, address string) {
	if address != l.current {
		l.current = address
		l.since = now
		l.doubtful = false
	}
}

// wake is when the link has something to do; there is always something.
func (l *link) wake(now time.Duration, feeding bool) time.Duration {
	at := l.due
	if feeding {
		at = max(l.due, l.reportUntil)
	}
	if l.inFlight {
		at = l.overdueAt()
	}
	return min(at, l.probeAt(now))
}

// fields describe the link for the log.
func (l *link) fields() []zap.Field {
	return []zap.Field{
		zap.String("control", l.current),
		zap.Uint64("view", l.viewNumber),
		zap.Int("voters", len(l.targets.voters)),
	}
}
