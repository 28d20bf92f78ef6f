package control

// AuthorityGap is the reason why a machine is not authoritative; empty: the machine is authoritative.
type AuthorityGap string

// Reasons why a machine is not authoritative, in the order in which they are checked.
const (
	// GapNone: the machine is authoritative.
	GapNone AuthorityGap = ""
	// GapView: the machine knows no view.
	GapView AuthorityGap = "view"
	// GapState: the state of the view in force has not arrived from the predecessor in the chain yet.
	GapState AuthorityGap = "state"
	// GapCommit: the machine holds the state, but does not know up to which sequence the state is committed.
	GapCommit AuthorityGap = "commit"
	// GapMajority: heartbeats of a majority of the voters are missing.
	GapMajority AuthorityGap = "majority heartbeats"
	// GapChain: heartbeats of the members of the chain are missing.
	GapChain AuthorityGap = "chain heartbeats"
	// GapLaterView: heartbeats advertise a later view.
	GapLaterView AuthorityGap = "later view"
	// GapChanges: the machine lacks committed changes that heartbeats advertise.
	GapChanges AuthorityGap = "changes"
	// GapLoopStalled: the loop of the node is stalled.
	GapLoopStalled AuthorityGap = "tick"
)
