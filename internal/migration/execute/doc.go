// Package execute carries out a plan of replacements, as a machine without I/O, clock or goroutine.
//
// All that counts is in a State, which the control machines keep as an item of the control state. The machine
// sends no commands: the state says which nodes get nothing new, whose streams may be moved, which nodes are to
// be started or may be stopped, and which voters are exchanged; whoever does these things reads the committed
// state. The machine only asks for the next state to be stored, in place of exactly the one that it knows. So a
// machine that takes over goes on where the one before stood, and one that was overtaken can do nothing: its
// states are refused.
//
// A replacement goes through phases (see Phase). Each step forward rests on what was observed, never on how
// long something took; only the time for which a message may be on its way is waited out. Before a node is
// withheld, and before it may be stopped, room is measured as it is then. A node that is only withheld is given
// back at once when room falls; one that may be stopped is never given back.
package execute
