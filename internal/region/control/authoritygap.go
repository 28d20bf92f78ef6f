package control

// AuthorityGap names what a machine lacks to be authoritative; empty: nothing.
type AuthorityGap string

// Reasons why a machine is not authoritative, in the order in which they are checked.
const (
	// GapNone: the machine is authoritative.
	GapNone AuthorityGap = ""
	// GapView: the machine knows no view.
	GapView AuthorityGap = "view"
	// GapState: the state of the view in force has not arrived from the predecessor in the chain yet.
	GapState AuthorityGap = "state"
	// GapCommit: the machine holds the state, but does not know how much of it is committed.
	GapCommit AuthorityGap = "commit"
	// GapMajority: heartbeats of a majority of the voters are missing.
	GapMajority AuthorityGap = "majority heartbeats"
	// GapChain: heartbeats of the members of the chain are missing.
	GapChain AuthorityGap = "chain heartbeats"
	// GapLaterView: heartbeats advertise a later view.
	GapLaterView AuthorityGap = "later view"
	// GapChanges: committed changes that heartbeats advertise are missing.
	GapChanges AuthorityGap = "changes"
	// GapLoopStalled: the loop of the node is stalled.
	GapLoopStalled AuthorityGap = "tick"
)
