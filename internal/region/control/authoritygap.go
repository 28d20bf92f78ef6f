package control

// AuthorityGap names what a machine lacks to be authoritative; empty: nothing.
type AuthorityGap string

// What a machine may lack, in the order in which it is looked for.
const (
	// GapNone: the machine is authoritative.
	GapNone AuthorityGap = ""
	// GapView: no view is known here.
	GapView AuthorityGap = "view"
	// GapState: the state of the view in force has not come from the predecessor yet.
	GapState AuthorityGap = "state"
	// GapCommit: the state is here, but not what of it is committed.
	GapCommit AuthorityGap = "commit"
	// GapMajority: heartbeats of a majority of the voters are missing.
	GapMajority AuthorityGap = "majority heartbeats"
	// GapChain: heartbeats of the members of the chain are missing.
	GapChain AuthorityGap = "chain heartbeats"
	// GapLaterView: heartbeats advertise a later view.
	GapLaterView AuthorityGap = "later view"
	// GapChanges: committed changes that heartbeats advertise are missing.
	GapChanges AuthorityGap = "changes"
	// GapTick: the loop of the node does not run.
	GapTick AuthorityGap = "tick"
)
