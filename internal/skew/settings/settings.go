// Package settings is the section rules of the operator's file. It stands by
// itself so that a sidecar without a fleet links none of what rules need.
package settings

import (
	"fmt"
	"slices"
	"time"
)

// Settings are the section rules of the operator's file. Off unless on is true.
type Settings struct {
	On     bool     `toml:"on"`           // this member reads rules and tries what is offered
	File   string   `toml:"file"`         // of rules that are pushed from here; empty: none are
	Reads  []string `toml:"reads"`        // formats that are read, such as "sampling 1"; empty: all that the program reads
	Policy string   `toml:"policy"`       // wait or lower
	Behind int      `toml:"leave_behind"` // members that may be left behind
	Return int      `toml:"return_ms"`    // who is away for less counts: it may come back
	Hear   int      `toml:"hear_ms"`      // who has not answered for so long is not heard of
}

// Defaults are the settings where the operator says nothing.
func Defaults() Settings { return Settings{Policy: "wait", Return: 30_000, Hear: 10_000} }

const (
	mostReads  = 16
	mostBehind = 2048
	mostWait   = 3_600_000
)

// Check calls fault for each key whose value cannot be used. fleet tells whether the file names a fleet.
func (s *Settings) Check(fleet bool, fault func(key string, read any, allowed string)) {
	if s.On && !fleet {
		fault("on", s.On, "true only where the section fleet names a fleet")
	}
	if s.File != "" && !s.On {
		fault("file", s.File, "only with on = true")
	}
	if len(s.Reads) > mostReads {
		fault("reads", len(s.Reads), fmt.Sprintf("%d formats at most", mostReads))
	}
	for i, r := range s.Reads {
		var kind, format string
		if n, err := fmt.Sscanf(r, "%s %s", &kind, &format); n != 2 || err != nil {
			fault(fmt.Sprintf("reads[%d]", i), r, `a kind and a format, such as "sampling 1"`)
		}
	}
	if s.Policy != "wait" && s.Policy != "lower" {
		fault("policy", s.Policy, "wait or lower")
	}
	if s.Behind < 0 || s.Behind > mostBehind {
		fault("leave_behind", s.Behind, fmt.Sprintf("0 to %d", mostBehind))
	}
	if s.Return < 0 || s.Return > mostWait {
		fault("return_ms", s.Return, fmt.Sprintf("0 to %d", mostWait))
	}
	if s.Hear < 0 || s.Hear > mostWait {
		fault("hear_ms", s.Hear, fmt.Sprintf("0 to %d", mostWait))
	}
}

// Live tells whether only what can change while the fleet runs differs: the file, which is read again then.
func (s Settings) Live(next Settings) bool {
	next.File = s.File
	return s.Equal(next)
}

// Equal tells whether nothing differs. What stands in the file is not looked at.
func (s Settings) Equal(next Settings) bool {
	return s.On == next.On && s.File == next.File && slices.Equal(s.Reads, next.Reads) && s.Policy == next.Policy && s.Behind == next.Behind &&
		s.Return == next.Return && s.Hear == next.Hear
}

// ReturnTime is for how long one that is away counts.
func (s Settings) ReturnTime() time.Duration { return time.Duration(s.Return) * time.Millisecond }

// HearTime is after what time one that does not answer is not heard of.
func (s Settings) HearTime() time.Duration { return time.Duration(s.Hear) * time.Millisecond }
