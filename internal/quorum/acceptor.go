package quorum

import (
	pb "fieldrelay/api/fieldrelay/v1"
)

// Acceptor is what a voter has promised and accepted for the view that follows the one it holds.
type Acceptor struct {
	viewNumber     uint64 // of the view to be decided
	promised       *pb.Ballot
	acceptedNumber *pb.Ballot
	acceptedValue  *pb.View
}

// NewAcceptor returns the acceptor for a view number, with nothing promised yet.
func NewAcceptor(number uint64) *Acceptor { return &Acceptor{viewNumber: number} }

// RestoreAcceptor returns the acceptor that Record described.
func RestoreAcceptor(record *pb.Promise) *Acceptor {
	return &Acceptor{
		viewNumber:     record.GetViewNumber(),
		promised:       record.GetPromised(),
		acceptedNumber: record.GetAcceptedBallot(),
		acceptedValue:  record.GetAccepted(),
	}
}

// Record describes the acceptor for the disk.
func (a *Acceptor) Record() *pb.Promise {
	return &pb.Promise{
		ViewNumber:     a.viewNumber,
		Promised:       a.promised,
		AcceptedBallot: a.acceptedNumber,
		Accepted:       a.acceptedValue,
	}
}

// ViewNumber is the number of the view to be decided.
func (a *Acceptor) ViewNumber() uint64 { return a.viewNumber }

// Promised is the highest ballot that was promised, nil if none was.
func (a *Acceptor) Promised() *pb.Ballot { return a.promised }

// HasAccepted reports whether a value was accepted: the view may have been decided.
func (a *Acceptor) HasAccepted() bool { return a.acceptedValue != nil }

// IsEmpty reports whether nothing was promised or accepted.
func (a *Acceptor) IsEmpty() bool { return a.promised == nil && a.acceptedValue == nil }

// Prepare answers a proposer's first step. A granted answer may leave only when Record is on disk.
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

// Accept answers a proposer's second step. A granted answer may leave only when Record is on disk.
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
