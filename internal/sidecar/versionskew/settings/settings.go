// Package settings is the section rules of the operator's file. It is a package of its own so that a sidecar without a fleet
// does not link what rules need.
package settings

import (
	"fmt"
	"slices"
	"time"
)

// Settings are the section rules of the operator's file. Off unless on is true.
type Settings struct {
	On              bool     `toml:"on"`           // this member reads rules and takes part in their trials
	File            string   `toml:"file"`         // of the rules to push; empty: none
	Reads           []string `toml:"reads"`        // formats that this member reads, such as "sampling 1"; empty: all that the program reads
	Policy          string   `toml:"policy"`       // wait or lower: what happens to an edition that some members cannot read
	MaxBehind       int      `toml:"leave_behind"` // how many incompatible members may be left behind
	ReturnTimeoutMS int      `toml:"return_ms"`    // for so long an absent member may return, and is waited for
	ReplyTimeoutMS  int      `toml:"hear_ms"`      // after which a member without a reply counts as incompatible
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{Policy: "wait", ReturnTimeoutMS: 30_000, ReplyTimeoutMS: 10_000}
}

const (
	maxReads   = 16
	maxBehind  = 2048
	maxTimeout = 3_600_000
)

// Check calls fault for each key whose value cannot be used. fleet says whether the file names a fleet.
func (s *Settings) Check(fleet bool, fault func(key string, read any, allowed string)) {
	if s.On && !fleet {
		fault("on", s.On, "true only where the section fleet names a fleet")
	}
	if s.File != "" && !s.On {
		fault("file", s.File, "only with on = true")
	}
	if len(s.Reads) > maxReads {
		fault("reads", len(s.Reads), fmt.Sprintf("%d formats at most", maxReads))
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
	if s.MaxBehind < 0 || s.MaxBehind > maxBehind {
		fault("leave_behind", s.MaxBehind, fmt.Sprintf("0 to %d", maxBehind))
	}
	if s.ReturnTimeoutMS < 0 || s.ReturnTimeoutMS > maxTimeout {
		fault("return_ms", s.ReturnTimeoutMS, fmt.Sprintf("0 to %d", maxTimeout))
	}
	if s.ReplyTimeoutMS < 0 || s.ReplyTimeoutMS > maxTimeout {
		fault("hear_ms", s.ReplyTimeoutMS, fmt.Sprintf("0 to %d", maxTimeout))
	}
}

// Live reports whether the settings differ only in what can change while the fleet runs: the file, which is then read again.
func (s Settings) Live(next Settings) bool {
	next.File = s.File
	return s.Equal(next)
}

// Equal reports whether nothing differs. The content of the file is not compared.
func (s Settings) Equal(next Settings) bool {
	return s.On == next.On && s.File == next.File && slices.Equal(s.Reads, next.Reads) && s.Policy == next.Policy && s.MaxBehind == next.MaxBehind &&
		s.ReturnTimeoutMS == next.ReturnTimeoutMS && s.ReplyTimeoutMS == next.ReplyTimeoutMS
}

// ReturnTimeout is for how long an absent member is waited for.
func (s Settings) ReturnTimeout() time.Duration {
	return time.Duration(s.ReturnTimeoutMS) * time.Millisecond
}

// ReplyTimeout is after what time a member without a reply counts as incompatible.
func (s Settings) ReplyTimeout() time.Duration {
	return time.Duration(s.ReplyTimeoutMS) * time.Millisecond
}
