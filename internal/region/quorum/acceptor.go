package quorum

import (
	pb "fieldrelay/api/fieldrelay/v1"
)

// Acceptor is the Paxos acceptor of one voter for one view number, which follows that of the newest view known to the
// voter. The promised number never decreases, and the acceptor accepts no proposal with a lower number.
type Acceptor struct {
	viewNumber     uint64     // number of the view to be decided
	promised       *pb.Ballot // highest promised proposal number; nil: none was promised
	acceptedNumber *pb.Ballot // proposal number of the accepted value
	acceptedValue  *pb.View   // newest accepted value; nil: none was accepted
}

// NewAcceptor returns an acceptor for a view number that has promised and accepted nothing.
func NewAcceptor(viewNumber uint64) *Acceptor { return &Acceptor{viewNumber: viewNumber} }

// RestoreAcceptor recreates an acceptor from the durable form that Record returned.
func RestoreAcceptor(record *pb.Promise) *Acceptor {
	return &Acceptor{
		viewNumber:     record.GetViewNumber(),
		promised:       record.GetPromised(),
		acceptedNumber: record.GetAcceptedBallot(),
		acceptedValue:  record.GetAccepted(),
	}
}

// Record returns the acceptor's durable form.
func (a *Acceptor) Record() *pb.Promise {
	return &pb.Promise{
		ViewNumber:     a.viewNumber,
		Promised:       a.promised,
		AcceptedBallot: a.acceptedNumber,
		Accepted:       a.acceptedValue,
	}
}

// ViewNumber returns the number of the view to be decided.
func (a *Acceptor) ViewNumber() uint64 { return a.viewNumber }

// Promised returns the highest proposal number that was promised, or nil if none was.
func (a *Acceptor) Promised() *pb.Ballot { return a.promised }

// HasAccepted reports whether a value was accepted. If so, the view may have been decided already.
func (a *Acceptor) HasAccepted() bool { return a.acceptedValue != nil }

// IsEmpty reports whether the acceptor has neither promised nor accepted anything.
func (a *Acceptor) IsEmpty() bool { return a.promised == nil && a.acceptedValue == nil }

// Prepare answers the first phase of a proposal. A granted answer may only be sent once Record is durable: a voter
// that restarted without its promise could accept a proposal with a lower number, and two values could be decided.
func (a *Acceptor) Prepare(prepare *pb.Prepare) *pb.Promise {
	granted := CompareProposalNumbers(prepare.GetBallot(), a.promised) >= 0
	if granted {
		a.promised = prepare.GetBallot()
	}
	answer := a.Record()
	answer.Ballot = prepare.GetBallot()
	answer.Granted = granted
	return answer
}

// Accept answers the second phase of a proposal. A granted answer may only be sent once Record is durable.
func (a *Acceptor) Accept(accept *pb.Accept) *pb.Accepted {
	granted := CompareProposalNumbers(accept.GetBallot(), a.promised) >= 0
	if granted {
		a.promised = accept.GetBallot()
		a.acceptedNumber = accept.GetBallot()
		a.acceptedValue = accept.GetValue()
	}
	return &pb.Accepted{
		ViewNumber: a.viewNumber,
		Ballot:     accept.GetBallot(),
		Granted:    granted,
		Promised:   a.promised,
	}
}
