package chain

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/quorum"
)

// Adopt enters a later view that was decided. From then on the replica rejects messages of earlier views, so that the
// head of an earlier view can no longer commit. An earlier view, or the view in force, is ignored.
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

// leaveView raises the synchronized view to the view in force if nothing can have been committed in that view without
// this replica. From then on the replica acknowledges nothing in that view.
func (r *Replica) leaveView() {
	if r.state.isSynchronized(r.self) {
		r.state.SynchronizedView = max(r.state.SynchronizedView, r.state.View.GetNumber())
	}
}

// enterView resets the fields that belong to a view. The state of a synchronized head is the state of the view by
// definition.
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

// isCurrent reports whether a view number is that of the view in force.
func (r *Replica) isCurrent(number uint64) bool {
	return r.state.View != nil && number == r.state.View.GetNumber()
}
