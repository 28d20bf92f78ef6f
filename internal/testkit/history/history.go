// Package history judges the calls that applications made to the coordination service by their history alone: it knows
// nothing of the code that answered them. Check takes a history and returns the violations of the rules, each with the
// smallest sub-history that shows it.
//
// Times are of one steady clock. A call without a clear answer may have taken effect at any later time, or never; a call that
// was refused has not, and never will.
package history

import (
	"fmt"
	"strings"
	"time"
)

// Kind is what a call asks for.
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

// Outcome is what a caller learnt of its call.
type Outcome string

// The outcomes of calls.
const (
	Unclear   Outcome = ""          // no answer, or one that leaves open whether the call took effect
	OK        Outcome = "ok"        // 200
	Held      Outcome = "held"      // 409
	Mismatch  Outcome = "mismatch"  // 412
	Refused   Outcome = "refused"   // 429 or 503
	NotFound  Outcome = "not found" // 404
	Compacted Outcome = "compacted" // 410
)

// Event is a put that a watch tells of.
type Event struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// Call is one call of one caller.
type Call struct {
	Kind    Kind          `json:"kind"`
	Name    string        `json:"name"`   // of the lock, the counter, the key, or the group of a watch
	Caller  string        `json:"caller"` // of locks: the holder
	Sent    time.Duration `json:"sent"`
	Outcome Outcome       `json:"outcome,omitempty"`
	// Answered is when the answer came; meaningless for an Unclear one.
	Answered time.Duration `json:"answered,omitempty"`
	// Final: the call is one of those at the end, by which a caller finds out what was kept.
	Final bool `json:"final,omitempty"`

	Hold  time.Duration `json:"hold,omitempty"`  // of Acquire and Renew
	Fence uint64        `json:"fence,omitempty"` // that Acquire returned, that Renew and Release named

	Number uint64 `json:"number,omitempty"` // that was returned

	Value    string  `json:"value,omitempty"`    // that Put named, that Read returned
	Expected *uint64 `json:"expected,omitempty"` // of Put
	Revision uint64  `json:"revision,omitempty"` // that was returned; of a Mismatch, that of the key

	After  uint64  `json:"after,omitempty"` // of Watch
	Events []Event `json:"events,omitempty"`
}

// String describes a call in a line.
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

// isBefore reports whether a call was answered before another one was sent.
func (c *Call) isBefore(other *Call) bool {
	return c.Outcome != Unclear && c.Answered < other.Sent
}

// groupOf is the group of a key: its name up to the first dot, dot included; the whole name if it has none.
func groupOf(key string) string {
	group, _, found := strings.Cut(key, ".")
	if !found {
		return key
	}
	return group + "."
}
