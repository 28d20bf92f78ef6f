// Package chain replicates the control state along the chain of the view in force, by chain replication (van Renesse
// and Schneider, "Chain Replication for Supporting High Throughput and Availability", 2004).
//
// # Appends and commits
//
// The head assigns sequence numbers to changes and appends one change at a time. Every replica writes a change to disk
// before it sends the change to its successor. A change is committed once it is on the tail's disk, and the
// acknowledgement travels back to the head. Two invariants follow: the history of a successor is a prefix of the
// history of its predecessor, and every committed change is on every replica of the chain.
//
// # Change of view
//
// The head of a new chain must be synchronized, that is, hold all changes that were committed in earlier views. The
// other members synchronize with their predecessors, one after another, before they append or acknowledge changes; a
// member discards the changes that its predecessor does not hold. Machines outside of the chain are learners: the tail
// is their predecessor, and they receive committed changes only.
//
// Each replica keeps on disk the number of its synchronized view: the replica holds all changes that were committed in
// the views up to that one. The number rises in two ways. A replica that restores the state of view n from its
// predecessor sets it to n. A member of the chain of view n that leaves the view without having restored its state also
// sets it to n if it was synchronized with view n-1, since nothing can have been committed in view n without it.
//
// # Boundaries
//
// The invariants hold as long as Replica.WritesPersisted is called only when the writes are on disk, and only decided
// views are adopted. The package does not decide views, see package quorum; NextChain is the policy that chooses the
// chain of the next view. The package does no I/O, reads no clock and starts no goroutine, and nothing in it is safe for
// concurrent use. docs/design/regional.md describes the design.
package chain
