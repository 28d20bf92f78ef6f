// Package plan orders the replacement of nodes into stages, so that every stage leaves enough room for what the
// rest has to serve, or says what is lacking.
//
// A stage replaces a set of nodes side by side and ends before the next one begins. It may begin when, for each
// span of its time, there is room (see package room) while the nodes that it takes away are missing; when every
// zone keeps a warm server of each service; when the voters and the chain still bear the fault budget; and when
// there are places for the replacements. Between stages each state must serve the whole day as well as the
// fleet does today: a run may be held there for long.
//
// Make finds the order with the shortest total time, waiting for quieter hours included. Up to a number of
// combinations this is the shortest of all (Plan.Shortest); beyond, it is the best of several greedy orders.
// Nothing here does I/O or reads a clock.
package plan
