package processfleet

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/testkit/checker"
	"fieldrelay/internal/testkit/faultline"
)

// judged fails the test if the history breaks a rule.
func judged(t *testing.T, r *Fleet) {
	t.Helper()
	for _, rule := range checker.Check(r.History.Entries(), Classes, r.Bound()).Rules {
		t.Error(rule)
	}
}

// Five processes go by one view; the leader's crash, a voter's return without its state and a restart of all leave
// them with one again.
func TestProcessesAgree(t *testing.T) {
	r := running(t, Options{Sidecars: 5})
	t.Log("first view after ", until(t, r, 60*time.Second, "one view of all", r.Agreed))
	voter := r.Sidecar(leader(t, r))
	if voter == nil {
		t.Fatal("nobody leads")
	}
	require.NoError(t, voter.Kill())
	t.Log("without its leader after ", until(t, r, 60*time.Second, "a view without the leader", r.Agreed))
	require.NoError(t, voter.Start())
	t.Log("and with it after ", until(t, r, 60*time.Second, "a view with it", r.Agreed))
	// Without its state it votes under a new identity; until it does, no other voter may be lost.
	for i, s := range r.Sidecars[:3] {
		before := r.Sidecars[(i+2)%3]
		if i == 0 {
			before = voter
		}
		until(t, r, 60*time.Second, "the last one votes again", func() bool { return votes(before) })
		require.NoError(t, s.Kill())
		until(t, r, 60*time.Second, "a view without "+s.Name, r.Agreed)
		require.NoError(t, s.Start())
		until(t, r, 60*time.Second, "a view with it", r.Agreed)
	}
	judged(t, r)
}

// votes tells whether a member says of itself that it votes.
func votes(s *Sidecar) bool {
	lines, err := s.Manage("PEERS")
	return err == nil && len(lines) > 1 && (strings.HasSuffix(lines[1], " votes") || strings.HasSuffix(lines[1], " leads"))
}

func leader(t *testing.T, r *Fleet) (name string) {
	until(t, r, 30*time.Second, "a leader", func() bool {
		for _, s := range r.Sidecars {
			if _, runs := s.Running(); !runs {
				continue
			}
			lines, err := s.Manage("PEERS")
			if err != nil {
				continue
			}
			for _, l := range lines {
				if strings.HasSuffix(l, " leads") {
					name, _, _ = strings.Cut(l, " ")
				}
			}
		}
		return name != ""
	})
	return name
}

// All are killed at once. With their state they go on counting; without it they found a new group.
func TestAllKilledAtOnceAgreeAgain(t *testing.T) {
	for name, keep := range map[string]bool{"state kept": true, "state lost": false} {
		t.Run(name, func(t *testing.T) {
			r := running(t, Options{Sidecars: 3, Keep: keep})
			until(t, r, 60*time.Second, "one view", r.Agreed)
			before, _ := r.Sidecars[0].View()
			for _, s := range r.Sidecars {
				require.NoError(t, s.Kill())
			}
			if err := r.Start(); err != nil {
				t.Fatal(err)
			}
			until(t, r, 60*time.Second, "one view again", r.Agreed)
			after, _ := r.Sidecars[0].View()
			era := func(id string) string { e, _, _ := strings.Cut(id, "."); return e }
			if (era(before) == era(after)) != keep || before == after {
				t.Errorf("view %s before, %s after", before, after)
			}
			judged(t, r)
		})
	}
}

// A majority of the voters is lost for good: the rest says so loudly, serves on, and begins anew by the operator's word.
func TestMajorityLostAndRecovered(t *testing.T) {
	r := running(t, Options{Sidecars: 4, Nodes: 1})
	until(t, r, 60*time.Second, "one view", r.Agreed)
	require.NoError(t, r.Sidecars[0].Kill())
	require.NoError(t, r.Sidecars[1].Kill())
	until(t, r, 60*time.Second, "cut off", func() bool { return r.Sidecars[2].Mode() == "cut off" && r.Sidecars[3].Mode() == "cut off" })
	until(t, r, 60*time.Second, "a loud line", func() bool {
		return strings.Contains(r.Sidecars[2].Log(), "no majority of the voters is heard") && strings.Contains(r.Sidecars[3].Log(), "no majority of the voters is heard")
	})
	if lines, err := r.Sidecars[2].Manage("STATUS"); err != nil || lines[0] != "ok ready" {
		t.Error("it does not serve: ", lines, err)
	}
	if lines, err := r.Sidecars[2].Manage("RECOVER"); err != nil || lines[0] != "ok recovered" {
		t.Fatal(lines, err)
	}
	until(t, r, 60*time.Second, "a view of the two that are left", r.Agreed)
	require.NoError(t, r.Sidecars[0].Start())
	require.NoError(t, r.Sidecars[1].Start())
	until(t, r, 60*time.Second, "a view of all", r.Agreed)
	judged(t, r)
}

// Stopped for half a lease a member stays in; for one and for three it finds out, once it goes on, before anything else.
func TestStoppedPastItsLease(t *testing.T) {
	r := running(t, Options{Sidecars: 4})
	until(t, r, 60*time.Second, "one view", r.Agreed)
	s := r.Sidecars[3]
	for _, leases := range []float64{0.5, 1.1, 3} {
		length := time.Duration(leases * float64(r.opts.Lease))
		require.NoError(t, s.Stop())
		from := time.Now()
		until(t, r, 60*time.Second, "it stood still long enough", func() bool { return time.Since(from) > length })
		logged := len(s.Log())
		require.NoError(t, s.Continue())
		if leases > 1 { // what it says first, of all that it does as a member, is that it holds nothing
			until(t, r, 60*time.Second, "it knows", func() bool { return strings.Contains(s.Log()[logged:], `"mode":"cut off"`) })
			said := s.Log()[logged:]
			if first := strings.Index(said, `"view adopted"`); first >= 0 && first < strings.Index(said, `"mode":"cut off"`) {
				t.Errorf("after %.1f leases it went by another view before it knew", leases)
			}
		}
		until(t, r, 60*time.Second, "a view of all", r.Agreed)
	}
	judged(t, r)
}

// Split 3 and 2 with the voters on the greater side: that one goes on, the other is cut off and serves.
func TestSplitProcesses(t *testing.T) {
	r := running(t, Options{Sidecars: 5, Nodes: 1})
	until(t, r, 60*time.Second, "one view", r.Agreed)
	cut := func(drop bool) {
		for i, a := range r.Sidecars {
			for j, b := range r.Sidecars {
				if (i < 3) != (j < 3) {
					f := faultline.Fault{Drop: drop}
					r.Link(a.Name, b.Name).Set(f, f)
				}
			}
		}
	}
	cut(true)
	until(t, r, 60*time.Second, "a view of three, the others cut off", func() bool {
		_, members := r.Sidecars[0].View()
		return members == 3 && r.Sidecars[0].Mode() == "together" && r.Sidecars[3].Mode() == "cut off" && r.Sidecars[4].Mode() == "cut off"
	})
	if lines, err := r.Sidecars[4].Manage("STATUS"); err != nil || lines[0] != "ok ready" {
		t.Error("cut off it does not serve: ", lines, err)
	}
	cut(false)
	t.Log("one view again after ", until(t, r, 60*time.Second, "one view again", r.Agreed))
	judged(t, r)
}
