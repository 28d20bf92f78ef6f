package quorum

import (
	"cmp"
	"strings"

	pb "fieldrelay/api/fieldrelay/v1"
)

// CompareProposalNumbers orders proposal numbers by round, then by proposer. It returns -1, 0 or 1; nil sorts
// before every other number.
func CompareProposalNumbers(a, b *pb.Ballot) int {
	if order := cmp.Compare(a.GetRound(), b.GetRound()); order != 0 {
		return order
	}
	return strings.Compare(a.GetProposer(), b.GetProposer())
}

// NextProposalNumber returns a proposal number of the proposer above the highest number that the proposer has seen,
// which may be nil. The proposer's name must differ between runs of a machine: a restarted machine does not remember
// the numbers that it has used, and proposing two values under one number would break the safety of Paxos.
func NextProposalNumber(highest *pb.Ballot, proposer string) *pb.Ballot {
	return &pb.Ballot{Round: highest.GetRound() + 1, Proposer: proposer}
}
