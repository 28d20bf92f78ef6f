package register

import (
	"maps"
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// maxEarlyRequests bounds the requests that wait for this machine to learn of their epoch.
const maxEarlyRequests = 16

// transferInterval is the wait before a voter asks again for the registers of the epoch in force.
const transferInterval = 150 * time.Millisecond

// transfer collects the registers of the epoch in force, which this machine does not hold yet.
type transfer struct {
	requestedAt time.Duration
	requested   bool
	// received are the answers of voters of the previous epoch, by identity.
	received map[string]*pb.RegisterTransfer
}

// Enter moves to a later epoch. From then on nothing is accepted in earlier ones. The caller has put the view that brought
// the epoch on disk, or has queued it as an earlier write, so that a restart does not undo this.
func (r *Replica) Enter(now time.Duration, membership Membership) {
	if membership.Epoch <= r.membership.Epoch {
		return
	}
	r.membership = membership
	r.transfer = transfer{}
	r.Tick(now)
	r.answerEarlyRequests()
}

// earlyRequest is a request for the registers of an epoch that this machine has not learnt of yet.
type earlyRequest struct {
	from    *pb.Replica
	request *pb.RegisterTransferRequest
}

// keepEarlyRequest keeps a request until this machine learns of its epoch; the newest of each sender counts.
func (r *Replica) keepEarlyRequest(from *pb.Replica, request *pb.RegisterTransferRequest) {
	r.earlyRequests = slices.DeleteFunc(r.earlyRequests, func(earlier earlyRequest) bool {
		return earlier.from.GetIdentity() == from.GetIdentity()
	})
	if len(r.earlyRequests) < maxEarlyRequests {
		r.earlyRequests = append(r.earlyRequests, earlyRequest{from: from, request: request})
	}
}

// answerEarlyRequests answers the requests for the epoch in force, and drops those for earlier ones.
func (r *Replica) answerEarlyRequests() {
	waiting := r.earlyRequests
	r.earlyRequests = nil
	for _, early := range waiting {
		r.TransferRequested(early.from, early.request)
	}
}

// Tick lets time pass: a voter that does not hold the registers of the epoch asks for them.
func (r *Replica) Tick(now time.Duration) {
	if r.membership.Epoch == 0 || r.IsActive() || !r.membership.includes(r.identity) {
		return
	}
	if len(r.membership.PreviousVoters) == 0 {
		r.activateEmpty()
		return
	}
	isTooEarly := r.transfer.requested && now-r.transfer.requestedAt < transferInterval
	if isTooEarly || !r.output.CanPersist() {
		return
	}
	r.transfer.requested = true
	r.transfer.requestedAt = now
	r.requestTransfer()
}

// activateEmpty takes part in the first epoch, in which no register was written before. A machine that holds registers of
// another epoch does not: it waits for a view that says where they are.
func (r *Replica) activateEmpty() {
	if len(r.registers) == 0 && r.output.CanPersist() {
		r.activate()
	}
}

// requestTransfer asks once what it says to hold is durable: an answer leaves that out.
func (r *Replica) requestTransfer() {
	request := &pb.Message{Body: &pb.Message_RegisterTransferRequest{
		RegisterTransferRequest: &pb.RegisterTransferRequest{Epoch: r.membership.Epoch, Held: r.heldPositions()},
	}}
	asked := make(map[string]bool)
	for _, voters := range [][]*pb.Replica{r.membership.Voters, r.membership.PreviousVoters} {
		for _, voter := range voters {
			if identity := voter.GetIdentity(); !asked[identity] {
				asked[identity] = true
				r.output.Persist(nil, voter, request)
			}
		}
	}
}

// votedInPreviousEpoch reports whether this machine voted in the previous epoch and held its registers, so that what it holds counts.
func (r *Replica) votedInPreviousEpoch() bool {
	return r.activeEpoch == r.membership.PreviousEpoch && r.membership.includedPreviously(r.identity)
}

// heldPositions are the positions of what this machine holds, if that counts.
func (r *Replica) heldPositions() []*pb.RegisterRecord {
	if !r.votedInPreviousEpoch() {
		return nil
	}
	records := make([]*pb.RegisterRecord, 0, len(r.registers))
	for _, name := range slices.Sorted(maps.Keys(r.registers)) {
		records = append(records, &pb.RegisterRecord{Name: name, Accepted: r.registers[name].accepted})
	}
	return records
}

// recordsNewerThan are the registers that are newer here than in a list of positions.
func (r *Replica) recordsNewerThan(held []*pb.RegisterRecord) []*pb.RegisterRecord {
	known := make(map[string]*pb.RegisterPosition, len(held))
	for _, record := range held {
		known[record.GetName()] = record.GetAccepted()
	}
	return slices.DeleteFunc(r.registerRecords(), func(record *pb.RegisterRecord) bool {
		return ComparePositions(record.GetAccepted(), known[record.GetName()]) <= 0
	})
}

// TransferRequested answers a voter that collects the registers of an epoch, if this machine has learnt of that epoch, and
// so accepts nothing in earlier ones. A previous voter that never took part answers with nothing: it has accepted nothing
// either.
func (r *Replica) TransferRequested(from *pb.Replica, request *pb.RegisterTransferRequest) {
	epoch := request.GetEpoch()
	if epoch > r.membership.Epoch {
		r.keepEarlyRequest(from, request)
		return
	}
	if epoch < r.membership.Epoch || !r.output.CanPersist() {
		return
	}
	answer := &pb.RegisterTransfer{Epoch: epoch}
	switch r.activeEpoch {
	case epoch, r.membership.PreviousEpoch:
		answer.ActiveEpoch = r.activeEpoch
		answer.Registers = r.recordsNewerThan(request.GetHeld())
	default:
		if !r.membership.includedPreviously(r.identity) {
			return
		}
	}
	message := &pb.Message{Body: &pb.Message_RegisterTransfer{RegisterTransfer: answer}}
	// What is sent must be on disk, and so must the view.
	r.output.Persist(nil, from, message)
}

// TransferReceived takes the registers of another machine.
func (r *Replica) TransferReceived(now time.Duration, from *pb.Replica, received *pb.RegisterTransfer) {
	if received.GetEpoch() != r.membership.Epoch || r.IsActive() || !r.membership.includes(r.identity) {
		return
	}
	if received.GetActiveEpoch() == r.membership.Epoch {
		r.install(now, []*pb.RegisterTransfer{received})
		return
	}
	if !r.membership.includedPreviously(from.GetIdentity()) {
		return
	}
	if r.transfer.received == nil {
		r.transfer.received = make(map[string]*pb.RegisterTransfer)
	}
	r.transfer.received[from.GetIdentity()] = received
	if len(r.transfer.received) >= r.membership.previousMajority() && r.hasPreviousRegisters() {
		r.install(now, r.sortedTransfers())
	}
}

// sortedTransfers are the answers of the previous voters, in an order that does not depend on chance.
func (r *Replica) sortedTransfers() []*pb.RegisterTransfer {
	collected := make([]*pb.RegisterTransfer, 0, len(r.transfer.received))
	for _, identity := range slices.Sorted(maps.Keys(r.transfer.received)) {
		collected = append(collected, r.transfer.received[identity])
	}
	return collected
}

// hasPreviousRegisters reports whether one of the answers is of a machine that took part in the previous epoch, and so
// holds what was chosen before it.
func (r *Replica) hasPreviousRegisters() bool {
	for _, received := range r.transfer.received {
		if received.GetActiveEpoch() == r.membership.PreviousEpoch {
			return true
		}
	}
	return false
}

// install takes over the newest values of those that were collected, beside what this machine holds if that counts, and
// takes part in the epoch.
func (r *Replica) install(now time.Duration, collected []*pb.RegisterTransfer) {
	if !r.output.CanPersist() {
		return
	}
	registers := make(map[string]*acceptor)
	if r.votedInPreviousEpoch() {
		registers = r.registers
	}
	for _, transfer := range collected {
		for _, record := range transfer.GetRegisters() {
			name := record.GetName()
			if name == "" || record.GetAccepted() == nil {
				continue
			}
			found := registers[name]
			if found == nil || ComparePositions(record.GetAccepted(), found.accepted) > 0 {
				found = &acceptor{}
				found.apply(now, record)
				registers[name] = found
			}
		}
	}
	r.registers = registers
	r.activate()
}

// activate has everything written, and votes from then on: an answer leaves after that. One write replaces what was on
// disk, so that no part of it is mixed with what stood there.
func (r *Replica) activate() {
	r.activeEpoch = r.membership.Epoch
	r.transfer = transfer{}
	r.output.PersistAll()
}
