// Package coordination serves locks with fencing tokens, rising numbers, and small keys in groups with revisions and watches.
// Each lock, each counter and each group of keys is a register of its own (package register), held at a majority of the
// voters of the agreed view.
//
// # A call
//
// A call arrives at any control machine, its origin. The origin forwards it to the machine that is to propose for the
// register, and to another one if there is no answer in time, until its caller gives up (origin.go). All origins prefer the
// same proposer (routing.go), so that a proposer keeps its number and a call costs one round of messages between the
// proposer and a majority. Nothing but speed depends on that preference.
//
// A call may therefore be executed more than once, by two proposers. Each operation bears that: a number is given twice as
// two numbers, a put of the same value to the same key returns the first revision, and an acquisition is known by its call.
//
// # Locks and time
//
// A caller takes itself for the holder from the answer to its call until hold_ms after it sent that call. A proposer knows a
// time before which the newest grant was called for: when it executed the call itself, or the earliest time at which one of
// the replicas that promised it its number had accepted the grant. It gives the lock to another holder only when hold_ms have
// passed since then. All of these are spans of steady clocks; no time of day, and no point in time of another machine, is
// used.
//
// # Boundaries
//
// An Engine does no I/O, reads no clock and starts no goroutine; it is not safe for concurrent use. The rules that it keeps are
// listed in docs/region/rules.md, the design in docs/design/coordination.md.
package coordination
