// Package execute carries out a plan of replacements, as a state machine without I/O, a clock or goroutines.
//
// Everything durable is in a State, which the control machines store as an item of the control state. The Machine sends no
// commands: the committed state says which nodes get no new requests, whose streams may be resumed elsewhere, which nodes
// are to be started or may be stopped, and which voters are exchanged. The components that carry this out read the
// committed state. The Machine only requests that the next state is stored, by compare-and-set on the state that it knows.
// Therefore a Machine that takes over continues where its predecessor stopped, and the states of a Machine that was
// superseded are rejected.
//
// A replacement passes through phases (see Phase). Each step forward depends on observations, never on elapsed time alone,
// except for the time during which requests may still arrive at a node (plan.Times.Linger). Before a node is cordoned,
// and in each transition until it may be stopped, the capacity is checked against the measured demand. A node that is only
// cordoned serves again at once if capacity falls short; a node that may be stopped never serves again.
//
// The package does not collect observations and does not start or stop nodes. The design is in docs/design/migration.md.
package execute
