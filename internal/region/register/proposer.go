package register

import (
	"slices"
	"strconv"
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

// promises collects the answers to a prepare.
type promises struct {
	granted   map[string]bool                 // voters that have promised, by identity
	held      map[string]*pb.RegisterPosition // positions accepted by the voters in granted
	accepted  *pb.RegisterPosition            // newest known position of an accepted value
	value     *pb.RegisterValue               // value at accepted
	grantedAt time.Duration                   // upper bound on the time at which the newest grant of a lock was requested
}

// batch is a set of calls that are executed together. A majority is asked to accept the resulting value or, if the
// calls change nothing, to confirm the previous value.
type batch struct {
	poll       uint64 // number of the batch, repeated in the answers of the voters
	operations []*operation
	results    []*pb.CoordinationResult // results of the operations; nil for a watch that keeps waiting
	change     *pb.RegisterChange       // change from the value at base to value; nil for a confirmation
	base       *pb.RegisterPosition     // position of the value on which the calls are executed
	position   *pb.RegisterPosition     // position of value
	value      *pb.RegisterValue        // value after all calls of the batch
	accepted   map[string]bool          // voters that have accepted the batch, by identity
	repaired   map[string]bool          // voters that were sent the whole value because they lacked the base, by identity
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

// prepare chooses a new proposal number and asks all voters to promise it.
func (p *proposer) prepare(now time.Duration) {
	local := p.proposers.replica.localState(p.name)
	p.highestRound = p.proposers.nextRound(max(p.highestRound, local.promised.GetRound()))
	p.phase = phasePreparing
	p.startedAt = now
	p.resends = 0
	p.position = &pb.RegisterPosition{
		Epoch:    p.proposers.replica.activeEpoch,
		Round:    p.highestRound,
		Proposer: p.proposers.name,
	}
	p.promises = &promises{
		granted:   make(map[string]bool),
		held:      make(map[string]*pb.RegisterPosition),
		accepted:  local.accepted,
		value:     local.value,
		grantedAt: local.grantedAt,
	}
	p.sendPrepare(now)
}

func (p *proposer) sendPrepare(now time.Duration) {
	p.sentAt = now
	message := &pb.Message{Body: &pb.Message_RegisterPrepare{RegisterPrepare: &pb.RegisterPrepare{
		Name:   p.name,
		Number: p.position,
		Held:   p.promises.accepted,
	}}}
	sentFor := p.promises
	for _, voter := range p.voters() {
		if p.promises == sentFor && !sentFor.granted[voter.GetIdentity()] {
			p.proposers.output.Send(voter, message)
		}
	}
}

// promised handles a voter's answer to a prepare.
func (p *proposer) promised(now time.Duration, from *pb.Replica, promise *pb.RegisterPromise) {
	if p.phase != phasePreparing || compareNumbers(promise.GetNumber(), p.position) != 0 {
		return
	}
	if !promise.GetGranted() {
		p.superseded(now, promise.GetPromised())
		return
	}
	p.promises.merge(now, promise)
	p.promises.granted[from.GetIdentity()] = true
	p.promises.held[from.GetIdentity()] = promise.GetAccepted()
	if len(p.promises.granted) < p.majority() {
		return
	}
	p.startLeading(now)
}

// merge adopts the value that a voter has accepted, if it is newer than the value known so far, and the voter's bound
// on the time of the newest grant.
func (p *promises) merge(now time.Duration, promise *pb.RegisterPromise) {
	grantedAt := now - time.Duration(promise.GetAgeMs())*time.Millisecond
	switch order := ComparePositions(promise.GetAccepted(), p.accepted); {
	case order > 0:
		isOtherGrant := promise.GetValue().GetLock().GetGrantedBy() != p.value.GetLock().GetGrantedBy()
		p.accepted = promise.GetAccepted()
		p.value = promise.GetValue()
		if isOtherGrant {
			p.grantedAt = grantedAt
		} else {
			p.grantedAt = min(p.grantedAt, grantedAt)
		}
	case order == 0:
		p.grantedAt = min(p.grantedAt, grantedAt)
	}
}

// startLeading enters phaseLeading after a majority has promised the proposal number.
func (p *proposer) startLeading(now time.Duration) {
	p.phase = phaseLeading
	p.value = p.promises.value
	hold := time.Duration(p.value.GetLock().GetHoldMs()) * time.Millisecond
	p.leaseExpiresAt = p.promises.grantedAt + hold + clockDriftMargin
	p.adopted = p.promises.accepted
	p.held = p.promises.held
	p.wholeSentAt = make(map[string]time.Duration)
	p.promises = nil
	p.advance(now)
}

// base returns the position of the value on which the next batch is executed.
func (p *proposer) base() *pb.RegisterPosition {
	if p.position.GetSequence() == 0 {
		return p.adopted
	}
	return p.position
}

// propose executes the queued calls and asks the voters to accept the outcome.
func (p *proposer) propose(now time.Duration) {
	p.dropExpired(now)
	if len(p.queue) == 0 {
		return
	}
	p.proposers.lastPoll++
	next := &batch{
		poll:     p.proposers.lastPoll,
		base:     p.base(),
		position: p.position,
		value:    p.currentValue(),
		accepted: make(map[string]bool),
		repaired: make(map[string]bool),
	}
	for _, waiting := range p.queue {
		p.execute(now, next, waiting)
	}
	p.queue = nil
	if next.value == nil {
		next.value = &pb.RegisterValue{}
	}
	if next.change == nil && p.position.GetSequence() == 0 {
		// The first batch under a new number always proposes a value. If an earlier proposer may have had a value
		// accepted, a majority must hold that value before a result depends on it. If no value can have been accepted
		// by a majority, the value of an earlier proposer must not be adopted later.
		next.change = sameValue(next.value)
	}
	if next.change != nil {
		next.position = successor(p.position)
		for _, contained := range next.operations {
			contained.proposed = true
		}
	}
	p.batch = next
	p.startedAt = now
	p.resends = 0
	p.sendAccept(now)
}

// dropExpired answers and removes the queued calls whose callers have given up.
func (p *proposer) dropExpired(now time.Duration) {
	waiting := p.queue
	p.queue = nil
	var expired []*operation
	for _, next := range waiting {
		if now-next.arrived > callLifetime && next.call.GetWatch() == nil {
			expired = append(expired, next)
		} else {
			p.queue = append(p.queue, next)
		}
	}
	for _, next := range expired {
		p.reply(next, next.unfinished())
	}
}

// currentValue returns the value at the position. It prefers this machine's replica, which omits the events that the
// replica has already compacted.
func (p *proposer) currentValue() *pb.RegisterValue {
	local := p.proposers.replica.localState(p.name)
	if p.value != nil && ComparePositions(local.accepted, p.base()) == 0 {
		return local.value
	}
	return p.value
}

func (p *proposer) execute(now time.Duration, next *batch, waiting *operation) {
	conditions := Conditions{
		LeaseRemaining: p.leaseExpiresAt - now,
		BatchID:        p.proposers.name + "/" + strconv.FormatUint(next.poll, 36),
	}
	if waiting.call.GetPut() != nil {
		conditions.FreeBytes = p.proposers.replica.freeBytes(next.value)
	}
	outcome := p.proposers.execute(next.value, waiting.call, conditions)
	next.operations = append(next.operations, waiting)
	if outcome.Wait {
		next.results = append(next.results, nil)
		return
	}
	next.results = append(next.results, waiting.result(outcome.Result))
	if outcome.Change == nil {
		return
	}
	value := ApplyChange(next.value, outcome.Change)
	next.change = mergeChanges(next.change, outcome.Change, value)
	next.value = value
	p.leaseExpiresAt = now + outcome.LeaseDuration + clockDriftMargin
}

// sendAccept sends the batch in flight to the voters that have not accepted it. A voter that is believed to hold the
// base value gets only the change; any other voter gets the whole value.
func (p *proposer) sendAccept(now time.Duration) {
	p.sentAt = now
	current := p.batch
	for _, voter := range p.voters() {
		if p.batch != current {
			return // this machine's own acceptance has completed a majority, so that the batch has ended
		}
		identity := voter.GetIdentity()
		switch {
		case current.accepted[identity]:
		case current.change == nil || p.holdsBase(identity):
			p.sendChange(voter, current.change)
		default:
			p.sendWhole(now, voter)
		}
	}
}

// holdsBase reports whether a voter is believed to hold the base of the batch in flight.
func (p *proposer) holdsBase(identity string) bool {
	if p.batch.repaired[identity] {
		return false
	}
	known, isKnown := p.held[identity]
	return !isKnown || ComparePositions(known, p.batch.base) == 0
}

// sendWhole sends the whole value of the batch in flight to a voter, unless a large one was sent to it just before.
func (p *proposer) sendWhole(now time.Duration, voter *pb.Replica) {
	identity := voter.GetIdentity()
	if valueBytes(p.batch.value) >= minPacedBytes {
		sentAt, wasSent := p.wholeSentAt[identity]
		if wasSent && now-sentAt < pacedInterval {
			return
		}
		p.wholeSentAt[identity] = now
	}
	p.sendChange(voter, wholeChange(p.batch.value))
}

func (p *proposer) sendChange(voter *pb.Replica, change *pb.RegisterChange) {
	p.proposers.output.Send(voter, &pb.Message{Body: &pb.Message_RegisterAccept{RegisterAccept: &pb.RegisterAccept{
		Name:     p.name,
		Position: p.batch.position,
		Poll:     p.batch.poll,
		Base:     p.batch.base,
		Change:   change,
	}}})
}

// accepted handles a voter's answer to an accept.
func (p *proposer) accepted(now time.Duration, from *pb.Replica, answer *pb.RegisterAccepted) {
	isOwn := p.phase == phaseLeading && compareNumbers(answer.GetPosition(), p.position) == 0
	switch answer.GetOutcome() {
	case pb.RegisterAccepted_OUTCOME_SUPERSEDED:
		if isOwn {
			p.superseded(now, answer.GetPromised())
		}
	case pb.RegisterAccepted_OUTCOME_BASE_MISSING:
		if isOwn {
			p.repair(now, from, answer)
		}
	case pb.RegisterAccepted_OUTCOME_ACCEPTED:
		if !isOwn || p.batch == nil || answer.GetPoll() != p.batch.poll {
			return
		}
		p.batch.accepted[from.GetIdentity()] = true
		if len(p.batch.accepted) >= p.majority() {
			p.commit(now)
		}
	}
}

// repair sends the whole value to a voter that lacks the base of a change. If the batch has ended, the voter gets the
// whole value with the next batch instead.
func (p *proposer) repair(now time.Duration, voter *pb.Replica, answer *pb.RegisterAccepted) {
	identity := voter.GetIdentity()
	if p.batch == nil || answer.GetPoll() != p.batch.poll || p.batch.repaired[identity] {
		p.held[identity] = nil
		return
	}
	p.batch.repaired[identity] = true
	p.sendWhole(now, voter)
}

// commit answers the calls of a batch that a majority has accepted, and starts the next batch.
func (p *proposer) commit(now time.Duration) {
	done := p.batch
	p.batch = nil
	p.position = done.position
	p.value = done.value
	for _, voter := range p.voters() {
		p.held[voter.GetIdentity()] = done.position
	}
	for index, contained := range done.operations {
		if result := done.results[index]; result != nil {
			p.reply(contained, result)
		} else {
			p.watchers = append(p.watchers, contained)
		}
	}
	p.answerWatchers(now)
	p.advance(now)
}

// answerWatchers answers the watches that have events to report in the value at the position, and the watches whose
// wait time is over.
func (p *proposer) answerWatchers(now time.Duration) {
	waiting := p.watchers
	p.watchers = nil
	type answer struct {
		to     *operation
		result *pb.CoordinationResult
	}
	var answers []answer
	for _, watcher := range waiting {
		outcome := p.proposers.execute(p.value, watcher.call, Conditions{})
		switch {
		case !outcome.Wait:
			answers = append(answers, answer{to: watcher, result: outcome.Result})
		case now-watcher.arrived >= time.Duration(watcher.call.GetWatch().GetWaitMs())*time.Millisecond:
			answers = append(answers, answer{to: watcher, result: emptyWatchResult(watcher)})
		default:
			p.watchers = append(p.watchers, watcher)
		}
	}
	for _, next := range answers {
		p.reply(next.to, next.to.result(next.result))
	}
}

// emptyWatchResult returns the result of a watch whose wait time ended without an event.
func emptyWatchResult(watcher *operation) *pb.CoordinationResult {
	return &pb.CoordinationResult{
		Outcome:  pb.CoordinationResult_OUTCOME_OK,
		Revision: watcher.call.GetWatch().GetAfter(),
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

// expireWatchers ends the watches whose wait time is over. It does not confirm the value first, because an empty answer
// says nothing about the value.
func (p *proposer) expireWatchers(now time.Duration) {
	if p.phase == phaseLeading && len(p.watchers) > 0 {
		p.answerWatchers(now)
	}
}

// isIdle reports whether the proposer may be discarded.
func (p *proposer) isIdle(now time.Duration) bool {
	hasWork := p.batch != nil || p.phase == phasePreparing || len(p.queue) > 0 || len(p.watchers) > 0
	return !hasWork && now-p.lastCallAt > idleTimeout
}
