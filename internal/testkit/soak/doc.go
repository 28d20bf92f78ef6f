// Package soak plays the regional system's own processes against random troubles and judges what was seen from
// outside. Its tests start control machines, proxies and agents as real processes with real sockets and disks on one
// machine, put a fault injector on each link between them, change the configuration without pause and send requests
// to each proxy that show which configuration it serves by. docs/accounts/soak.md tells how to run it and what it checks.
//
// All times of a history are read from the steady clock of the one machine, so that "later" needs no allowance for
// clocks that differ. A processor that gives a process no time is a trouble like a pause: the test itself and each
// child measure how long they stood still, and what a rule with a bound asks of a machine isn't asked while that
// machine, or the test, stood still or had stood still within the time that the rules call contact.
package soak
