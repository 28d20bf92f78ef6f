package fleet

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/fleet/settings"
)

// until waits up to 20 s for a condition, and fails the test if it does not become true.
func until(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not reached within 20 s: ", what)
		}
	}
}

func start(t *testing.T, name string, join ...string) *Fleet {
	t.Helper()
	s := settings.Defaults()
	s.Fleet, s.Listen, s.Join, s.Pace, s.Lease, s.Voters = "test", "127.0.0.1:0", join, 50, 1000, []string{"a"}
	f, err := Start(Options{Settings: s, Name: name}, zerolog.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Abandon)
	return f
}

// shows reports whether a member lists another one in a state.
func shows(f *Fleet, name, state string) bool {
	lines, err := f.Peers()
	if err != nil {
		return false
	}
	for _, l := range lines {
		if strings.HasPrefix(l, name+" "+state+" ") {
			return true
		}
	}
	return false
}

func TestMembersJoinLeaveAndFail(t *testing.T) {
	a := start(t, "a")
	b := start(t, "b", a.Addr())
	c := start(t, "c", b.Addr())
	until(t, "all members list each other as alive", func() bool {
		return shows(a, "b", "alive") && shows(a, "c", "alive") && shows(b, "c", "alive") && shows(c, "a", "alive") && a.Mode() == Together
	})
	b.Close()
	until(t, "b is listed as left after Close", func() bool { return shows(a, "b", "left") && shows(c, "b", "left") })
	c.Abandon() // other members see no leave, as after a crash
	until(t, "c is listed as failed after a crash", func() bool { return shows(a, "c", "failed") })
	if _, err := c.Peers(); err == nil {
		t.Error("Peers of a closed fleet returned no error")
	}
	d := start(t, "c", a.Addr()) // a new process under the name
	until(t, "a new process under the name c is listed as alive", func() bool { return shows(a, "c", "alive") && shows(d, "a", "alive") })
	if figures := strings.Join(a.Figures("lb"), "\n"); !strings.Contains(figures, "lb.fleet.mode:1|g") {
		t.Error(figures)
	}
}

// A member of another fleet is refused, its refusal is logged once, and neither of the two lists the other.
func TestAnotherFleetIsRefused(t *testing.T) {
	lines := make(chan string, 256)
	s := settings.Defaults()
	s.Fleet, s.Listen, s.Pace, s.Voters = "other", "127.0.0.1:0", 50, []string{"x"}
	f, err := Start(Options{Settings: s, Name: "x"}, zerolog.New(writer(lines)))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Abandon()
	a := start(t, "a", f.Addr())
	refusals := 0
	until(t, "several refusals", func() bool { return f.refusedFrames.Load() >= 3 })
	f.Abandon()
	close(lines)
	for l := range lines {
		if strings.Contains(l, "peer refused") {
			refusals++
		}
	}
	if refusals != 1 || a.core.Members().Present() != 1 {
		t.Errorf("%d log lines about refused peers instead of 1, or a lists another member; mode %v", refusals, a.Mode())
	}
}

type writer chan string

func (w writer) Write(line []byte) (int, error) {
	w <- string(line)
	return len(line), nil
}

// The name of a zone that is too long for a member record is truncated, and the member joins nevertheless.
func TestLongZone(t *testing.T) {
	a := start(t, "a")
	s := settings.Defaults()
	s.Fleet, s.Listen, s.Join, s.Pace, s.Lease, s.Voters, s.Verdicts = "test", "127.0.0.1:0", []string{a.Addr()}, 50, 1000, []string{"a"}, true
	b, err := Start(Options{Settings: s, Name: "b", Zone: strings.Repeat("z", 100), Avoid: func([]string) {}}, zerolog.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Abandon)
	until(t, "both see each other", func() bool { return shows(a, "b", "alive") && shows(b, "a", "alive") })
}
