package quorum

import (
	pb "fieldrelay/api/fieldrelay/v1"
)

// Phase is the phase of a proposal.
type Phase int

// The phases of a proposal. Decided and Superseded are final.
const (
	Preparing  Phase = iota // waits for the promises of a majority
	Accepting               // waits for a majority to accept the value
	Decided                 // the value is decided
	Superseded              // a voter has promised a higher number to another proposer
)

// Proposer runs one proposal for the view after the base view. The answers of each voter of the base view are counted
// once.
type Proposer struct {
	base     *pb.View   // view whose voters decide
	number   *pb.Ballot // proposal number
	phase    Phase
	promises map[int]bool // voters that have promised, by index in base
	accepts  map[int]bool // voters that have accepted, by index in base
	value    *pb.View     // proposed value; nil while Preparing
	// earlierValue is the accepted value with the highest proposal number among those that the promises reported, and
	// earlierNumber is that number. The value may have been decided already, so no other value may be proposed.
	earlierNumber   *pb.Ballot
	earlierValue    *pb.View
	highestObserved *pb.Ballot // highest proposal number in any answer
}

// NewProposer starts a proposal. The number must not have been used before, see NextProposalNumber.
func NewProposer(base *pb.View, number *pb.Ballot) *Proposer {
	return &Proposer{
		base:            base,
		number:          number,
		promises:        make(map[int]bool),
		accepts:         make(map[int]bool),
		highestObserved: number,
	}
}

// Phase returns the current phase of the proposal.
func (p *Proposer) Phase() Phase { return p.phase }

// HighestObserved returns the highest proposal number in any answer so far. The next proposal needs a higher number.
func (p *Proposer) HighestObserved() *pb.Ballot { return p.highestObserved }

// Value returns the proposed value, or nil while Preparing.
func (p *Proposer) Value() *pb.View { return p.value }

// Prepare returns the message of the first phase, for all voters of the base view.
func (p *Proposer) Prepare() *pb.Prepare {
	return &pb.Prepare{ViewNumber: p.viewNumber(), Ballot: p.number}
}

// Accept returns the message of the second phase, for all voters of the base view. Choose must have been called.
func (p *Proposer) Accept() *pb.Accept {
	return &pb.Accept{ViewNumber: p.viewNumber(), Ballot: p.number, Value: p.value}
}

// AwaitsVoter reports whether the voter with an index in the base view has not granted the current phase yet.
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

// Promised counts a voter's promise. It returns true once, when a majority has promised; the caller must then call
// Choose.
func (p *Proposer) Promised(from *pb.Replica, promise *pb.Promise) bool {
	voter := p.grantingVoter(Preparing, from, promise)
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

// AcceptedEarlier returns the value that a voter has accepted in an earlier proposal and that must therefore be
// proposed again, or nil if any value may be proposed.
func (p *Proposer) AcceptedEarlier() *pb.View { return p.earlierValue }

// Choose starts the second phase with the value of AcceptedEarlier if there is one, otherwise with the wanted value.
func (p *Proposer) Choose(wanted *pb.View) {
	p.value = wanted
	if p.earlierValue != nil {
		p.value = p.earlierValue
	}
	p.phase = Accepting
}

// Accepted counts a voter's answer to Accept. It returns true once, when the value is decided.
func (p *Proposer) Accepted(from *pb.Replica, accepted *pb.Accepted) bool {
	voter := p.grantingVoter(Accepting, from, accepted)
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

// viewNumber returns the number of the proposed view.
func (p *Proposer) viewNumber() uint64 { return p.base.GetNumber() + 1 }

// answer has the methods that a voter's answers in both phases, pb.Promise and pb.Accepted, have in common.
type answer interface {
	GetViewNumber() uint64
	GetBallot() *pb.Ballot   // number of the proposal that is answered
	GetGranted() bool        // false for a rejection
	GetPromised() *pb.Ballot // highest number that the voter has promised
}

// grantingVoter returns the index in base of a voter that grants the given phase of this proposal. It returns NotFound
// for a rejection, for an answer to another proposal or phase, and for a sender that is not a voter of base.
func (p *Proposer) grantingVoter(phase Phase, from *pb.Replica, received answer) int {
	if !p.isAwaited(phase, received) {
		return NotFound
	}
	p.observe(received)
	if !received.GetGranted() {
		return NotFound
	}
	return VoterIndex(p.base, from)
}

func (p *Proposer) isAwaited(phase Phase, received answer) bool {
	return p.phase == phase &&
		received.GetViewNumber() == p.viewNumber() &&
		CompareProposalNumbers(received.GetBallot(), p.number) == 0
}

// observe records the promised number of an answer and ends the proposal if the answer rejects it in favour of a higher
// number. A rejection without a higher number means that the voter sees no need for another view; the proposal then
// continues.
func (p *Proposer) observe(received answer) {
	if CompareProposalNumbers(received.GetPromised(), p.highestObserved) > 0 {
		p.highestObserved = received.GetPromised()
	}
	if !received.GetGranted() && CompareProposalNumbers(received.GetPromised(), p.number) > 0 {
		p.phase = Superseded
	}
}
