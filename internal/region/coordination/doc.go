// Package coordination provides locks with fencing tokens, increasing numbers, and small keys in groups with revisions
// and watches. Each lock, each counter and each group of keys is a separate register (package register), replicated
// across the voters of the current view.
//
// # Calls
//
// A call arrives at any control machine, which becomes its origin. The origin forwards the call to the machine that
// should propose for the register, and to another machine if no answer arrives in time, until the caller gives up
// (origin.go). All origins prefer the same proposer (routing.go), so that the proposer keeps its proposal number and a
// call costs one round trip between the proposer and a majority. The preference affects only performance.
//
// A call may therefore be executed more than once, by two proposers. Every operation tolerates this: a repeated request
// for a number returns a second number, a repeated put of the same value to the same key returns the first revision,
// and a repeated acquisition is recognized by the name of its call.
//
// # Locks and time
//
// A lock is granted as a lease of hold_ms. A caller considers itself the holder from the answer to its call until
// hold_ms after it sent that call. A proposer knows a time by which the newest grant had been requested: either the
// time at which it executed the call itself, or the earliest time at which one of the replicas that promised its number
// had accepted the grant. It grants the lock to another holder only when hold_ms have passed since that time. All these
// times are intervals of monotonic clocks; neither the time of day nor the clock reading of another machine is used.
//
// # Boundaries
//
// An Engine does no I/O, reads no clock and starts no goroutine; it is not safe for concurrent use.
// docs/region/rules.md lists the rules that it keeps, and docs/design/coordination.md describes the design.
package coordination
