// Package placement decides to which server an attempt of a request is sent, and whether a request is admitted at all.
//
// Mandatory rules (draining servers, evacuated zones, home regions, slow start, connection limits) narrow the servers
// of a service to candidates. For each candidate the package predicts the time to the first event, from the prompt
// tokens that the server has to prefill and from an exponentially weighted estimate of its speed. It then draws one
// candidate by a softmax over the predictions or, while many answers are late, takes one from a sorted list (package
// selection).
//
// The package is a deterministic state machine without I/O: time is passed to every call, and randomness comes from a
// seed. The caller (package proxy) sends the attempts and reports how they end. The package does not balance
// connections and does not check the servers' health: it learns from the attempts that it placed and from what the
// caller reports. docs/architecture.md describes the role of the package in the system.
//
// The table "The constants of the policy" in docs lists what determines the right value of each constant, and the
// measured effect of leaving it out.
package placement
