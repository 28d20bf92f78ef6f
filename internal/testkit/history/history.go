// Package history checks the consistency of the coordination service from the recorded calls of its clients alone, without
// any knowledge of the code that answered them. Check takes a history and returns the violations of the rules, each with
// the smallest sub-history that shows it.
//
// All times are read from one monotonic clock. A call without a clear answer may have taken effect at any later time, or
// never; a call that was refused has not taken effect and never will.
package history

import (
	"fmt"
	"strings"
	"time"
)

// Kind is the operation that a call requests.
type Kind string

// The kinds of calls.
const (
	Acquire Kind = "acquire"
	Renew   Kind = "renew"
	Release Kind = "release"
	Number  Kind = "number"
	Put     Kind = "put"
	Read    Kind = "read"
	Watch   Kind = "watch"
)

// Outcome is the result of a call as its caller saw it.
type Outcome string

// The outcomes of calls.
const (
	Unclear   Outcome = ""          // no answer, or one that leaves open whether the call took effect
	OK        Outcome = "ok"        // 200
	Held      Outcome = "held"      // 409: another caller holds the lock
	Mismatch  Outcome = "mismatch"  // 412: the key has another revision than was expected
	Refused   Outcome = "refused"   // 429 or 503: not executed
	NotFound  Outcome = "not found" // 404
	Compacted Outcome = "compacted" // 410: the revision to resume from is no longer retained
)

// Event is a put that a watch reports.
type Event struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// Call is one call of one caller, with its answer.
type Call struct {
	Kind    Kind          `json:"kind"`
	Name    string        `json:"name"`   // name of the lock, counter or key; of a watch, its group
	Caller  string        `json:"caller"` // client that made the call; in calls to locks, the holder
	Sent    time.Duration `json:"sent"`
	Outcome Outcome       `json:"outcome,omitempty"`
	// Answered is the time at which the answer arrived; it is meaningless if Outcome is Unclear.
	Answered time.Duration `json:"answered,omitempty"`
	// Final marks a call made at the end of a run to find out which state survived.
	Final bool `json:"final,omitempty"`

	Hold  time.Duration `json:"hold,omitempty"`  // requested lock duration of Acquire and Renew
	Fence uint64        `json:"fence,omitempty"` // fencing token that Acquire returned, or that Renew and Release presented

	Number uint64 `json:"number,omitempty"` // number that the counter returned

	Value    string  `json:"value,omitempty"`    // value that Put wrote or that Read returned
	Expected *uint64 `json:"expected,omitempty"` // revision that a conditional Put expects; nil: unconditional
	Revision uint64  `json:"revision,omitempty"` // returned revision; of a Mismatch, the current revision of the key

	After  uint64  `json:"after,omitempty"` // revision after which Watch starts; 0: the current one
	Events []Event `json:"events,omitempty"`
}

// String describes a call in one line.
func (c Call) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%v %s %s %s", c.Sent, c.Caller, c.Kind, c.Name)
	switch c.Kind {
	case Acquire, Renew:
		fmt.Fprintf(&text, " for %v", c.Hold)
	case Put:
		fmt.Fprintf(&text, " %q", c.Value)
		if c.Expected != nil {
			fmt.Fprintf(&text, " over %d", *c.Expected)
		}
	case Watch:
		fmt.Fprintf(&text, " after %d", c.After)
	}
	if c.Outcome == Unclear {
		text.WriteString(" -> no clear answer")
		return text.String()
	}
	fmt.Fprintf(&text, " -> %v %s", c.Answered, c.Outcome)
	if c.Fence > 0 {
		fmt.Fprintf(&text, " fence %d", c.Fence)
	}
	if c.Number > 0 {
		fmt.Fprintf(&text, " number %d", c.Number)
	}
	if c.Kind == Read && c.Value != "" {
		fmt.Fprintf(&text, " %q", c.Value)
	}
	if c.Revision > 0 {
		fmt.Fprintf(&text, " revision %d", c.Revision)
	}
	for _, event := range c.Events {
		fmt.Fprintf(&text, " [%s=%q %d]", event.Key, event.Value, event.Revision)
	}
	return text.String()
}

// isBefore reports whether a call was answered before the other one was sent.
func (c *Call) isBefore(other *Call) bool {
	return c.Outcome != Unclear && c.Answered < other.Sent
}

// groupOf returns the group of a key: its name up to the first dot, dot included; the whole name if it has none.
func groupOf(key string) string {
	group, _, found := strings.Cut(key, ".")
	if !found {
		return key
	}
	return group + "."
}
