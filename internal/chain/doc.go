// Package chain replicates the control state along the chain of the view in force.
//
// The head gives changes their sequence numbers and appends one at a time. Every replica has a change on disk
// before it passes it on; when the tail has it, it is committed, and the acknowledgement travels back. So a
// replica's state always begins with that of its successor, and what is committed is on every replica.
//
// At a change of view the head of the new chain must be a source: a replica of the old chain that holds all
// that was committed. The others take the state of their predecessor, one after another, before they take
// part: a replica drops what its predecessor does not hold. Machines outside of the chain are learners; they
// follow the tail and hold committed changes only.
//
// Which replicas are sources follows from the basis, a number that each replica keeps on disk: the replica
// holds all that was committed in the views up to its basis. A replica that takes the state of view n gets
// basis n. One that leaves view n, as a member of its chain, without having taken its state may count n as
// well: nothing can have been committed there without it. A member of view n's chain is a source for view n+1
// if its basis is at least n-1, for the same reason.
//
// The package promises this as long as each Write is on disk before Saved is called for it, and views are
// adopted that were decided only. Nothing here does I/O, reads a clock or starts a goroutine.
package chain
