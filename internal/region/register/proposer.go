package register

import (
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Limits and timeouts of a proposer.
const (
	// maxQueuedCalls is the maximum number of calls that wait for execution on one register.
	maxQueuedCalls = 128
	// maxWatchers is the maximum number of watches that wait for a later value of one register.
	maxWatchers = 256
	// callLifetime is how long a call may wait for execution. After that time the caller has given up.
	callLifetime = 900 * time.Millisecond
	// resendInterval is how long the proposer waits for answers before it sends its request again.
	resendInterval = 250 * time.Millisecond
	// phaseTimeout is how long a majority may take to answer before the proposer gives up its proposal number.
	phaseTimeout = 1500 * time.Millisecond
	// retryInterval is the minimum time between two prepares that follow a rejection by a higher proposal number.
	retryInterval = 100 * time.Millisecond
	// minPacedBytes is the size from which on a whole value is sent to a voter at most once in pacedInterval: sending it
	// again while it may still be on its way would delay it further.
	minPacedBytes = 64 << 10
	pacedInterval = time.Second
	// clockDriftMargin is added to the duration of a lease, to allow for clocks that run at slightly different rates.
	clockDriftMargin = 20 * time.Millisecond
)

type phase int

const (
	// phaseIdle means that this machine is not the proposer of the register.
	phaseIdle phase = iota
	// phasePreparing means that the proposer has asked for promises.
	phasePreparing
	// phaseLeading means that a majority has promised the proposer's number.
	phaseLeading
)

// proposer writes one register, on behalf of one machine.
type proposer struct {
	proposers *Proposers
	name      string

	phase        phase
	startedAt    time.Duration        // start of the phase, or of the batch in flight
	sentAt       time.Duration        // time of the last request to the voters
	resends      int                  // number of times that the prepare in progress was sent again
	lastCallAt   time.Duration        // arrival of the last call
	lastRetry    time.Duration        // time of the last prepare that followed a rejection by a higher proposal number
	highestRound uint64               // round in the highest known proposal number
	position     *pb.RegisterPosition // proposal number, and sequence of the last value accepted under it
	// adopted is the position of the value that was adopted at the start of phaseLeading; nil if the register was never
	// written. It is the position of value until a value is accepted under the own proposal number.
	adopted *pb.RegisterPosition
	value   *pb.RegisterValue // value at adopted or position; nil if the register was never written
	// leaseExpiresAt is the time by which the holder of a lock no longer considers itself the holder.
	leaseExpiresAt time.Duration
	promises       *promises // answers to the prepare in progress; nil in other phases
	batch          *batch    // batch in flight; nil if there is none
	// held holds, by identity, the positions that voters are believed to have accepted. A voter without an entry is
	// believed to hold the base of the batch.
	held map[string]*pb.RegisterPosition
	// wholeSentAt holds, by identity, when a whole value of at least minPacedBytes was last sent to a voter.
	wholeSentAt map[string]time.Duration

	queue    []*operation
	watchers []*operation
}

func (p *proposer) voters() []*pb.Replica { return p.proposers.replica.membership.Voters }

func (p *proposer) majority() int { return p.proposers.replica.membership.Majority() }

// submit queues a call, or rejects it as BUSY if the queue is full.
func (p *proposer) submit(now time.Duration, from *pb.Replica, call *pb.CoordinationCall) {
	next := &operation{call: call, from: from, arrived: now}
	p.lastCallAt = now
	if len(p.queue) >= maxQueuedCalls || call.GetWatch() != nil && len(p.watchers) >= maxWatchers {
		p.reply(next, next.result(&pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_BUSY}))
		return
	}
	if p.contains(from, call.GetId()) {
		return
	}
	p.queue = append(p.queue, next)
	p.advance(now)
}

// contains reports whether the call with this id from this machine is already being processed.
func (p *proposer) contains(from *pb.Replica, id uint64) bool {
	isSame := func(known *operation) bool {
		return known.call.GetId() == id && known.from.GetIdentity() == from.GetIdentity()
	}
	if p.batch != nil && slices.ContainsFunc(p.batch.operations, isSame) {
		return true
	}
	return slices.ContainsFunc(p.queue, isSame) || slices.ContainsFunc(p.watchers, isSame)
}

func (p *proposer) reply(done *operation, result *pb.CoordinationResult) {
	p.proposers.output.Reply(done.from, result)
}

// advance prepares or proposes if calls are queued and neither a prepare nor a batch is in progress.
func (p *proposer) advance(now time.Duration) {
	if len(p.queue) == 0 {
		return
	}
	switch {
	case p.phase == phaseIdle:
		p.prepare(now)
	case p.phase == phaseLeading && p.batch == nil:
		p.propose(now)
	}
}

// superseded gives up the proposal number because another proposer has a higher number. If calls are waiting, it
// prepares again with a still higher number. If the last such prepare was within retryInterval, it returns the calls to
// the machines that forwarded them, which then choose a proposer again.
func (p *proposer) superseded(now time.Duration, by *pb.RegisterPosition) {
	p.highestRound = max(p.highestRound, by.GetRound())
	if now-p.lastRetry < retryInterval {
		p.stop()
		return
	}
	p.lastRetry = now
	waiting := p.queue
	if p.batch != nil {
		waiting = slices.Concat(p.batch.operations, waiting)
	}
	p.batch = nil
	p.queue = nil
	p.stop()
	p.queue = slices.Concat(waiting, p.queue)
	p.advance(now)
}

// stop abandons all work on the register and answers all of its calls.
func (p *proposer) stop() {
	var open []*operation
	if p.batch != nil {
		open = p.batch.operations
	}
	open = slices.Concat(open, p.queue, p.watchers)
	p.phase = phaseIdle
	p.batch = nil
	p.promises = nil
	p.value = nil
	p.queue = nil
	p.watchers = nil
	for _, waiting := range open {
		p.reply(waiting, waiting.unfinished())
	}
}

// tick handles timeouts, and resends the request in progress to the voters that have not answered.
func (p *proposer) tick(now time.Duration) {
	p.expireWatchers(now)
	isWorking := p.phase == phasePreparing || p.batch != nil
	switch {
	case !isWorking:
		p.advance(now)
	case now-p.startedAt >= phaseTimeout:
		p.stop()
	case now-p.sentAt < resendInterval<<p.resends:
	case p.phase == phasePreparing:
		p.resends++ // answers may carry whole values and take long
		p.sendPrepare(now)
	default:
		p.sendAccept(now)
	}
}

// isIdle reports whether the proposer may be discarded.
func (p *proposer) isIdle(now time.Duration) bool {
	hasWork := p.batch != nil || p.phase == phasePreparing || len(p.queue) > 0 || len(p.watchers) > 0
	return !hasWork && now-p.lastCallAt > idleTimeout
}
