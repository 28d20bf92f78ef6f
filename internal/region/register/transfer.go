package register

import (
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Sizes of the requests for registers and of their answers. An answer is small enough that other messages on the same
// connection are not delayed for long, and that a lost one costs little.
const (
	// firstTransferBytes is the limit on the registers in the first answer of each voter. All voters are asked for it at
	// once, so that a small state needs one round trip.
	firstTransferBytes = 64 << 10
	// transferBytes is the limit on the registers in each later answer. Only one voter at a time is asked for more.
	transferBytes = 1 << 20
	// maxHeldPositions is the maximum number of positions that a request lists.
	maxHeldPositions = 4096
)

// transfer is the state of collecting the registers of the current epoch, which this machine does not hold yet.
//
// Each voter is read in the order of the names, in answers of bounded size. The first answer is requested from all
// voters at once. Of the voters that have more, one is read at a time, and each request lists what the others have sent,
// so that each value is sent about once.
type transfer struct {
	sources []*transferSource
	// collected holds the newest received record of each register, by name.
	collected map[string]*pb.RegisterRecord
	// collectedNames holds the names in collected, in ascending order after a call of names.
	collectedNames []string
	// collectedBytes is the size of all received records.
	collectedBytes int
	startedAt      time.Duration
}

// newTransfer returns a transfer from the voters of an epoch and of the epoch before, except for the machine itself.
func newTransfer(now time.Duration, identity string, membership Membership) transfer {
	next := transfer{startedAt: now, collected: make(map[string]*pb.RegisterRecord)}
	for _, voters := range [][]*pb.Replica{membership.Voters, membership.PreviousVoters} {
		for _, voter := range voters {
			if voter.GetIdentity() != identity && next.source(voter.GetIdentity()) == nil {
				next.sources = append(next.sources, &transferSource{voter: voter})
			}
		}
	}
	return next
}

// source returns the source with the given identity; nil if there is none.
func (t *transfer) source(identity string) *transferSource {
	index := slices.IndexFunc(t.sources, func(source *transferSource) bool {
		return source.voter.GetIdentity() == identity
	})
	if index < 0 {
		return nil
	}
	return t.sources[index]
}

// reader returns the source that may be asked for more than its first answer: one that answers in time, if possible one
// that holds the registers of the epoch already, since no other is needed then. It returns nil if there is none.
func (t *transfer) reader(epoch uint64) *transferSource {
	var best *transferSource
	for _, source := range t.sources {
		if source.complete || !source.hasAnswered {
			continue
		}
		if best == nil || source.isBetterThan(best, epoch) {
			best = source
		}
	}
	return best
}

// add stores received records that are newer than those stored before.
func (t *transfer) add(records []*pb.RegisterRecord) {
	for _, record := range records {
		name := record.GetName()
		if name == "" || record.GetAccepted() == nil {
			continue
		}
		known := t.collected[name]
		if known == nil {
			t.collectedNames = append(t.collectedNames, name)
		}
		if known == nil || ComparePositions(record.GetAccepted(), known.GetAccepted()) > 0 {
			t.collected[name] = record
		}
	}
}

// names returns the names of all collected registers in ascending order.
func (t *transfer) names() []string {
	if !slices.IsSorted(t.collectedNames) {
		slices.Sort(t.collectedNames)
	}
	return t.collectedNames
}

// Enter moves to a later epoch. From then on, this machine accepts nothing in earlier epochs. The caller must have
// persisted the view that introduced the epoch, or have queued it as an earlier write, so that a restart does not undo
// this step.
func (r *Replica) Enter(now time.Duration, membership Membership) {
	if membership.Epoch <= r.membership.Epoch {
		return
	}
	r.membership = membership
	r.transfer = newTransfer(now, r.identity, membership)
	r.Tick(now)
	r.answerEarlyRequests()
}

// Tick drops the events that have expired, and requests the registers of the current epoch if this machine is a voter
// that does not hold them yet.
func (r *Replica) Tick(now time.Duration) {
	r.compactSome(now)
	if !r.isCollecting() {
		return
	}
	if len(r.membership.PreviousVoters) == 0 {
		r.activateEmpty()
		return
	}
	r.requestTransfers(now)
}

// isCollecting reports whether this machine is a voter that does not hold the registers of its epoch.
func (r *Replica) isCollecting() bool {
	return r.membership.Epoch > 0 && !r.IsActive() && r.membership.includes(r.identity)
}

// activateEmpty activates the first epoch, before which no register was written. A machine that holds registers of
// another epoch does not activate; it waits for a view that names the previous voters.
func (r *Replica) activateEmpty() {
	if len(r.registers) == 0 && r.output.CanPersist() {
		r.activate()
	}
}

// requestTransfers sends the requests that are due, unless all registers have been collected.
func (r *Replica) requestTransfers(now time.Duration) {
	if r.hasCollectedAll() {
		r.install(now)
		return
	}
	reader := r.transfer.reader(r.membership.Epoch)
	for _, source := range r.transfer.sources {
		mayAsk := !source.complete && (!source.hasAnswered || source == reader)
		if mayAsk && source.isDue(now) && r.output.CanPersist() {
			r.requestTransfer(now, source)
		}
	}
}

// requestTransfer requests the next registers of a voter. The request is sent only once the positions of this machine's
// own registers that it lists as held are durable, because the answer omits those registers. Collected registers are
// listed only together with the token of this run of the process, since a restart loses them.
func (r *Replica) requestTransfer(now time.Duration, source *transferSource) {
	request := &pb.RegisterTransferRequest{
		Epoch:    r.membership.Epoch,
		After:    source.after,
		MaxBytes: transferBytes,
		Token:    r.runToken,
	}
	if !source.hasAnswered {
		request.MaxBytes = firstTransferBytes
		request.Token = 0
	}
	request.Held, request.Through = r.heldPositions(source)
	source.requested(now)
	r.output.Persist(nil, source.voter, &pb.Message{Body: &pb.Message_RegisterTransferRequest{RegisterTransferRequest: request}})
}

// votedInPreviousEpoch reports whether this machine voted in the previous epoch and held its registers. Only then are
// its own registers valid for the current epoch.
func (r *Replica) votedInPreviousEpoch() bool {
	return r.activeEpoch == r.membership.PreviousEpoch && r.membership.votedBefore(r.identity)
}

// TransferReceived handles registers sent by another machine, and activates the epoch once the registers of enough
// voters are complete.
func (r *Replica) TransferReceived(now time.Duration, from *pb.Replica, received *pb.RegisterTransfer) {
	if received.GetEpoch() != r.membership.Epoch || !r.isCollecting() {
		return
	}
	source := r.transfer.source(from.GetIdentity())
	isActive := received.GetActiveEpoch() == r.membership.Epoch
	if source == nil || !isActive && !r.membership.votedBefore(from.GetIdentity()) {
		return
	}
	if !r.isExpected(source, received) {
		return
	}
	r.transfer.add(received.GetRegisters())
	r.transfer.collectedBytes += recordBytes(received.GetRegisters())
	source.received(received, r.membership.Epoch)
	r.requestTransfers(now)
}

// isExpected reports whether an answer is to the current request to a voter, or to an earlier one for the same
// registers. The first request has no token, because an earlier version of this program does not return it. Such a
// version answers with all registers.
func (r *Replica) isExpected(source *transferSource, received *pb.RegisterTransfer) bool {
	if source.complete || received.GetAfter() != source.after {
		return false
	}
	if source.hasAnswered {
		return received.GetToken() == r.runToken
	}
	return received.GetToken() == 0
}

// hasCollectedAll reports whether the collected registers contain all that was chosen before this epoch: those of one
// voter that holds the registers of this epoch, or those of a majority of the previous voters, at least one of which
// participated in the previous epoch. This machine is one of them if it was a previous voter: it accepts nothing in
// earlier epochs, and if it did not participate it has accepted nothing.
func (r *Replica) hasCollectedAll() bool {
	complete := 0
	participated := r.votedInPreviousEpoch()
	if r.membership.votedBefore(r.identity) {
		complete++
	}
	for _, source := range r.transfer.sources {
		if !source.complete {
			continue
		}
		if source.activeEpoch == r.membership.Epoch {
			return true
		}
		complete++
		participated = participated || source.activeEpoch == r.membership.PreviousEpoch
	}
	return participated && complete >= r.membership.previousMajority()
}

// install adopts the newest value of each register among the collected registers and, if they are valid, this machine's
// own registers, and activates the epoch.
func (r *Replica) install(now time.Duration) {
	if !r.output.CanPersist() {
		return
	}
	if !r.votedInPreviousEpoch() {
		r.discardAll()
	}
	for name, record := range r.transfer.collected {
		found := r.registers[name]
		if found == nil || ComparePositions(record.GetAccepted(), found.accepted) > 0 {
			r.replace(now, name, record)
		}
	}
	r.lastTransfer = TransferSummary{
		Epoch:     r.membership.Epoch,
		Registers: len(r.transfer.collected),
		Bytes:     r.transfer.collectedBytes,
		Duration:  now - r.transfer.startedAt,
	}
	r.activate()
}

// activate persists all registers and makes this machine a voter; its answers are sent only after that write. The write
// is atomic and replaces the previous contents of the disk, so that registers of two epochs are never mixed.
func (r *Replica) activate() {
	r.activeEpoch = r.membership.Epoch
	r.transfer = transfer{}
	r.output.PersistAll()
}

// TransferSummary describes how this machine collected the registers of an epoch.
type TransferSummary struct {
	Epoch     uint64        // 0: no registers have been collected in this run of the process
	Registers int           // registers received that this machine did not hold
	Bytes     int           // size of all registers received
	Duration  time.Duration // time from the entry into the epoch
}

// LastTransfer describes the newest completed transfer of registers to this machine.
func (r *Replica) LastTransfer() TransferSummary { return r.lastTransfer }
