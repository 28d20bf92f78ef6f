// Package register holds named values at a majority of the voters of the agreed view: each name is a register of its own,
// decided by Paxos among the voters, without a leader for all of them.
//
// # Proposals
//
// A Replica is what one machine has promised and accepted for each register. A Proposer writes a register: it has a
// majority promise its proposal number (prepare), takes over the newest value that one of them has accepted, and then has
// a majority accept one value after another under that number, in sequence (Multi-Paxos). Any machine may become the
// proposer of any register at any time; a higher number supersedes a lower one. Which machine should do it is a matter of
// speed alone and is decided elsewhere (package coordination).
//
// A round of a proposer executes all calls that wait, on the newest value, and has the outcome accepted. Its results leave
// when a majority has accepted, so that whatever a result tells, be it a read or a refusal, rests on a chosen value that
// no later proposer can have missed. A round that changes nothing is a confirmation: the majority confirms that it has
// promised no higher number (the ReadIndex of Raft).
//
// # Epochs
//
// An epoch is the time during which the voters stay the same, and is named by the number of the view that brought them.
// Messages of an earlier epoch are dropped: a machine that has learnt of an epoch accepts nothing in earlier ones. A voter
// takes part once it holds the registers of the epoch: it collects them from a majority of the previous voters that have
// learnt of the epoch, or from one voter that takes part already. Whatever was chosen in the previous epoch is among
// them, since the two majorities share a voter. Voters may be replaced only while a majority of them takes part
// (Replica.ActiveEpoch, which heartbeats carry), so that a previous majority always holds what it is asked for.
//
// A machine that has lost its disk returns under another identity, which votes only after a later view has admitted it, and
// after it has collected the registers. So a replica that has forgotten never votes.
//
// # Boundaries
//
// Nothing here does I/O, reads a clock or starts a goroutine, and nothing is safe for concurrent use. Times are of a steady
// clock. Output says what the caller must do; in particular, an answer of a Replica must not leave before its records are
// durable. docs/design/coordination.md describes the design.
package register
