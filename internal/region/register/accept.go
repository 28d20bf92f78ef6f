package register

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

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
