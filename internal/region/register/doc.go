// Package register replicates named values across the voters of the current view. Each name is an independent register,
// decided by Paxos among the voters; no single leader serves all registers.
//
// # Proposals
//
// A Replica stores what one machine has promised and accepted for each register. A Proposer writes one register: it
// obtains promises for its proposal number from a majority (prepare), adopts the newest value that any of those voters
// has accepted, and then has a majority accept a sequence of values under that number, without further promises
// (Multi-Paxos). Any machine may
// become the proposer of any register at any time; a higher proposal number supersedes a lower one. The choice of the
// proposer affects only performance and is made elsewhere (package coordination).
//
// A proposer executes all queued calls on the newest value as one batch, and has a majority accept the outcome. It
// sends the results only after a majority has accepted the outcome, so every result, including that of a read or a
// rejection, is based on a chosen value that no later proposer can miss. A batch that changes nothing is a
// confirmation: the majority confirms that it has promised no higher number (comparable to ReadIndex in Raft).
//
// # Epochs
//
// An epoch is the period during which the set of voters stays the same. Its number is that of the view that introduced
// the set. Messages of an earlier epoch are dropped: once a machine has learnt of an epoch, it accepts nothing in
// earlier epochs. A voter participates once it holds the registers of the epoch. It collects them either from a
// majority of the previous voters that have learnt of the epoch, or from one voter that already participates. These
// registers include everything that was chosen in the previous epoch, since the two majorities share a voter. Voters
// may be replaced only while a majority of them participates (heartbeats carry Replica.ActiveEpoch), so that a majority
// of the previous voters always holds the registers that the new voters request.
//
// A machine that has lost its disk returns under a new identity. It votes only after a later view has admitted that
// identity and after it has collected the registers, so a replica that has lost its promises never votes.
//
// # Boundaries
//
// This package does no I/O, reads no clock and starts no goroutine, and none of its types is safe for concurrent use.
// Times are readings of a monotonic clock. The Output interface tells the caller what to do; in particular, an answer
// of a Replica must not be sent before its records are durable. docs/design/coordination.md describes the design.
package register
