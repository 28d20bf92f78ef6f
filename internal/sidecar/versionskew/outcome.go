package versionskew

// Phase is how far an edition has come, at the leader.
type Phase uint8

// The phases.
const (
	Unknown  Phase = iota // not known to the leader
	Offered               // on trial; some members have not replied
	Read                  // all have replied
	Agreed                // proposed with a view
	InForce               // part of the decided view
	Rejected              // the leader cannot read it, or it would lose something in a format that all read
)

// String is the phase as operators see it.
func (p Phase) String() string {
	return [...]string{"nothing", "offered", "read", "agreed", "in force", "rejected"}[min(p, Rejected)]
}

// Outcome is what the trial at a member came to.
type Outcome uint8

// The outcomes.
const (
	NoReply    Outcome = iota
	Compatible         // it decides all cases as the leader does
	Unreadable         // it cannot read the edition
	Divergent          // it reads the edition and decides some case otherwise
)

// String is the outcome as operators see it.
func (o Outcome) String() string {
	return [...]string{"not heard of", "understands", "cannot read", "reads otherwise"}[min(o, Divergent)]
}

// Result is what the trial at a member came to, and why.
type Result struct {
	Name    string
	Outcome Outcome
	Reason  string
}
