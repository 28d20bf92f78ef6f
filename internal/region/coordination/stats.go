package coordination

// Stats are figures about an Engine, for people.
type Stats struct {
	Registers int // held by this machine
	Proposing int // registers that it proposes for, or has proposed for lately
	Pending   int // calls that arrived here and have no result yet, watches left out
	Watches   int // watches that arrived here and wait
}

// Stats returns the present figures.
func (e *Engine) Stats() Stats {
	watches := 0
	for _, pending := range e.origin.pending {
		if pending.call.GetWatch() != nil {
			watches++
		}
	}
	return Stats{
		Registers: e.replica.Len(),
		Proposing: e.proposers.Len(),
		Pending:   len(e.origin.pending) - watches,
		Watches:   watches,
	}
}
