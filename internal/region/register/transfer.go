package register

import (
	"maps"
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// maxEarlyRequests is the maximum number of stored requests for epochs that this machine has not learnt of yet.
const maxEarlyRequests = 16

// transferInterval is how long a voter waits before it requests the registers of the current epoch again.
const transferInterval = 150 * time.Millisecond

// transfer is the state of collecting the registers of the current epoch, which this machine does not hold yet.
type transfer struct {
	requestedAt time.Duration // time of the last request
	requested   bool          // the registers have been requested at least once
	// received holds the answers of the previous epoch's voters, by identity.
	received map[string]*pb.RegisterTransfer
}

// Enter moves to a later epoch. From then on, this machine accepts nothing in earlier epochs. The caller must have
// persisted the view that introduced the epoch, or have queued it as an earlier write, so that a restart does not undo
// this step.
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

// Tick requests the registers of the current epoch if this machine is a voter that does not hold the registers yet.
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

// activateEmpty activates the first epoch, before which no register was written. A machine that holds registers of
// another epoch does not activate; it waits for a view that names the previous voters.
func (r *Replica) activateEmpty() {
	if len(r.registers) == 0 && r.output.CanPersist() {
		r.activate()
	}
}

// requestTransfer requests the registers from all current and previous voters. The request is sent only once the
// positions that it lists as held are durable, because the answers omit those registers.
func (r *Replica) requestTransfer() {
	request := &pb.Message{Body: &pb.Message_RegisterTransferRequest{
		RegisterTransferRequest: &pb.RegisterTransferRequest{Epoch: r.membership.Epoch, Held: r.localPositions()},
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

// votedInPreviousEpoch reports whether this machine voted in the previous epoch and held its registers. Only then are
// its own registers valid for the current epoch.
func (r *Replica) votedInPreviousEpoch() bool {
	return r.activeEpoch == r.membership.PreviousEpoch && r.membership.votedBefore(r.identity)
}

// localPositions returns the positions of this machine's registers, or nil if they are not valid for the current epoch.
func (r *Replica) localPositions() []*pb.RegisterRecord {
	if !r.votedInPreviousEpoch() {
		return nil
	}
	records := make([]*pb.RegisterRecord, 0, len(r.registers))
	for _, name := range slices.Sorted(maps.Keys(r.registers)) {
		records = append(records, &pb.RegisterRecord{Name: name, Accepted: r.registers[name].accepted})
	}
	return records
}

// recordsNewerThan returns the registers whose position on this machine is above that in a list of positions.
func (r *Replica) recordsNewerThan(positions []*pb.RegisterRecord) []*pb.RegisterRecord {
	known := make(map[string]*pb.RegisterPosition, len(positions))
	for _, record := range positions {
		known[record.GetName()] = record.GetAccepted()
	}
	return slices.DeleteFunc(r.registerRecords(), func(record *pb.RegisterRecord) bool {
		return ComparePositions(record.GetAccepted(), known[record.GetName()]) <= 0
	})
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
	answer := &pb.RegisterTransfer{Epoch: epoch}
	switch r.activeEpoch {
	case epoch, r.membership.PreviousEpoch:
		answer.ActiveEpoch = r.activeEpoch
		answer.Registers = r.recordsNewerThan(request.GetHeld())
	default:
		if !r.membership.votedBefore(r.identity) {
			return
		}
	}
	message := &pb.Message{Body: &pb.Message_RegisterTransfer{RegisterTransfer: answer}}
	// Both the registers in the message and the view must be durable before the message is sent.
	r.output.Persist(nil, from, message)
}

// TransferReceived handles the registers sent by another machine.
func (r *Replica) TransferReceived(now time.Duration, from *pb.Replica, received *pb.RegisterTransfer) {
	if received.GetEpoch() != r.membership.Epoch || r.IsActive() || !r.membership.includes(r.identity) {
		return
	}
	if received.GetActiveEpoch() == r.membership.Epoch {
		r.install(now, []*pb.RegisterTransfer{received})
		return
	}
	if !r.membership.votedBefore(from.GetIdentity()) {
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

// sortedTransfers returns the answers of the previous voters in a deterministic order.
func (r *Replica) sortedTransfers() []*pb.RegisterTransfer {
	collected := make([]*pb.RegisterTransfer, 0, len(r.transfer.received))
	for _, identity := range slices.Sorted(maps.Keys(r.transfer.received)) {
		collected = append(collected, r.transfer.received[identity])
	}
	return collected
}

// hasPreviousRegisters reports whether at least one answer is from a machine that participated in the previous epoch
// and therefore holds what was chosen before that epoch.
func (r *Replica) hasPreviousRegisters() bool {
	for _, received := range r.transfer.received {
		if received.GetActiveEpoch() == r.membership.PreviousEpoch {
			return true
		}
	}
	return false
}

// install adopts the newest value of each register among the collected registers and, if they are valid, this machine's
// own registers, and activates the epoch.
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

// activate persists all registers and makes this machine a voter; its answers are sent only after that write. The write
// is atomic and replaces the previous contents of the disk, so that registers of two epochs are never mixed.
func (r *Replica) activate() {
	r.activeEpoch = r.membership.Epoch
	r.transfer = transfer{}
	r.output.PersistAll()
}
