package register

import (
	"cmp"
	"strings"

	pb "fieldrelay/api/fieldrelay/v1"
)

// ComparePositions orders positions by epoch, round, proposer and sequence, and returns -1, 0 or 1. A nil position
// sorts before every other position.
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

// numberOf returns the proposal number of a position, without the sequence.
func numberOf(position *pb.RegisterPosition) *pb.RegisterPosition {
	return &pb.RegisterPosition{Epoch: position.GetEpoch(), Round: position.GetRound(), Proposer: position.GetProposer()}
}

// successor returns the position of the value after the given position, under the same proposal number.
func successor(position *pb.RegisterPosition) *pb.RegisterPosition {
	next := numberOf(position)
	next.Sequence = position.GetSequence() + 1
	return next
}
