package register

import (
	pb "fieldrelay/api/fieldrelay/v1"
)

// heldPositions returns, in the order of their names, the positions of the registers that a request to a voter lists as
// held, and the name up to which the list is complete; an empty name means up to the last.
func (r *Replica) heldPositions(source *transferSource) (held []*pb.RegisterRecord, through string) {
	var own, collected []string
	if r.votedInPreviousEpoch() {
		own = namesAfter(r.names(), source.after)
	}
	if source.hasAnswered {
		collected = namesAfter(r.transfer.names(), source.after)
	}
	for len(own) > 0 || len(collected) > 0 {
		if len(held) == maxHeldPositions {
			return held, held[len(held)-1].GetName()
		}
		record := &pb.RegisterRecord{}
		isOwn := len(collected) == 0 || len(own) > 0 && own[0] <= collected[0]
		isCollected := len(own) == 0 || len(collected) > 0 && collected[0] <= own[0]
		if isOwn {
			record.Name = own[0]
			record.Accepted = r.registers[own[0]].accepted
			own = own[1:]
		}
		if isCollected {
			record.Name = collected[0]
			record.Accepted = newerPosition(record.GetAccepted(), r.transfer.collected[collected[0]].GetAccepted())
			collected = collected[1:]
		}
		held = append(held, record)
	}
	return held, ""
}

// newerPosition returns the higher one of two positions, either of which may be nil.
func newerPosition(a, b *pb.RegisterPosition) *pb.RegisterPosition {
	if ComparePositions(b, a) > 0 {
		return b
	}
	return a
}
