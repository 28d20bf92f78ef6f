package register

import (
	"slices"

	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// maxEarlyRequests is the maximum number of stored requests for epochs that this machine has not learnt of yet.
const maxEarlyRequests = 16

// earlyRequest is a request for the registers of an epoch that this machine has not learnt of yet.
type earlyRequest struct {
	from    *pb.Replica
	request *pb.RegisterTransferRequest
}

// keepEarlyRequest stores a request until this machine learns of its epoch. Only the newest request of each sender is
// kept.
func (r *Replica) keepEarlyRequest(from *pb.Replica, request *pb.RegisterTransferRequest) {
	r.earlyRequests = slices.DeleteFunc(r.earlyRequests, func(earlier earlyRequest) bool {
		return earlier.from.GetIdentity() == from.GetIdentity()
	})
	if len(r.earlyRequests) < maxEarlyRequests {
		r.earlyRequests = append(r.earlyRequests, earlyRequest{from: from, request: request})
	}
}

// answerEarlyRequests answers the stored requests for the current epoch and drops those for earlier epochs.
func (r *Replica) answerEarlyRequests() {
	waiting := r.earlyRequests
	r.earlyRequests = nil
	for _, early := range waiting {
		r.TransferRequested(early.from, early.request)
	}
}

// TransferRequested answers a voter that collects the registers of an epoch. It answers only if this machine has learnt
// of that epoch and therefore accepts nothing in earlier epochs. A previous voter that never participated sends an
// empty answer, since it has accepted nothing.
func (r *Replica) TransferRequested(from *pb.Replica, request *pb.RegisterTransferRequest) {
	epoch := request.GetEpoch()
	if epoch > r.membership.Epoch {
		r.keepEarlyRequest(from, request)
		return
	}
	if epoch < r.membership.Epoch || !r.output.CanPersist() {
		return
	}
	answer := &pb.RegisterTransfer{Epoch: epoch, After: request.GetAfter(), Token: request.GetToken()}
	switch r.activeEpoch {
	case epoch, r.membership.PreviousEpoch:
		answer.ActiveEpoch = r.activeEpoch
		r.addRegisters(answer, request)
	default:
		if !r.membership.votedBefore(r.identity) {
			return
		}
	}
	message := &pb.Message{Body: &pb.Message_RegisterTransfer{RegisterTransfer: answer}}
	// Both the registers in the message and the view must be durable before the message is sent.
	r.output.Persist(nil, from, message)
}

// addRegisters adds the requested registers whose position on this machine is above the one that the request lists, up
// to the limit of the request. At least one register is added, whatever its size, except to the first answer, which is
// the one without a token.
func (r *Replica) addRegisters(answer *pb.RegisterTransfer, request *pb.RegisterTransferRequest) {
	held := make(map[string]*pb.RegisterPosition, len(request.GetHeld()))
	for _, record := range request.GetHeld() {
		held[record.GetName()] = record.GetAccepted()
	}
	limit := int(request.GetMaxBytes())
	total := 0
	for _, name := range namesAfter(r.names(), request.GetAfter()) {
		if through := request.GetThrough(); through != "" && name > through {
			break
		}
		found := r.registers[name]
		if ComparePositions(found.accepted, held[name]) <= 0 {
			continue
		}
		record := found.record(name)
		size := proto.Size(record)
		mustFit := total > 0 || request.GetToken() == 0
		if limit > 0 && mustFit && total+size > limit {
			answer.Partial = true
			return
		}
		total += size
		answer.Registers = append(answer.Registers, record)
		answer.Through = name
	}
	// The sender of the request may hold registers after those that it has listed.
	answer.Partial = request.GetThrough() != ""
	answer.Through = request.GetThrough()
}

// recordBytes returns the encoded size of records.
func recordBytes(records []*pb.RegisterRecord) int {
	total := 0
	for _, record := range records {
		total += proto.Size(record)
	}
	return total
}
