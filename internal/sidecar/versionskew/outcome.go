package versionskew

// Phase is the progress of an edition at the leader.
type Phase uint8

// The phases.
const (
	Unknown  Phase = iota // the leader does not know the edition
	Offered               // the edition is on trial, and some members have not replied
	Read                  // all members have replied or timed out
	Agreed                // the leader has proposed the edition with a view
	InForce               // the decided view has the edition
	Rejected              // the leader cannot read the edition, or the edition would lose something in a format that all members read
)

// String returns the phase's name for operators.
func (p Phase) String() string {
	return [...]string{"nothing", "offered", "read", "agreed", "in force", "rejected"}[min(p, Rejected)]
}

// Outcome is the outcome of a trial at a member.
type Outcome uint8

// The outcomes.
const (
	NoReply    Outcome = iota // the member has not replied
	Compatible                // the member decides all cases as the leader does
	Unreadable                // the member cannot read the edition
	Divergent                 // the member reads the edition and decides some case differently
)

// String returns the outcome's name for operators.
func (o Outcome) String() string {
	return [...]string{"not heard of", "understands", "cannot read", "reads otherwise"}[min(o, Divergent)]
}

// Result is the outcome of a trial at a member, with its reason.
type Result struct {
	Name    string
	Outcome Outcome
	Reason  string
}
