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

// Output is the reaction to an event.
type Output struct {
	// Writes must be persisted together and in the order of the outputs; then WritesPersisted must be called, once for
	// each output that has any. No message in any output depends on a write that is not on disk.
	Writes   []Write
	Messages []OutgoingMessage
	// Committed: Replica.Committed has advanced.
	Committed bool
}

// Advertised is what a replica advertises to other machines: what it has on disk.
type Advertised struct {
	ViewNumber uint64
	Sequence   uint64
	// Synchronized: as a member of the chain, the replica can be the head of the next chain; as a learner, it follows
	// the tail.
	Synchronized bool
}

// Replica is one machine's part in the chain, or a learner outside of it. Its methods are events, which return what
// must be done, and queries.
type Replica struct {
	self        string // identity
	state       State  // after all writes of the outputs so far, on disk or not
	unpersisted int    // number of outputs with writes that are not on disk yet
	advertised  Advertised

	// These are reset with each view.
	synchronized     bool   // holds the state of the view: its predecessor's, or its own if it is the head
	commitKnown      bool   // something is known to be committed in the view
	acknowledged     uint64 // sequence that the successor has acknowledged
	appendPacer      pacer  // of appends to the successor
	appendBase       uint64 // sequence on which the changes of the last append build
	heartbeatsBehind int    // consecutive heartbeats of a predecessor that is ahead
	request          *syncRequest
	responsePacers   map[string]*pacer // of sync responses, by identity of the receiver
	standbys         []*pb.Replica     // learners without a vote that have synchronized with this replica

	earlyRequests map[string]*pb.Message // sync requests that cannot be answered yet, by identity of the sender
	previous      *catalog.Snapshot      // before the last change; nil after a repair
	committed     *catalog.Snapshot      // newest known; nil before the first
	syncToken     uint64                 // of the last sync request
}

// maxEarlyRequests bounds the early requests, and the receivers of sync responses, that a replica remembers.
const maxEarlyRequests = 2 * quorum.MaxVoters

// NewReplica resumes from the durable state. The incarnation must differ from run to run, by more than the number of
// requests of a run: it is the first of the tokens that tell this run's sync requests from those of earlier ones.
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

// State is the state after all writes of the outputs so far, on disk or not.
func (r *Replica) State() State { return r.state }

// Newest is the state on which the next change builds.
func (r *Replica) Newest() *catalog.Snapshot { return r.state.Newest }

// Advertised is what may be advertised to other machines.
func (r *Replica) Advertised() Advertised { return r.advertised }

// Committed is the newest state that is known to be committed; nil before the first.
func (r *Replica) Committed() *catalog.Snapshot { return r.committed }

// ChangesSince returns the changes after a sequence up to the committed state, oldest first; false when the history
// does not reach back that far.
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

// AcceptsProposals reports whether the replica is the head and the change before is committed, so that it takes
// another.
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

// KnowsCommitted reports whether the replica knows what is committed in its view.
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

// WritesPersisted must be called when the writes of the oldest output that had some, and has not been confirmed yet,
// are on disk.
func (r *Replica) WritesPersisted() Output {
	var output Output
	r.unpersisted--
	if r.unpersisted == 0 {
		r.advertise()
		r.resume(&output)
	}
	return output
}

// Tick retries what was not answered. It is meant to be called every 100 to 200 ms.
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

// advertise updates what the replica advertises. All of the state must be on disk.
func (r *Replica) advertise() {
	r.advertised = Advertised{
		ViewNumber:   r.state.View.GetNumber(),
		Sequence:     r.state.Newest.Sequence(),
		Synchronized: r.state.isSynchronized(r.self) || (r.isLearner() && r.synchronized),
	}
}

// resume does what had to wait until the writes were on disk.
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
