package chain

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/quorum"
)

// OutgoingMessage is a message for another control machine.
type OutgoingMessage struct {
	To      *pb.Replica
	Message *pb.Message
}

// Output is what an event leads to.
type Output struct {
	// Writes must reach the disk together and in the order of the outputs; then Saved must be called once. No
	// message in any output tells of a write that is not on disk.
	Writes   []Write
	Messages []OutgoingMessage
	// Committed: the committed state is a newer one.
	Committed bool
}

// Advertised is what other machines may be told about a replica: it is on disk.
type Advertised struct {
	ViewNumber uint64
	Sequence   uint64
	// Synchronized: a member of the chain is a source for the next view; a learner follows the tail.
	Synchronized bool
}

// Replica is one machine's part in the chain.
type Replica struct {
	self        string // identity
	state       State  // after all writes that were handed out
	unpersisted int    // outputs with writes that are not on disk yet
	advertised  Advertised

	// of the view in force
	synchronized     bool   // holds the state of the view
	commitKnown      bool   // something is known to be committed in this view
	acknowledged     uint64 // by the successor
	appendPacer      pacer  // of appends to the successor
	appendBase       uint64 // sequence of the copies that the last of these serves, and of later ones
	heartbeatsBehind int    // heartbeats in a row that told of an upstream that is ahead
	request          *syncRequest
	earlyRequests    map[string]*pb.Message // SyncRequests that came too early, by identity
	responsePacers   map[string]*pacer      // of answers to SyncRequests, by identity
	standbys         []*pb.Replica          // machines without a vote that took their state from this one

	previous    *catalog.Snapshot // before the last change; nil after a repair
	committed   *catalog.Snapshot // newest known; nil before the first
	incarnation uint64
}

// maxEarlyRequests bounds the early requests that a replica remembers.
const maxEarlyRequests = 2 * quorum.MaxVoters

// NewReplica resumes from what is on disk. The ticket tells the sync requests of this life from those of
// earlier ones and must be another one after each start.
func NewReplica(identity string, state State, incarnation uint64) *Replica {
	replica := &Replica{
		self:        identity,
		state:       state,
		incarnation: incarnation,
	}
	replica.enterView()
	replica.advertise()
	return replica
}

// State is the state after all writes that were handed out.
func (r *Replica) State() State { return r.state }

// Advertised is what other machines may be told.
func (r *Replica) Advertised() Advertised { return r.advertised }

// Committed is the newest state known to be committed; nil before the first is known.
func (r *Replica) Committed() *catalog.Snapshot { return r.committed }

// ChangesSince returns the changes after sequence up to the committed state, oldest first; false when they
// are not kept.
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

// RecentChanges returns the kept changes up to the committed state, oldest first.
func (r *Replica) RecentChanges() []*pb.Change {
	committed := r.committed.Sequence()
	for back := min(committed, catalog.HistoryMaxChanges); back > 0; back-- {
		if changes, found := r.ChangesSince(committed - back); found {
			return changes
		}
	}
	return nil
}

// Adopt moves to a later view that was decided. From now on messages of earlier views are refused.
func (r *Replica) Adopt(view *pb.View) Output {
	var output Output
	if view.GetNumber() <= r.state.View.GetNumber() {
		return output
	}
	r.leaveView()
	r.state.View = view
	r.enterView()
	r.addWrite(&output, Write{View: view, SynchronizedView: r.state.SynchronizedView})
	return output
}

// leaveView counts the view as covered if nothing can have been committed in it.
func (r *Replica) leaveView() {
	if r.state.isSource(r.self) {
		r.state.SynchronizedView = max(r.state.SynchronizedView, r.state.View.GetNumber())
	}
}

// enterView sets what belongs to a view. The head's state is that of the view by definition.
func (r *Replica) enterView() {
	number := r.state.View.GetNumber()
	position := r.state.position(r.self)
	if position == 0 && r.state.SynchronizedView+1 == number {
		r.state.SynchronizedView = number
	}
	r.synchronized = position != quorum.NotFound && r.state.SynchronizedView == number
	r.commitKnown = false
	r.acknowledged = 0
	r.appendPacer = pacer{}
	r.heartbeatsBehind = 0
	r.request = nil
	r.responsePacers = make(map[string]*pacer)
	r.standbys = nil
	r.discardStaleRequests()
}

// AcceptsProposals reports whether the replica is the head and takes another change: the one before is committed.
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

// KnowsCommitted reports whether the replica knows what is committed in its view.
func (r *Replica) KnowsCommitted() bool { return r.synchronized && r.commitKnown }

// Newest is the state that the next change builds on.
func (r *Replica) Newest() *catalog.Snapshot { return r.state.Newest }

// Propose appends a change at the head; it must be open and the change must follow Newest.
func (r *Replica) Propose(change *pb.Change) (Output, error) {
	var output Output
	if err := r.applyChange(&output, change); err != nil {
		return Output{}, err
	}
	return output, nil
}

// WritesPersisted tells that the writes of the oldest output that had some are on disk.
func (r *Replica) WritesPersisted() Output {
	var output Output
	r.unpersisted--
	if r.unpersisted == 0 {
		r.advertise()
		r.resume(&output)
	}
	return output
}

// Tick repeats what got no answer. It is meant to be called every 100 to 200 ms.
func (r *Replica) Tick() Output {
	var output Output
	r.appendPacer.tick()
	for _, answered := range r.responsePacers {
		answered.tick()
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

// Reachable notes how far another machine's copy reaches. If the upstream stays ahead, its state is asked for.
func (r *Replica) ObserveHeartbeat(from *pb.Replica, heartbeat *pb.Heartbeat) Output {
	var output Output
	if !r.isPredecessor(from) || heartbeat.GetViewNumber() != r.state.View.GetNumber() {
		return output
	}
	if heartbeat.GetSequence() <= r.state.Newest.Sequence() || r.unpersisted > 0 || !r.synchronized {
		r.heartbeatsBehind = 0
		return output
	}
	r.heartbeatsBehind++
	if r.heartbeatsBehind > 1 && r.request == nil {
		r.requestSync(&output)
	}
	return output
}

func (r *Replica) advertise() {
	r.advertised = Advertised{
		ViewNumber:   r.state.View.GetNumber(),
		Sequence:     r.state.Newest.Sequence(),
		Synchronized: r.state.isSource(r.self) || (r.isLearner() && r.synchronized),
	}
}

// proceed does what was waiting for the disk.
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

func (r *Replica) addWrite(output *Output, write Write) {
	if len(output.Writes) == 0 {
		r.unpersisted++
	}
	output.Writes = append(output.Writes, write)
}

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
