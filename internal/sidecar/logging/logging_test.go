package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// lines is a log that can be read while it is written.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lines) take() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.buf.Reset()
	return l.buf.String()
}

// Changes of levels, format and limit take effect at loggers that were created before.
func TestSetReachesLoggersInUse(t *testing.T) {
	out := &lines{}
	s := Defaults()
	h := New(out, "n1", s)
	relay, list := h.Component("relay"), h.Component("list")
	say := func() string {
		relay.Debug().Msg("fine")
		relay.Info().Msg("coarse")
		list.Info().Msg("listed")
		got := out.take()
		var seen []string
		for _, word := range []string{"fine", "coarse", "listed", `{"level"`} {
			if strings.Contains(got, word) {
				seen = append(seen, word)
			}
		}
		return strings.Join(seen, " ")
	}
	got := []string{say()}
	s.ComponentLevels = map[string]string{"relay": "debug", "list": "error"}
	h.Set(s)
	got = append(got, say())
	s.ComponentLevels, s.Level = nil, "error"
	h.Set(s)
	got = append(got, say())
	s.Level, s.Form = "info", Console
	h.Set(s)
	got = append(got, say())
	want := []string{`coarse listed {"level"`, `fine coarse {"level"`, "", "coarse listed"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// A call site that reaches its limit of lines per second reports afterwards how many lines were suppressed; other call sites
// are not affected.
func TestRepeatsAreBoundAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &lines{}
		s := Defaults()
		s.Repeats = 3
		log := New(out, "n1", s).Component("node")
		for i := range 100 {
			log.Warn().Int("i", i).Msg("trouble")
		}
		log.Warn().Msg("other")
		first := out.take()
		time.Sleep(1100 * time.Millisecond)
		later := out.take()
		log.Warn().Msg("other")
		got := []any{strings.Count(first, "trouble"), strings.Count(first, "other"), strings.Count(later, `"lines":97`),
			strings.Contains(later, "logging_test.go:"), strings.Count(out.take(), "other")}
		if diff := cmp.Diff([]any{3, 1, 1, true, 1}, got); diff != "" {
			t.Error(diff)
		}
	})
}

func TestCheckNamesEachFault(t *testing.T) {
	var got []string
	s := Settings{Level: "loud", Form: "xml", Repeats: -1, ComponentLevels: map[string]string{"relay": "odd", "engine": "info"}}
	s.Check(func(key string, read any, allowed string) { got = append(got, fmt.Sprintf("%s=%v", key, read)) })
	if len(got) != 5 || got[0] != "level=loud" || got[1] != "form=xml" || got[2] != "repeats=-1" {
		t.Error(got)
	}
	d := Defaults()
	d.Check(func(key string, read any, allowed string) {
		t.Errorf("the default of %s, %v, is not allowed", key, read)
	})
}

func BenchmarkLeftOut(b *testing.B) {
	h := New(&lines{}, "n1", Defaults())
	for name, level := range map[string]string{"by level": "error", "by repeats": "info"} {
		b.Run(name, func(b *testing.B) {
			s := Defaults()
			s.Level = level
			h.Set(s)
			log := h.Component("relay")
			b.ReportAllocs()
			for b.Loop() {
				log.Info().Int("i", 1).Msg("line")
			}
		})
	}
}
