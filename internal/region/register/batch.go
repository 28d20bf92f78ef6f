package register

import (
	"strconv"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

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
