package register

import (
	"cmp"
	"strings"

	pb "fieldrelay/api/fieldrelay/v1"
)

// ComparePositions orders positions by epoch, round, proposer and sequence. It returns -1, 0 or 1; nil is below every
// other.
func ComparePositions(a, b *pb.RegisterPosition) int {
	if order := compareNumbers(a, b); order != 0 {
		return order
	}
	return cmp.Compare(a.GetSequence(), b.GetSequence())
}

// compareNumbers orders the proposal numbers of two positions.
func compareNumbers(a, b *pb.RegisterPosition) int {
	return cmp.Or(
		cmp.Compare(a.GetEpoch(), b.GetEpoch()),
		cmp.Compare(a.GetRound(), b.GetRound()),
		strings.Compare(a.GetProposer(), b.GetProposer()),
	)
}

// numberOf is the proposal number of a position.
func numberOf(position *pb.RegisterPosition) *pb.RegisterPosition {
	return &pb.RegisterPosition{Epoch: position.GetEpoch(), Round: position.GetRound(), Proposer: position.GetProposer()}
}

// successor is the position of the next value under the same number.
func successor(position *pb.RegisterPosition) *pb.RegisterPosition {
	next := numberOf(position)
	next.Sequence = position.GetSequence() + 1
	return next
}
