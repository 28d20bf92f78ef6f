package coordination

// Stats are statistics of an Engine, for display to operators.
type Stats struct {
	Registers int // number of registers that this machine stores
	Proposing int // number of registers that this machine proposes for, or has recently proposed for
	Pending   int // number of calls other than watches that arrived at this machine and have no result yet
	Watches   int // number of watches that arrived at this machine and have no result yet
}

// Stats returns the current statistics.
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
