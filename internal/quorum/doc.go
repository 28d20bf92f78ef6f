// Package quorum holds the agreed view of the control machines: who votes on the next view and which chain is
// in force.
//
// View n+1 is one value, decided by single-decree Paxos among the voters of view n. An Acceptor is what a voter
// must have on disk before it answers; a Proposer is one attempt to have a value decided. View 0 stands for the
// state before founding: its voters are the seeds, known by their operator's address alone.
//
// The package promises that at most one view is decided for a number, provided that no voter answers before its
// Acceptor is on disk and that no ballot is used for two values. It does not promise that a proposal succeeds:
// proposers that compete must wait for different times and try again.
//
// Nothing here does I/O, reads a clock or starts a goroutine.
package quorum
