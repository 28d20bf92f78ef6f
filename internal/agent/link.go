package agent

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
)

// Times of the link to control.
const (
	// watchHold is the longest wait for news that is asked of a control machine.
	watchHold = time.Second
	// watchTimeout ends a call: a cut says nothing.
	watchTimeout = 2500 * time.Millisecond
	// noticeTimeout ends a call that is not held.
	noticeTimeout = time.Second
	// doubtfulHold is asked of a control machine that doesn't hold the agreed state.
	doubtfulHold = 400 * time.Millisecond
	// doubtfulFor is how long a control machine that doesn't hold the agreed state is put up with.
	doubtfulFor = 1500 * time.Millisecond
	// shortestBackoff and longestBackoff bound the wait after a failure, before jitter.
	shortestBackoff = 50 * time.Millisecond
	longestBackoff  = time.Second
	// emptyPause is the wait after an answer that came soon and brought nothing.
	emptyPause = 100 * time.Millisecond
	// reportPause is how long the next watch waits for the proxy to take the news, to report it.
	reportPause = 100 * time.Millisecond
)

// link keeps one long poll open to one control machine at a time.
type link struct {
	targets     targets
	random      *rand.Rand
	current     string // address of the control machine, empty at first
	inFlight    bool
	long        watchCall // the last long poll that was sent
	due         time.Duration
	reportUntil time.Duration // the next watch may wait so long for the proxy
	failures    int           // in a row
	doubtful    bool          // the current machine doesn't hold the agreed state
	doubtSince  time.Duration
	wantDigests bool
	viewNumber  uint64
	notices     int // in flight
	lastNotice  watchCall
}

func newLink(targets targets, random *rand.Rand) link {
	return link{targets: targets, random: random}
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
		l.moveTo(l.targets.choose(now, ""))
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
	return &call
}

// notice is a call that is answered at once, beside the long poll.
func (l *link) notice(now time.Duration, address string, record *pb.AgentRecord, held *catalog.Snapshot) watchCall {
	call := l.call(now, address, record, held)
	call.notice = true
	call.timeout = noticeTimeout
	l.notices++
	l.lastNotice = call
	return call
}

func (l *link) call(now time.Duration, address string, record *pb.AgentRecord, held *catalog.Snapshot) watchCall {
	request := &pb.WatchRequest{
		Agent:      record,
		Sequence:   held.Sequence(),
		Generation: held.Generation(),
		ViewNumber: l.viewNumber,
	}
	call := watchCall{address: address, request: request, started: now}
	if l.wantDigests {
		request.Digests = held.Digests()
		call.base = held
	}
	return call
}

// failed moves to another control machine after a wait.
func (l *link) failed(now time.Duration, call watchCall) {
	if call.notice {
		l.notices--
		return
	}
	l.inFlight = false
	l.failures++
	l.targets.fail(now, call.address)
	l.moveTo(l.targets.choose(now, call.address))
	l.due = now + l.backoff()
}

// backoff doubles with each failure in a row, within its bounds, and varies by half.
func (l *link) backoff() time.Duration {
	backoff := longestBackoff
	if doublings := l.failures - 1; doublings < 10 {
		backoff = min(shortestBackoff<<doublings, longestBackoff)
	}
	return backoff/2 + time.Duration(l.random.Int64N(int64(backoff)))
}

// answered takes an answer. Outcome tells what it brought.
func (l *link) answered(now time.Duration, call watchCall, response *pb.WatchResponse, outcome watchOutcome) {
	l.wantDigests = outcome.behind && (response.GetNeedDigests() || !outcome.news)
	if call.notice {
		l.notices--
		return
	}
	l.inFlight = false
	l.failures = 0
	l.due = now
	l.reportUntil = now + reportPause
	if !outcome.news && !response.GetNeedDigests() && now-call.started < emptyPause {
		l.due = now + emptyPause
	}
	l.judge(now, call.address, response.GetAuthoritative())
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
		l.doubtful = false
		if nearer := l.targets.nearer(now, address); nearer != "" {
			l.moveTo(nearer)
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
		l.moveTo(l.targets.choose(now, address))
	}
}

// moveTo makes a control machine the current one.
func (l *link) moveTo(address string) {
	if address != l.current {
		l.current = address
		l.doubtful = false
	}
}

// wake is when the link has something to do.
func (l *link) wake(feeding bool) (time.Duration, bool) {
	if l.inFlight {
		return 0, false
	}
	if feeding {
		return max(l.due, l.reportUntil), true
	}
	return l.due, true
}

// fields describe the link for the log.
func (l *link) fields() []zap.Field {
	return []zap.Field{
		zap.String("control", l.current),
		zap.Uint64("view", l.viewNumber),
		zap.Int("voters", len(l.targets.voters)),
	}
}
