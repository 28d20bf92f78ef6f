// Package logging creates the loggers of a daemon's components. They write
// structured lines by zerolog; levels and format can be changed at run time, and
// the number of lines per second is limited for each call site.
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

// The formats of a line.
const (
	JSON    = "json"
	Console = "console" // for a person at a terminal
)

// Components are the names of the components whose level can be set separately.
var Components = []string{"daemon", "front", "relay", "node", "list", "memory", "fleet"}

// Settings is the section log of the operator's file.
type Settings struct {
	Level           string            `toml:"level"`   // debug, info, warn or error
	Form            string            `toml:"form"`    // json or console
	Repeats         int               `toml:"repeats"` // maximum number of lines per second and call site; 0: unlimited
	ComponentLevels map[string]string `toml:"parts"`   // levels of components that differ from Level, by component
}

// Defaults returns the settings that apply where the operator's file sets none.
func Defaults() Settings { return Settings{Level: "info", Form: JSON, Repeats: 20} }

const maxRepeats = 100_000

var levels = map[string]zerolog.Level{"debug": zerolog.DebugLevel, "info": zerolog.InfoLevel, "warn": zerolog.WarnLevel,
	"error": zerolog.ErrorLevel}

// Check calls fault for each key whose value cannot be used, with the allowed values.
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

// Hub creates loggers and holds their shared state. It may be used from any goroutine.
type Hub struct {
	out     *output
	base    zerolog.Logger // logger without a limit of lines
	repeats atomic.Int64

	mu         sync.Mutex
	components map[string]*component
	set        Settings
	sites      map[uintptr]*site // by program counter of the call site; bounded by the call sites of the program
}

// New returns a hub that writes to w. The settings must have passed Check.
func New(w io.Writer, name string, s Settings) *Hub {
	h := &Hub{out: &output{raw: w}, components: map[string]*component{}, sites: map[uintptr]*site{}}
	h.base = zerolog.New(h.out).Level(zerolog.DebugLevel).With().Timestamp().Str("sidecar", name).Logger()
	h.Set(s)
	return h
}

// Set changes the levels, the format and the limit of lines for all loggers of the hub, from the next line on.
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

// Component returns a logger for a component.
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

// component decides, before a line is formatted, whether it is logged. It is a zerolog.Sampler.
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

// site returns the call site of the log line that is being written.
func (h *Hub) site() *site {
	// The call site is the first frame outside this package and zerolog. Few frames there are inlined, so 8 are enough.
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

// site limits the lines of one call site.
type site struct {
	at         string
	mu         sync.Mutex
	since      time.Time // start of the second whose lines are counted
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

// report logs the number of suppressed lines at the end of the second.
func (s *site) report(h *Hub) {
	s.mu.Lock()
	n := s.suppressed
	s.suppressed = 0
	s.mu.Unlock()
	h.base.Warn().Int64("lines", n).Str("at", s.at).Msg("lines left out")
}

// output writes lines in the format that is set.
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
