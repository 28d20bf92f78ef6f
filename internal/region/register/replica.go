package register

import (
	"maps"
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// maxCompactedGroups is the maximum number of groups whose events are examined at one tick.
const maxCompactedGroups = 1024

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

// acceptor is the state of one register on one machine.
type acceptor struct {
	promised *pb.RegisterPosition // highest promised proposal number; its sequence is always 0
	accepted *pb.RegisterPosition // position of the newest accepted value
	value    *pb.RegisterValue    // value at accepted; nil if the register was never written
	// grantedAt is the time at which the newest grant of a lock was accepted here, read from disk or received from
	// another machine.
	grantedAt time.Duration
	// eventTimes holds, for each event of a group, the time at which it was accepted here.
	eventTimes []time.Duration
	bytes      int  // approximate encoded size of the value
	isListed   bool // in Replica.groups
	// restored holds events that were read from disk and are not part of value yet.
	restored []*pb.KeyEvent
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

// Restore applies a record that was read from disk. Records must be restored in the order in which they were written,
// before any other method is called. FinishRestore appends the events of a group to it all at once: each time that a
// group changes, it is copied.
func (r *Replica) Restore(record *pb.RegisterRecord) {
	if record.GetName() == "" {
		r.activeEpoch = record.GetActiveEpoch()
		return
	}
	found := r.register(record.GetName())
	switch change := record.GetChange().GetKind().(type) {
	case *pb.RegisterChange_Events:
		found.adoptPosition(record)
		found.restored = append(found.restored, change.Events.GetEvents()...)
	case *pb.RegisterChange_Whole:
		found.restored = nil
		r.apply(0, found, record)
	default:
		found.adoptPosition(record)
	}
}

// FinishRestore ends the restore. All grants and events that were read from disk count as accepted now, which is later
// than their actual acceptance.
func (r *Replica) FinishRestore(now time.Duration) {
	for _, found := range r.registers {
		r.finishRestore(found)
		found.grantedAt = now
		for index := range found.eventTimes {
			found.eventTimes[index] = now
		}
	}
}

// finishRestore appends the restored events to a group.
func (r *Replica) finishRestore(found *acceptor) {
	if len(found.restored) == 0 {
		return
	}
	r.apply(0, found, &pb.RegisterRecord{Accepted: found.accepted, Change: EventsChange(found.restored...)})
	found.restored = nil
}

// Records returns the records from which Restore builds an equal replica.
func (r *Replica) Records() []*pb.RegisterRecord {
	records := r.registerRecords()
	if r.activeEpoch == 0 {
		return records
	}
	return append(records, &pb.RegisterRecord{ActiveEpoch: r.activeEpoch})
}

func (r *Replica) registerRecords() []*pb.RegisterRecord {
	records := make([]*pb.RegisterRecord, 0, len(r.registers)+1)
	for _, name := range r.names() {
		records = append(records, r.registers[name].record(name))
	}
	return records
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

// accept handles the second phase for one register. It returns the outcome, and a record of the change; the record is
// nil if nothing has changed.
func (a *acceptor) accept(now time.Duration, accept *pb.RegisterAccept) (pb.RegisterAccepted_Outcome, *pb.RegisterRecord) {
	position := accept.GetPosition()
	if compareNumbers(position, a.promised) < 0 {
		return pb.RegisterAccepted_OUTCOME_SUPERSEDED, nil
	}
	isNewer := ComparePositions(position, a.accepted) > 0
	record := &pb.RegisterRecord{Name: accept.GetName(), Promised: numberOf(position)}
	switch {
	case !isNewer:
		// The value was accepted before, either by itself or as part of a later value under the same number.
		return pb.RegisterAccepted_OUTCOME_ACCEPTED, nil
	case accept.GetChange() == nil || !a.hasBase(accept):
		return pb.RegisterAccepted_OUTCOME_BASE_MISSING, nil
	default:
		record.Accepted = position
		record.Change = accept.GetChange()
	}
	a.apply(now, record)
	return pb.RegisterAccepted_OUTCOME_ACCEPTED, record
}

// hasBase reports whether the change of an accept message can be applied to the local value.
func (a *acceptor) hasBase(accept *pb.RegisterAccept) bool {
	return accept.GetChange().GetWhole() != nil || ComparePositions(accept.GetBase(), a.accepted) == 0
}

// apply updates the acceptor from a record.
func (a *acceptor) apply(now time.Duration, record *pb.RegisterRecord) {
	a.adoptPosition(record)
	if record.GetAccepted() == nil {
		return
	}
	before := a.value
	a.value = ApplyChange(before, record.GetChange())
	a.bytes = valueBytes(a.value)
	if a.value.GetLock().GetGrantedBy() != before.GetLock().GetGrantedBy() {
		a.grantedAt = now
	}
	if appended := record.GetChange().GetEvents(); appended != nil {
		a.eventTimes = append(a.eventTimes, slices.Repeat([]time.Duration{now}, len(appended.GetEvents()))...)
		return
	}
	a.recordEventTimes(now, before.GetGroup().GetEvents())
}

// adoptPosition adopts the promise of a record, if it is higher, and the position of its value, if it has one.
func (a *acceptor) adoptPosition(record *pb.RegisterRecord) {
	if compareNumbers(record.GetPromised(), a.promised) > 0 {
		a.promised = record.GetPromised()
	}
	if record.GetAccepted() != nil {
		a.accepted = record.GetAccepted()
	}
}

// recordEventTimes sets the acceptance time of the events of a whole group that the group before did not contain. The
// revisions of the events rise.
func (a *acceptor) recordEventTimes(now time.Duration, before []*pb.KeyEvent) {
	events := a.value.GetGroup().GetEvents()
	times := make([]time.Duration, len(events))
	known := 0
	for index, event := range events {
		for known < len(before) && before[known].GetRevision() < event.GetRevision() {
			known++
		}
		times[index] = now
		if known < len(before) && isSameEvent(event, before[known]) {
			times[index] = a.eventTimes[known]
		}
	}
	a.eventTimes = times
}

// isSameEvent reports whether two events of one revision are the same put. They differ if a proposal that was not
// chosen assigned the revision to another put.
func isSameEvent(a, b *pb.KeyEvent) bool {
	return a == b || a.GetRevision() == b.GetRevision() && a.GetName() == b.GetName() && a.GetValue() == b.GetValue()
}

// compactSome drops the events that are older than the retention time from up to maxCompactedGroups groups, and
// continues with the others at the next call. Without it, a group that is not written any more would keep its events.
func (r *Replica) compactSome(now time.Duration) {
	for range min(len(r.groups), maxCompactedGroups) {
		r.nextGroup %= len(r.groups)
		r.compact(now, r.groups[r.nextGroup])
		r.nextGroup++
	}
}

// compact drops the events that are older than the retention time.
func (r *Replica) compact(now time.Duration, found *acceptor) {
	old := 0
	for old < len(found.eventTimes) && now-found.eventTimes[old] > r.retention {
		old++
	}
	if old == 0 {
		return
	}
	group := found.value.GetGroup()
	found.value = groupValue(withoutEventsThrough(group, group.GetEvents()[old-1].GetRevision()))
	found.eventTimes = slices.Clone(found.eventTimes[old:])
	before := found.bytes
	found.bytes = valueBytes(found.value)
	r.bytes += found.bytes - before
}

// record returns a record of the complete persistent state of a register.
func (a *acceptor) record(name string) *pb.RegisterRecord {
	return &pb.RegisterRecord{Name: name, Promised: a.promised, Accepted: a.accepted, Change: wholeChange(a.value)}
}

// localState returns a copy of the state of a register on this machine.
func (r *Replica) localState(name string) acceptor {
	if found := r.registers[name]; found != nil {
		return *found
	}
	return acceptor{}
}
