package chain

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/quorum"
)

// OutgoingMessage is a message for another control machine.
type OutgoingMessage struct {
	To      *pb.Replica
	Message *pb.Message
}

// Output contains the actions that result from an event.
type Output struct {
	// Writes must be persisted together and in the order of the outputs. WritesPersisted must then be called, once for
	// each output that has writes. No message in any output depends on a write that is not on disk.
	Writes   []Write
	Messages []OutgoingMessage
	// Committed is set if Replica.Committed has advanced.
	Committed bool
}

// Advertised is the state that a replica advertises to other machines. It describes only state that is on disk.
type Advertised struct {
	ViewNumber uint64
	Sequence   uint64
	// Synchronized is set for a member of the chain that can be the head of the next chain, and for a learner that
	// follows the tail.
	Synchronized bool
}

// Replica is the state machine of one member of the chain, or of a learner outside of it. Its methods are events, which
// return the resulting actions as an Output, and queries.
type Replica struct {
	self        string     // identity of this replica
	state       State      // state after all writes of the outputs so far, on disk or not
	unpersisted int        // number of outputs with writes that are not on disk yet
	advertised  Advertised // state that may be advertised; all of it is on disk

	// The fields below are reset with each view.
	synchronized     bool              // the replica holds the state of the view (see enterView and restoreState)
	commitKnown      bool              // the replica knows up to which sequence the state is committed in the view
	acknowledged     uint64            // highest sequence that the successor has acknowledged
	appendPacer      pacer             // pacer of appends to the successor
	appendBase       uint64            // sequence before the changes of the last append
	heartbeatsBehind int               // number of consecutive heartbeats in which the predecessor is ahead
	request          *syncRequest      // pending sync request; nil: none
	responsePacers   map[string]*pacer // pacers of sync responses, by identity of the receiver
	standbys         []*pb.Replica     // learners without a vote that have synchronized with this replica

	earlyRequests map[string]*pb.Message // sync requests that cannot be answered yet, by identity of the sender
	previous      *catalog.Snapshot      // state before the last change; nil after a repair
	committed     *catalog.Snapshot      // newest state known to be committed; nil before the first
	syncToken     uint64                 // token of the last sync request, see syncRequest
}

// maxEarlyRequests limits the number of early requests, and of pacers of sync responses, that a replica stores.
const maxEarlyRequests = 2 * quorum.MaxVoters

// NewReplica resumes a replica from its durable state. The tokens of sync requests count up from the incarnation and
// distinguish the requests of this run from those of earlier runs. So the incarnations of two runs must differ by more
// than the number of sync requests of a run.
func NewReplica(identity string, state State, incarnation uint64) *Replica {
	replica := &Replica{
		self:      identity,
		state:     state,
		syncToken: incarnation,
	}
	replica.enterView()
	replica.advertise()
	return replica
}

// State returns the state after all writes of the outputs so far, on disk or not.
func (r *Replica) State() State { return r.state }

// Newest returns the state to which the next change applies.
func (r *Replica) Newest() *catalog.Snapshot { return r.state.Newest }

// Advertised returns the state that may be advertised to other machines.
func (r *Replica) Advertised() Advertised { return r.advertised }

// Committed returns the newest state that is known to be committed, or nil if none is known yet.
func (r *Replica) Committed() *catalog.Snapshot { return r.committed }

// ChangesSince returns the changes after a sequence up to the committed state, oldest first, or false if the
// history does not reach back that far.
func (r *Replica) ChangesSince(sequence uint64) ([]*pb.Change, bool) {
	changes, found := r.state.History.Since(sequence)
	if !found {
		return nil, false
	}
	for len(changes) > 0 && changes[len(changes)-1].GetSequence() > r.committed.Sequence() {
		changes = changes[:len(changes)-1]
	}
	return changes, true
}

// RecentChanges returns the changes of the history up to the committed state, oldest first.
func (r *Replica) RecentChanges() []*pb.Change {
	committed := r.committed.Sequence()
	for back := min(committed, catalog.HistoryMaxChanges); back > 0; back-- {
		if changes, found := r.ChangesSince(committed - back); found {
			return changes
		}
	}
	return nil
}

// AcceptsProposals reports whether a change may be proposed: the replica is the head, and its whole state is committed.
func (r *Replica) AcceptsProposals() bool {
	return r.isHead() && r.FullyCommitted()
}

// FullyCommitted reports whether the replica holds the state of its view and knows all of it to be committed.
func (r *Replica) FullyCommitted() bool {
	if r.unpersisted > 0 || !r.synchronized || !r.commitKnown {
		return false
	}
	return r.committed.Sequence() == r.state.Newest.Sequence()
}

// Synchronized reports whether the replica holds the state of its view.
func (r *Replica) Synchronized() bool { return r.synchronized }

// KnowsCommitted reports whether the replica is synchronized and knows up to which sequence the state is committed in
// its view.
func (r *Replica) KnowsCommitted() bool { return r.synchronized && r.commitKnown }

// Propose appends a change at the head. AcceptsProposals must hold. The error is a *catalog.SequenceError if the change
// does not follow Newest.
func (r *Replica) Propose(change *pb.Change) (Output, error) {
	var output Output
	if err := r.applyChange(&output, change); err != nil {
		return Output{}, err
	}
	return output, nil
}

// WritesPersisted handles the completion of writes. It must be called when the writes of the oldest unconfirmed output
// with writes are on disk.
func (r *Replica) WritesPersisted() Output {
	var output Output
	r.unpersisted--
	if r.unpersisted == 0 {
		r.advertise()
		r.resume(&output)
	}
	return output
}

// Tick retries messages that were not answered. It is meant to be called every 100 to 200 ms.
func (r *Replica) Tick() Output {
	var output Output
	r.appendPacer.tick()
	for _, responsePacer := range r.responsePacers {
		responsePacer.tick()
	}
	if r.unpersisted > 0 || r.state.View == nil {
		return output
	}
	switch {
	case !r.synchronized || r.request != nil:
		r.retrySync(&output)
	case r.awaitsAcknowledge() && r.appendPacer.isDue():
		r.sendAppend(&output)
	case r.isTail() && !r.commitKnown:
		r.commitTail(&output)
	}
	return output
}

// advertise updates the advertised state. The whole state must be on disk.
func (r *Replica) advertise() {
	r.advertised = Advertised{
		ViewNumber:   r.state.View.GetNumber(),
		Sequence:     r.state.Newest.Sequence(),
		Synchronized: r.state.isSynchronized(r.self) || (r.isLearner() && r.synchronized),
	}
}

// resume performs the actions that had to wait until the writes were on disk.
func (r *Replica) resume(output *Output) {
	if r.state.View == nil {
		return
	}
	if !r.synchronized {
		r.requestSync(output)
		return
	}
	if r.isLearner() {
		r.markCommitted(output, r.state.Newest)
		return
	}
	r.answerEarlyRequests(output)
	if r.isTail() {
		r.commitTail(output)
		return
	}
	if r.awaitsAcknowledge() {
		r.sendAppend(output)
	}
}

// applyChange adds a change to the state and the output.
func (r *Replica) applyChange(output *Output, change *pb.Change) error {
	next, err := r.state.Newest.Apply(change)
	if err != nil {
		return err
	}
	r.previous = r.state.Newest
	r.state.Newest = next
	r.state.History.Add(change)
	r.addWrite(output, Write{Change: change, SynchronizedView: r.state.SynchronizedView})
	return nil
}

func (r *Replica) addWrite(output *Output, write Write) {
	if len(output.Writes) == 0 {
		r.unpersisted++
	}
	output.Writes = append(output.Writes, write)
}

func (r *Replica) send(output *Output, to *pb.Replica, message *pb.Message) {
	output.Messages = append(output.Messages, OutgoingMessage{To: to, Message: message})
}
