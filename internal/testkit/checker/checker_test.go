package checker

import (
	"strings"
	"testing"
	"time"
)

var classes = []Class{{Name: "look"}, {Name: "pay", Window: time.Second}, {Name: "order", Single: true}}

const second = time.Second

func TestJudge(t *testing.T) {
	ask := func(id, class string) Entry { return Entry{Kind: Ask, ID: id, Class: class, Sidecar: "s1"} }
	over := func(id string, status int) Entry { return Entry{Kind: Over, ID: id, Status: status} }
	view := func(at time.Duration, sidecar, id, sum, state string) Entry {
		return Entry{At: at, Kind: View, Sidecar: sidecar, ID: id, Key: sum, State: state}
	}
	mode := func(at time.Duration, sidecar, state string) Entry {
		return Entry{At: at, Kind: Mode, Sidecar: sidecar, State: state}
	}
	for name, c := range map[string]struct {
		entries                  []Entry
		rules, unanswered, twice int
		contains                 string
	}{
		"a request that is served":       {entries: []Entry{ask("1", "look"), {Kind: Ran, ID: "1", Class: "look"}, over("1", 200)}},
		"one that never ends":            {entries: []Entry{ask("1", "look")}, unanswered: 1},
		"one without an answer":          {entries: []Entry{ask("1", "look"), over("1", 0)}, unanswered: 1},
		"two final answers":              {entries: []Entry{ask("1", "look"), over("1", 200), over("1", 200)}, rules: 1, contains: "2 final answers"},
		"a safe one may run again":       {entries: []Entry{ask("1", "look"), {Kind: Ran, ID: "1", Class: "look"}, {Kind: Ran, ID: "1", Class: "look"}, over("1", 200)}},
		"a single-shot one may not":      {entries: []Entry{ask("1", "order"), {Kind: Ran, ID: "1", Class: "order"}, {Kind: Ran, ID: "1", Class: "order"}, over("1", 200)}, twice: 1},
		"a keyed one whose repeat works": {entries: []Entry{ask("1", "pay"), {Kind: Ran, ID: "1", Class: "pay", Key: "k"}, {Kind: Ran, ID: "1", Class: "pay", Key: "k"}, over("1", 200)}, twice: 1},
		"a recognised duplicate":         {entries: []Entry{ask("1", "pay"), {Kind: Ran, ID: "1", Class: "pay", Key: "k"}, {Kind: Duplicate, ID: "1", Class: "pay", Key: "k"}, over("1", 200)}},
		"a process that crashed":         {entries: []Entry{{Kind: Ended, Sidecar: "s1", Err: "panic"}}, rules: 1, contains: "exited unexpectedly"},
		"a fleet that does not converge": {entries: []Entry{{Kind: Convergence, Err: "s1 alone"}}, rules: 1, contains: "did not converge"},
		"two views of one number":        {entries: []Entry{view(1, "s1", "1.1", "x", "decided"), view(2, "s2", "1.1", "y", "decided")}, rules: 1, contains: "content differs"},
		"a view used past the bound": {entries: []Entry{view(1, "s1", "1.1", "x", "decided"), view(2, "s2", "1.1", "x", "adopted"), mode(3, "s2", "together"),
			view(4, "s1", "1.2", "y", "decided"), mode(8*second, "s1", "together")}, rules: 1, contains: "s2 still uses view 1.1"},
		"a view abandoned in time": {entries: []Entry{view(1, "s1", "1.1", "x", "decided"), view(2, "s2", "1.1", "x", "adopted"), mode(3, "s2", "together"),
			view(4, "s1", "1.2", "y", "decided"), mode(2*second, "s2", "cut off"), mode(8*second, "s1", "together")}},
		"a stopped process uses no view": {entries: []Entry{view(1, "s1", "1.1", "x", "decided"), view(2, "s2", "1.1", "x", "adopted"), mode(3, "s2", "together"),
			{At: 3, Kind: Strike, Sidecar: "s2", State: "stop"}, view(4, "s1", "1.2", "y", "decided"), mode(8*second, "s1", "together"),
			{At: 9 * second, Kind: Strike, Sidecar: "s2", State: "stop ends"}, mode(9*second+1, "s2", "cut off")}},
	} {
		t.Run(name, func(t *testing.T) {
			v := Check(c.entries, classes, 2*second)
			if len(v.Rules) != c.rules || v.Unanswered != c.unanswered || v.RanTwice != c.twice || !strings.Contains(strings.Join(v.Rules, "\n"), c.contains) {
				t.Errorf("%v: %q", v, v.Rules)
			}
			if v.Passed() != (c.rules+c.unanswered+c.twice == 0) {
				t.Error("passed: ", v.Passed())
			}
		})
	}
}

func TestHistoryIsReadAsWritten(t *testing.T) {
	h := NewHistory()
	h.Add(Entry{Kind: Ask, ID: "1", Class: "pay", Key: "k"})
	h.Add(Entry{Kind: Over, ID: "1", Status: 200})
	var b strings.Builder
	if err := h.Write(&b); err != nil {
		t.Fatal(err)
	}
	read, err := Read(strings.NewReader(b.String()))
	if err != nil || len(read) != 2 || read[0] != h.Entries()[0] || read[1] != h.Entries()[1] {
		t.Errorf("%v, %v", read, err)
	}
	if _, err := Read(strings.NewReader("{")); err == nil {
		t.Error("a history that is cut short was read")
	}
}

func TestMost(t *testing.T) {
	var all []Entry
	for _, at := range []time.Duration{0, 50, 99, 100, 101, 300} {
		all = append(all, Entry{Kind: Ran, Class: "x", At: at}, Entry{Kind: Ran, Class: "y", At: at}, Entry{Kind: Ask, Class: "x", At: at})
	}
	for window, want := range map[time.Duration]int{1: 1, 3: 3, 100: 4, 1000: 6} {
		if got := Most(all, Ran, "x", window); got != want {
			t.Errorf("%v: %d, want %d", window, got, want)
		}
	}
}
