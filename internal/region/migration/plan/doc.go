// Package plan schedules the replacement of nodes in stages, during each of which the remaining nodes have enough capacity
// for the demand. If no such schedule is found, it reports the constraint that cannot be met and what is missing.
//
// A stage replaces a set of nodes concurrently and ends before the next one begins. The constraints on a stage are: in each
// period of the demand that the stage overlaps, the capacity (see package capacity) suffices without the nodes that the
// stage removes; every zone keeps a warm server of each service; the voters and the chain survive the fault budget; and
// there is surge capacity for the new nodes that start before the old ones have stopped. Each state between stages must
// serve the whole day as well as the present fleet does, since a run may be paused in that state for a long time.
//
// Make minimizes the total time, including the waiting for hours with less demand. Up to a limit on the number of
// combinations the search is exhaustive (Plan.Shortest); beyond it, the plan is the best result of several greedy
// searches. Verify checks the stages of a plan file against the same constraints.
//
// The package does no I/O, reads no clock and does not carry out a plan; package execute does. The design is in
// docs/design/migration.md.
package plan
