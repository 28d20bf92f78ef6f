package register

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// promises collects the answers to a prepare.
type promises struct {
	granted   map[string]bool                 // voters that have promised, by identity
	held      map[string]*pb.RegisterPosition // positions accepted by the voters in granted
	accepted  *pb.RegisterPosition            // newest known position of an accepted value
	value     *pb.RegisterValue               // value at accepted
	grantedAt time.Duration                   // upper bound on the time at which the newest grant of a lock was requested
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
