package coordination

import "fieldrelay/internal/region/register"

// Stats are statistics of an Engine, for display to operators.
type Stats struct {
	Registers int // number of registers that this machine stores
	Bytes     int // approximate encoded size of these registers
	Proposing int // number of registers that this machine proposes for, or has recently proposed for
	Pending   int // number of calls other than watches that arrived at this machine and have no result yet
	Watches   int // number of watches that arrived at this machine and have no result yet
	// LastTransfer describes the newest completed transfer of registers to this machine.
	LastTransfer register.TransferSummary
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
		Registers:    e.replica.Len(),
		Bytes:        e.replica.Bytes(),
		Proposing:    e.proposers.Len(),
		Pending:      len(e.origin.pending) - watches,
		Watches:      watches,
		LastTransfer: e.replica.LastTransfer(),
	}
}
