package register

import (
	"maps"
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Config is the configuration of a Replica.
type Config struct {
	Identity string // identity of the machine
	// RunToken identifies the run of the process. It differs between starts and is not 0.
	RunToken uint64
	// Retention is how long the events of a group are kept after this machine has accepted them.
	Retention time.Duration
	Limits    Limits
}

// Replica stores what one machine has promised and accepted for each register.
type Replica struct {
	identity  string
	output    Output
	runToken  uint64
	retention time.Duration
	limits    Limits

	membership   Membership
	activeEpoch  uint64               // newest epoch whose registers this machine holds; 0: none
	registers    map[string]*acceptor // registers by name
	bytes        int                  // approximate encoded size of all registers
	sorted       []string             // names in ascending order, as of the last call of names
	groups       []*acceptor          // registers that hold a group, in the order in which they first did
	nextGroup    int                  // index in groups at which the next tick begins
	transfer     transfer
	lastTransfer TransferSummary
	// earlyRequests are requests for epochs that this machine has not learnt of yet.
	earlyRequests []earlyRequest
}

// NewReplica returns an empty replica.
func NewReplica(config Config, output Output) *Replica {
	return &Replica{
		identity:  config.Identity,
		output:    output,
		runToken:  config.RunToken,
		retention: config.Retention,
		limits:    config.Limits,
		registers: make(map[string]*acceptor),
	}
}

// names returns the names of all registers in ascending order.
func (r *Replica) names() []string {
	if len(r.sorted) != len(r.registers) {
		r.sorted = slices.Sorted(maps.Keys(r.registers))
	}
	return r.sorted
}

// namesAfter returns those of the given names, which are in ascending order, that are above name.
func namesAfter(names []string, name string) []string {
	index, isFound := slices.BinarySearch(names, name)
	if isFound {
		index++
	}
	return names[index:]
}

// ActiveEpoch returns the newest epoch whose registers this machine holds; 0 if there is none.
func (r *Replica) ActiveEpoch() uint64 { return r.activeEpoch }

// IsActive reports whether this machine votes in the current epoch.
func (r *Replica) IsActive() bool {
	return r.membership.Epoch > 0 && r.activeEpoch == r.membership.Epoch && r.membership.includes(r.identity)
}

// Membership returns the current membership.
func (r *Replica) Membership() Membership { return r.membership }

// Len returns the number of registers.
func (r *Replica) Len() int { return len(r.registers) }

// Bytes returns the approximate encoded size of all registers.
func (r *Replica) Bytes() int { return r.bytes }

func (r *Replica) register(name string) *acceptor {
	found := r.registers[name]
	if found == nil {
		found = &acceptor{}
		r.registers[name] = found
		r.bytes += len(name)
	}
	return found
}

// discardAll discards the state of all registers.
func (r *Replica) discardAll() {
	r.registers = make(map[string]*acceptor)
	r.sorted = nil
	r.groups = nil
	r.nextGroup = 0
	r.bytes = 0
}

// replace replaces the whole state of a register by a received record.
func (r *Replica) replace(now time.Duration, name string, record *pb.RegisterRecord) {
	found := r.register(name)
	r.bytes -= found.bytes
	*found = acceptor{isListed: found.isListed}
	r.apply(now, found, record)
}

// apply updates a register from a record.
func (r *Replica) apply(now time.Duration, found *acceptor, record *pb.RegisterRecord) {
	before := found.bytes
	found.apply(now, record)
	r.changed(found, before)
}

// changed records that the value of a register may have changed; before is the size of its earlier value.
func (r *Replica) changed(found *acceptor, before int) {
	r.bytes += found.bytes - before
	if found.value.GetGroup() != nil && !found.isListed {
		found.isListed = true
		r.groups = append(r.groups, found)
	}
}

// shouldAnswer reports whether this machine answers a proposer's request at the given position.
func (r *Replica) shouldAnswer(position *pb.RegisterPosition) bool {
	return r.IsActive() && position.GetEpoch() == r.activeEpoch
}

// Prepare handles the first phase of a proposal: it answers with a promise, or with the higher promise that prevents
// it.
func (r *Replica) Prepare(now time.Duration, from *pb.Replica, prepare *pb.RegisterPrepare) {
	number := prepare.GetNumber()
	if !r.shouldAnswer(number) || !r.output.CanPersist() || !r.hasCapacity(prepare.GetName()) {
		return
	}
	found := r.register(prepare.GetName())
	promise := &pb.RegisterPromise{
		Name:     prepare.GetName(),
		Number:   number,
		Promised: found.promised,
		Accepted: found.accepted,
	}
	message := &pb.Message{Body: &pb.Message_RegisterPromise{RegisterPromise: promise}}
	if compareNumbers(number, found.promised) < 0 {
		r.output.Send(from, message)
		return
	}
	found.promised = numberOf(number)
	promise.Granted = true
	promise.Promised = found.promised
	promise.AgeMs = uint32((now - found.grantedAt).Milliseconds())
	if ComparePositions(found.accepted, prepare.GetHeld()) > 0 {
		promise.Value = found.value
	}
	r.output.Persist([]*pb.RegisterRecord{{Name: prepare.GetName(), Promised: found.promised}}, from, message)
}

// Accept handles the second phase of a proposal, or a confirmation.
func (r *Replica) Accept(now time.Duration, from *pb.Replica, accept *pb.RegisterAccept) {
	if !r.shouldAnswer(accept.GetPosition()) || !r.output.CanPersist() {
		return
	}
	found := r.register(accept.GetName())
	before := found.bytes
	outcome, record := found.accept(now, accept)
	r.changed(found, before)
	if outcome == pb.RegisterAccepted_OUTCOME_ACCEPTED {
		r.compact(now, found)
	}
	message := &pb.Message{Body: &pb.Message_RegisterAccepted{RegisterAccepted: &pb.RegisterAccepted{
		Name:     accept.GetName(),
		Position: accept.GetPosition(),
		Poll:     accept.GetPoll(),
		Outcome:  outcome,
		Promised: found.promised,
	}}}
	if outcome != pb.RegisterAccepted_OUTCOME_ACCEPTED {
		r.output.Send(from, message)
		return
	}
	if record == nil {
		r.output.Persist(nil, from, message) // the confirmed value may not be durable yet
		return
	}
	r.output.Persist([]*pb.RegisterRecord{record}, from, message)
}

// localState returns a copy of the state of a register on this machine.
func (r *Replica) localState(name string) acceptor {
	if found := r.registers[name]; found != nil {
		return *found
	}
	return acceptor{}
}
