// Package settings defines the section rules of the operator's file. It is separate from package versionskew so that a sidecar
// without a fleet does not link the dependencies of the rules.
package settings

import (
	"fmt"
	"slices"
	"time"
)

// Settings are the section rules of the operator's file. Rules are off unless the key on is true.
type Settings struct {
	On        bool     `toml:"on"`           // whether this member reads rules and takes part in their trials
	File      string   `toml:"file"`         // path of the rules file to push; empty: none
	Reads     []string `toml:"reads"`        // formats that this member reads, such as "sampling 1"; empty: all that the program reads
	Policy    string   `toml:"policy"`       // treatment of an edition that some members cannot read: wait for them, or lower its format
	MaxBehind int      `toml:"leave_behind"` // largest number of incompatible members with which an edition is agreed
	ReturnMS  int      `toml:"return_ms"`    // time for which an absent member is waited for, since it may return
	ReplyMS   int      `toml:"hear_ms"`      // time after which a member without a reply counts as incompatible
}

// Defaults returns the default settings.
func Defaults() Settings { return Settings{Policy: "wait", ReturnMS: 30_000, ReplyMS: 10_000} }

const (
	maxReads   = 16
	maxBehind  = 2048
	maxTimeout = 3_600_000
)

// Check calls fault for each key whose value is invalid, with the value read and the allowed ones. fleet says whether the file names
// a fleet.
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
	if s.ReturnMS < 0 || s.ReturnMS > maxTimeout {
		fault("return_ms", s.ReturnMS, fmt.Sprintf("0 to %d", maxTimeout))
	}
	if s.ReplyMS < 0 || s.ReplyMS > maxTimeout {
		fault("hear_ms", s.ReplyMS, fmt.Sprintf("0 to %d", maxTimeout))
	}
}

// Live reports whether the settings differ only in the key that can change while the fleet runs: file.
func (s Settings) Live(next Settings) bool {
	next.File = s.File
	return s.Equal(next)
}

// Equal reports whether all settings are the same. The content of the rules file is not compared.
func (s Settings) Equal(next Settings) bool {
	return s.On == next.On && s.File == next.File && slices.Equal(s.Reads, next.Reads) && s.Policy == next.Policy && s.MaxBehind == next.MaxBehind &&
		s.ReturnMS == next.ReturnMS && s.ReplyMS == next.ReplyMS
}

// ReturnTimeout returns the time for which an absent member is waited for.
func (s Settings) ReturnTimeout() time.Duration { return time.Duration(s.ReturnMS) * time.Millisecond }

// ReplyTimeout returns the time after which a member without a reply counts as incompatible.
func (s Settings) ReplyTimeout() time.Duration { return time.Duration(s.ReplyMS) * time.Millisecond }
