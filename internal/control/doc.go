// Package control runs the agreed view, the chain and the operator's orders on one control machine.
//
// Machine joins packages quorum and chain: it takes events (a message, a tick of the clock, a write that is on
// disk, an order) and returns actions (send, write, reply). It does no I/O, reads no clock and starts no
// goroutine, so that the same code runs in Node, under sockets and on a disk, and in simulations.
//
// What a Machine promises: an order that is answered 200 is on the disk of every replica of the chain and is
// found by every later read; an order that is refused (4xx) is not in force later; a read is at least as new as
// the newest order acknowledged before it. An order answered 503 may or may not be in force.
package control
