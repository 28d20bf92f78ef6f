package skew

// Phase is how far an edition has come, as the leader has it.
type Phase uint8

// The phases.
const (
	Nothing  Phase = iota
	Offered        // told to the members, some of which have not answered
	Read           // every member has answered
	Agreed         // proposed with a view
	InForce        // the decided view has it
	Rejected       // it cannot be read, or nothing may be lost and something would
)

func (p Phase) String() string {
	return [...]string{"nothing", "offered", "read", "agreed", "in force", "rejected"}[min(p, Rejected)]
}

// Outcome is what became of a member's trial.
type Outcome uint8

// What a trial can come to.
const (
	NoReply Outcome = iota
	Compatible
	Unreadable
	Divergent // it reads it and decides otherwise
)

func (u Outcome) String() string {
	return [...]string{"not heard of", "understands", "cannot read", "reads otherwise"}[min(u, Divergent)]
}

// Result is what became of one member's trial.
type Result struct {
	Name    string
	Outcome Outcome
	Reason  string
}
