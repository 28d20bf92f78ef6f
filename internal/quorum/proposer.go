package quorum

import (
	pb "fieldrelay/api/fieldrelay/v1"
)

// Phase is how far an attempt to have a view decided has come.
type Phase int

// The phases of an attempt.
const (
	Preparing  Phase = iota // waits for the promises of a majority
	Accepting               // waits for a majority to accept the value
	Decided                 // the value is decided
	Superseded              // a higher ballot was promised to another proposer
)

// Proposer is one attempt to have the view after base decided. It counts each voter of base once.
type Proposer struct {
	base     *pb.View
	number   *pb.Ballot
	phase    Phase
	promises map[int]bool // by index among the voters of base
	accepts  map[int]bool
	value    *pb.View
	// the value accepted earlier under the highest ballot among the promises
	earlierNumber   *pb.Ballot
	earlierValue    *pb.View
	highestObserved *pb.Ballot // seen in any answer
}

// NewProposer begins an attempt under a ballot of its own.
func NewProposer(base *pb.View, ballot *pb.Ballot) *Proposer {
	return &Proposer{
		base:            base,
		number:          ballot,
		promises:        make(map[int]bool),
		accepts:         make(map[int]bool),
		highestObserved: ballot,
	}
}

// Phase tells how far the attempt has come.
func (p *Proposer) Phase() Phase { return p.phase }

// ProposalNumber is the attempt's own ballot.
func (p *Proposer) ProposalNumber() *pb.Ballot { return p.number }

// HighestObserved is the highest ballot seen in any answer, to choose a higher one next time.
func (p *Proposer) HighestObserved() *pb.Ballot { return p.highestObserved }

// Value is the value that the attempt proposes; nil while Preparing.
func (p *Proposer) Value() *pb.View { return p.value }

// Prepare is the message for all voters of the base view.
func (p *Proposer) Prepare() *pb.Prepare {
	return &pb.Prepare{ViewNumber: p.base.GetNumber() + 1, Ballot: p.number}
}

// Accept is the message for all voters of the base view once the value is chosen.
func (p *Proposer) Accept() *pb.Accept {
	return &pb.Accept{ViewNumber: p.base.GetNumber() + 1, Ballot: p.number, Value: p.value}
}

// AwaitsVoter reports whether a voter, by its index among those of the base view, has not answered the present step.
func (p *Proposer) AwaitsVoter(voter int) bool {
	switch p.phase {
	case Preparing:
		return !p.promises[voter]
	case Accepting:
		return !p.accepts[voter]
	default:
		return false
	}
}

// Promised takes a voter's promise. It returns true once, when a majority has promised: Choose must follow.
func (p *Proposer) Promised(from *pb.Replica, promise *pb.Promise) bool {
	if !p.isAwaited(p.Preparing(), promise.GetViewNumber(), promise.GetBallot()) {
		return false
	}
	if p.observeRejection(promise.GetGranted(), promise.GetPromised()) {
		return false
	}
	voter := VoterIndex(p.base, from)
	if voter == NotFound {
		return false
	}
	p.promises[voter] = true
	if promise.GetAccepted() != nil && CompareProposalNumbers(promise.GetAcceptedBallot(), p.earlierNumber) > 0 {
		p.earlierNumber = promise.GetAcceptedBallot()
		p.earlierValue = promise.GetAccepted()
	}
	return len(p.promises) == Majority(p.base)
}

// Preparing reports whether the attempt still waits for promises.
func (p *Proposer) Preparing() bool { return p.phase == Preparing }

// AcceptedEarlier is the value that a voter has accepted earlier and that therefore must be proposed; nil if the
// proposer is free to choose.
func (p *Proposer) AcceptedEarlier() *pb.View { return p.earlierValue }

// Choose fixes the value: AcceptedEarlier if there is one, otherwise the wanted one.
func (p *Proposer) Choose(wanted *pb.View) {
	p.value = wanted
	if p.earlierValue != nil {
		p.value = p.earlierValue
	}
	p.phase = Accepting
}

// Accepted takes a voter's answer to Accept. It returns true once, when the value is decided.
func (p *Proposer) Accepted(from *pb.Replica, accepted *pb.Accepted) bool {
	if !p.isAwaited(p.phase == Accepting, accepted.GetViewNumber(), accepted.GetBallot()) {
		return false
	}
	if p.observeRejection(accepted.GetGranted(), accepted.GetPromised()) {
		return false
	}
	voter := VoterIndex(p.base, from)
	if voter == NotFound {
		return false
	}
	p.accepts[voter] = true
	if len(p.accepts) < Majority(p.base) {
		return false
	}
	p.phase = Decided
	return true
}

func (p *Proposer) isAwaited(phase bool, number uint64, ballot *pb.Ballot) bool {
	return phase && number == p.base.GetNumber()+1 && CompareProposalNumbers(ballot, p.number) == 0
}

// refused notes a refusal and reports whether it was one. A refusal under a higher ballot ends the attempt;
// one under no higher ballot means that the voter sees no need for another view.
func (p *Proposer) observeRejection(granted bool, promised *pb.Ballot) bool {
	if CompareProposalNumbers(promised, p.highestObserved) > 0 {
		p.highestObserved = promised
	}
	if !granted && CompareProposalNumbers(promised, p.number) > 0 {
		p.phase = Superseded
	}
	return !granted
}
