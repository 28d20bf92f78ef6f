package quorum

import (
	"cmp"
	"strings"

	pb "fieldrelay/api/fieldrelay/v1"
)

// CompareProposalNumbers orders ballots by round, then by proposer; nil comes before every other.
func CompareProposalNumbers(a, b *pb.Ballot) int {
	if order := cmp.Compare(a.GetRound(), b.GetRound()); order != 0 {
		return order
	}
	return strings.Compare(a.GetProposer(), b.GetProposer())
}

// NextProposalNumber returns a ballot of the proposer above the highest one it knows of. The proposer's name must be
// another one after each start, so that no ballot stands for two values.
func NextProposalNumber(highest *pb.Ballot, proposer string) *pb.Ballot {
	return &pb.Ballot{Round: highest.GetRound() + 1, Proposer: proposer}
}
