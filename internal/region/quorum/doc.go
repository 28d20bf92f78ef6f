// Package quorum decides the agreed views of the control machines: a view names the voters, who decide the next
// view, and the chain that replicates the control state.
//
// View n+1 is one value, decided by single-decree Paxos (Lamport, "Paxos Made Simple", 2001) among the voters of
// view n. An Acceptor holds what one voter has promised and accepted; a Proposer runs one proposal. View 0 is the
// bootstrap view, before any view is decided: its voters are the seeds in the settings, identified only by the
// address of their operator API. NextVoters is the policy that chooses the voters of the next view.
//
// Safety: at most one view is decided for a view number, provided that a voter sends no granted answer before its
// Acceptor is durable, and that no proposal number is used for two values. Liveness is not guaranteed: competing
// proposers can supersede each other indefinitely, so their callers must retry after backoffs of different lengths.
//
// The package is a state machine. It does no I/O, reads no clock and starts no goroutine, and nothing in it is safe
// for concurrent use. docs/design/regional.md describes the design.
package quorum
