// Package logging makes the loggers of a daemon's parts: structured lines of
// zerolog, whose levels and form can be changed while they are used, and of
// which no call site writes more than so many a second.
package logging

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// The forms of a line.
const (
	JSON    = "json"
	Console = "console" // for a person at a terminal
)

// Components are the names by which a level can be set for a part alone.
var Components = []string{"daemon", "front", "relay", "node", "list", "memory", "fleet"}

// Settings are the section log of the operator's file.
type Settings struct {
	Level           string            `toml:"level"`   // debug, info, warn or error
	Form            string            `toml:"form"`    // json or console
	Repeats         int               `toml:"repeats"` // lines a second that a call site may write; 0: any number
	ComponentLevels map[string]string `toml:"parts"`   // the level of a part, where it is another
}

// Defaults are the settings where the operator says nothing.
func Defaults() Settings { return Settings{Level: "info", Form: JSON, Repeats: 20} }

const maxRepeats = 100_000

var levels = map[string]zerolog.Level{"debug": zerolog.DebugLevel, "info": zerolog.InfoLevel, "warn": zerolog.WarnLevel,
	"error": zerolog.ErrorLevel}

// Check calls fault for each key whose value cannot be used, with what is allowed.
func (s *Settings) Check(fault func(key string, read any, allowed string)) {
	const names = "debug, info, warn or error"
	if _, ok := levels[s.Level]; !ok {
		fault("level", s.Level, names)
	}
	if s.Form != JSON && s.Form != Console {
		fault("form", s.Form, "json or console")
	}
	if s.Repeats < 0 || s.Repeats > maxRepeats {
		fault("repeats", s.Repeats, fmt.Sprintf("0 to %d", maxRepeats))
	}
	for part, level := range s.ComponentLevels {
		if _, ok := levels[level]; !ok {
			fault("parts."+part, level, names)
		}
		known := false
		for _, p := range Components {
			known = known || p == part
		}
		if !known {
			fault("parts."+part, part, "one of "+strings.Join(Components, ", "))
		}
	}
}

// Hub makes loggers and holds what they share. It may be used from any goroutine.
type Hub struct {
	out     *output
	base    zerolog.Logger // writes without a bound
	repeats atomic.Int64

	mu         sync.Mutex
	components map[string]*component
	set        Settings
	sites      map[uintptr]*site // by call site: as many as the program has
}

// New makes a hub that writes to w. The settings must have passed Check.
func New(w io.Writer, name string, s Settings) *Hub {
	h := &Hub{out: &output{raw: w}, components: map[string]*component{}, sites: map[uintptr]*site{}}
	h.base = zerolog.New(h.out).Level(zerolog.DebugLevel).With().Timestamp().Str("sidecar", name).Logger()
	h.Set(s)
	return h
}

// Set changes levels, form and bound for all loggers that the hub has made, from the next line on.
func (h *Hub) Set(s Settings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set = s
	h.repeats.Store(int64(s.Repeats))
	h.out.form(s.Form)
	for name, p := range h.components {
		p.level.Store(int32(s.level(name)))
	}
}

func (s *Settings) level(part string) zerolog.Level {
	if level, ok := levels[s.ComponentLevels[part]]; ok {
		return level
	}
	return levels[s.Level]
}

// Component makes the logger of a part.
func (h *Hub) Component(name string) zerolog.Logger {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.components[name]
	if p == nil {
		p = &component{hub: h}
		p.level.Store(int32(h.set.level(name)))
		h.components[name] = p
	}
	return h.base.With().Str("part", name).Logger().Sample(p)
}

// component decides before a line is made whether it is wanted.
type component struct {
	hub   *Hub
	level atomic.Int32
}

// Sample is called by zerolog for each line.
func (p *component) Sample(level zerolog.Level) bool {
	if level < zerolog.Level(p.level.Load()) {
		return false
	}
	repeats := p.hub.repeats.Load()
	return repeats == 0 || p.hub.site().allow(p.hub, repeats)
}

// site finds the line of the program that logs.
func (h *Hub) site() *site {
	// Over the frames of this package and of zerolog lies the call. Few levels are inlined there.
	var pcs [8]uintptr
	n := runtime.Callers(3, pcs[:])
	frames := runtime.CallersFrames(pcs[:n])
	for {
		f, more := frames.Next()
		if !strings.HasPrefix(f.Function, "github.com/rs/zerolog.") || !more {
			h.mu.Lock()
			defer h.mu.Unlock()
			s := h.sites[f.PC]
			if s == nil {
				at := f.File[strings.LastIndexByte(f.File, '/')+1:]
				s = &site{at: fmt.Sprintf("%s:%d", at, f.Line)}
				h.sites[f.PC] = s
			}
			return s
		}
	}
}

// site counts the lines of a place in the program.
type site struct {
	at         string
	mu         sync.Mutex
	since      time.Time // the second that is counted
	written    int64
	suppressed int64
}

func (s *site) allow(h *Hub, maxLines int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.since) >= time.Second {
		s.since, s.written = now, 0
	}
	if s.written < maxLines {
		s.written++
		return true
	}
	if s.suppressed++; s.suppressed == 1 {
		time.AfterFunc(time.Until(s.since.Add(time.Second)), func() { s.report(h) })
	}
	return false
}

// report says how many lines were left out, once the second is over.
func (s *site) report(h *Hub) {
	s.mu.Lock()
	n := s.suppressed
	s.suppressed = 0
	s.mu.Unlock()
	h.base.Warn().Int64("lines", n).Str("at", s.at).Msg("lines left out")
}

// output writes lines in one form or the other.
type output struct {
	raw    io.Writer
	writer atomic.Pointer[io.Writer]
}

func (o *output) form(form string) {
	w := o.raw
	if form == Console {
		w = zerolog.ConsoleWriter{Out: o.raw, NoColor: true, TimeFormat: time.RFC3339}
	}
	o.writer.Store(&w)
}

func (o *output) Write(line []byte) (int, error) { return (*o.writer.Load()).Write(line) }
