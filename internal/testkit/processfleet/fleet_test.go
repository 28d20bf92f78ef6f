package processfleet

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	_ "fieldrelay/internal/sidecar/daemon" // what the program that is built is made of: a change of it must run the tests again
	_ "fieldrelay/internal/sidecar/fleet"
	"fieldrelay/internal/sidecar/member"
	"fieldrelay/internal/testkit/checker"
	"fieldrelay/internal/testkit/faultline"
)

var binary string

// helperEnv has the test's program start one sidecar, tell its process id and wait to be killed.
const helperEnv = "RIG_HELPER_BINARY"

func TestMain(m *testing.M) {
	if b := os.Getenv(helperEnv); b != "" {
		helper(b)
	}
	dir, err := os.MkdirTemp("", "fieldrelay-rig-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "fieldrelay")
	if out, err := exec.Command("go", "build", "-o", dir+"/", "fieldrelay/cmd/fieldrelay", "fieldrelay/cmd/fieldrelay-fleet").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n", out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func helper(binary string) {
	dir, err := os.MkdirTemp("", "fieldrelay-rig-helper-")
	if err != nil {
		panic(err)
	}
	r, err := New(Options{Binary: binary, Sidecars: 1, Dir: dir})
	if err == nil {
		err = r.Start()
	}
	if err != nil {
		panic(err)
	}
	fmt.Println(dir, r.Sidecars[0].PID())
	select {} // until it is killed
}

// A sidecar ends with the program that started it, also when that one is killed.
func TestNoProcessOutlivesItsRig(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), helperEnv+"="+binary)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var dir string
	var pid int
	if _, err := fmt.Fscan(out, &dir, &pid); err != nil || pid < 2 {
		t.Fatal(pid, err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	require.NoError(t, cmd.Process.Kill())
	_ = cmd.Wait() // killed, it ends with an error
	if _, ok := Until(20*time.Second, func() bool { _, err := os.Stat(fmt.Sprintf("/proc/%d/exe", pid)); return err != nil }); !ok {
		t.Errorf("process %d goes on", pid)
	}
}

const pace = 100 * time.Millisecond

// running starts processes that have found each other.
func running(t *testing.T, opts Options) *Fleet {
	t.Helper()
	opts.Binary, opts.Dir, opts.Seed = binary, t.TempDir(), 1
	opts.Pace = pace
	r, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	})
	if err := r.Start(); err != nil {
		t.Fatal(err)
	}
	if !opts.NoFleet {
		until(t, r, 30*time.Second, "one fleet", r.Agrees)
	}
	return r
}

func until(t *testing.T, r *Fleet, bound time.Duration, what string, cond func() bool) time.Duration {
	t.Helper()
	took, ok := Until(bound, cond)
	if !ok {
		logPeers(t, r)
		t.Fatalf("not within %v: %s; %s; %s", bound, what, r.disagreement(), r.dissent())
	}
	return took
}

// loggedTail is how much of a process's log a failed test shows, in bytes.
const loggedTail = 16 << 10

// logPeers logs what each process that runs says of the fleet, and the end of its log.
func logPeers(t *testing.T, r *Fleet) {
	t.Helper()
	for _, s := range r.Sidecars {
		text := s.Log()
		t.Logf("log of %s: %s", s.Name, text[max(len(text)-loggedTail, 0):])
		if _, runs := s.Running(); !runs {
			t.Logf("%s does not run", s.Name)
			continue
		}
		lines, err := s.Manage("PEERS")
		t.Logf("%s says of the fleet: %v %s", s.Name, err, strings.Join(lines, "; "))
	}
}

// believe tells whether all that run, but for the one, believe it to be in a state.
func believe(r *Fleet, of *Sidecar, state string) func() bool {
	return func() bool {
		for _, s := range r.Sidecars {
			if _, runs := s.Running(); s != of && runs && s.Believes(of.Name) != state {
				return false
			}
		}
		return true
	}
}

// suspected counts the entries of a history from an index on in which a member is suspect or failed.
func suspected(r *Fleet, of *Sidecar, from int) (n int) {
	for _, e := range r.History.Entries()[from:] {
		if e.Kind == checker.Member && e.Peer == of.Name && (e.State == "suspect" || e.State == "failed") {
			n++
		}
	}
	return n
}

// Five processes: one crashes, one stands still, one leaves, one is replaced, and each comes back.
func TestProcessesComeAndGo(t *testing.T) {
	r := running(t, Options{Sidecars: 5})
	bound := member.DetectionTime(5, pace) + 10*time.Second // a busy machine
	victim := r.Sidecars[4]
	require.NoError(t, victim.Kill())
	t.Log("a crash is known after ", until(t, r, bound, "a crash", believe(r, victim, "failed")))
	if err := victim.Start(); err != nil {
		t.Fatal(err)
	}
	until(t, r, bound, "the crashed one is back", r.Agrees)

	stopped := r.Sidecars[1]
	require.NoError(t, stopped.Stop())
	until(t, r, bound, "a stop", believe(r, stopped, "failed"))
	require.NoError(t, stopped.Continue())
	until(t, r, bound, "the stopped one is back", r.Agrees)

	from := len(r.History.Entries())
	leaver := r.Sidecars[0] // by whom the others joined
	if err := leaver.Terminate(); err != nil {
		t.Fatal(err)
	}
	until(t, r, bound, "a planned leaving", believe(r, leaver, "left"))
	if n := suspected(r, leaver, from); n > 0 {
		t.Errorf("a planned leaving was suspected %d times", n)
	}
	require.NoError(t, leaver.Start())
	until(t, r, bound, "the one that left is back", r.Agrees)

	quick := r.Sidecars[2] // started again sooner than anyone could notice
	require.NoError(t, quick.Kill())
	require.NoError(t, quick.Start())
	until(t, r, bound, "one fleet after a fast restart", r.Agrees)
}

// SIGUSR2: the name goes on, and nobody is called failed.
func TestReplacedProcessIsOneMember(t *testing.T) {
	r := running(t, Options{Sidecars: 3, Nodes: 1})
	s := r.Sidecars[1]
	own := filepath.Join(s.dir, "operator.toml")
	text, err := os.ReadFile(own)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(own, []byte(strings.Replace(string(text), "# end", "[replace]\nenabled = true\n# end", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	require.NoError(t, s.Terminate())
	require.NoError(t, s.Start())
	until(t, r, 30*time.Second, "one fleet", r.Agrees)
	from, before := len(r.History.Entries()), s.PID()
	if err := s.Replace(20 * time.Second); err != nil {
		log, _ := os.ReadFile(filepath.Join(s.dir, "log"))
		t.Fatalf("%v\n%s", err, log)
	}
	until(t, r, 30*time.Second, "the new process is in the fleet", func() bool { return s.Believes("s1") == "alive" && r.Agrees() })
	for _, e := range r.History.Entries()[from:] {
		if e.Peer == s.Name && (e.State == "failed" || e.State == "left") {
			t.Errorf("%s: %s %s", e.Sidecar, e.Peer, e.State)
		}
	}
	if s.PID() == before {
		t.Error("it is still the old process")
	}
}

// A does not hear C for a while: B does, so nobody is failed.
func TestOneWayLossFailsNobody(t *testing.T) {
	r := running(t, Options{Sidecars: 3})
	from := len(r.History.Entries())
	for _, pair := range [][2]string{{"s1", "s3"}, {"s3", "s1"}} {
		r.Link(pair[0], pair[1]).Set(faultline.Fault{Drop: true}, faultline.Fault{Drop: true})
	}
	lost := func() int64 { return r.Link("s1", "s3").Hits().Lost + r.Link("s3", "s1").Hits().Lost }
	until(t, r, 60*time.Second, "thirty datagrams lost", func() bool { return lost() >= 30 })
	for _, e := range r.History.Entries()[from:] {
		if e.State == "failed" {
			t.Errorf("%s called %s failed", e.Sidecar, e.Peer)
		}
	}
}

func TestSplitIsSeenAndHeals(t *testing.T) {
	r := running(t, Options{Sidecars: 4})
	cut := func(drop bool) {
		for _, a := range []string{"s1", "s2"} {
			for _, b := range []string{"s3", "s4"} {
				f := faultline.Fault{Drop: drop}
				r.Link(a, b).Set(f, f)
				r.Link(b, a).Set(f, f)
			}
		}
	}
	cut(true)
	until(t, r, 30*time.Second, "each side without the other", func() bool {
		return r.Sidecars[0].Believes("s3") == "failed" && r.Sidecars[1].Believes("s4") == "failed" && r.Sidecars[2].Believes("s1") == "failed" &&
			r.Sidecars[3].Believes("s2") == "failed" && r.Sidecars[0].Believes("s2") == "alive" && r.Sidecars[3].Believes("s3") == "alive"
	})
	cut(false)
	t.Log("whole again after ", until(t, r, 30*time.Second, "one fleet again", r.Agrees))
}

func TestTwoProcessesUnderOneNameOnSockets(t *testing.T) {
	r := running(t, Options{Sidecars: 3, Direct: true})
	twin, err := r.Twin(r.Sidecars[1])
	if err != nil {
		t.Fatal(err)
	}
	if err := twin.Start(); err != nil {
		t.Fatal(err)
	}
	until(t, r, 30*time.Second, "the newcomer yields", func() bool { return twin.Mode() == "yielded" })
	if r.Sidecars[1].Mode() == "yielded" {
		t.Error("the one that was there first lost its name")
	}
}

// All at once, and again.
func TestAllKilledAtOnce(t *testing.T) {
	r := running(t, Options{Sidecars: 4})
	for _, s := range r.Sidecars {
		require.NoError(t, s.Kill())
	}
	if err := r.Start(); err != nil {
		t.Fatal(err)
	}
	until(t, r, 30*time.Second, "one fleet again", r.Agrees)
}

// Without the section there is no fleet: no socket, no thread that waits for one, no figure.
func TestFleetOffOpensNothing(t *testing.T) {
	off := running(t, Options{Sidecars: 1, NoFleet: true})
	on := running(t, Options{Sidecars: 1})
	count := func(s *Sidecar) int {
		res, err := s.Resources()
		if err != nil {
			t.Fatal(err)
		}
		return res.Descriptors
	}
	// Connections of the start come and go: what stays are the datagram socket and the listener.
	if _, ok := Until(20*time.Second, func() bool { return count(on.Sidecars[0]) == count(off.Sidecars[0])+2 }); !ok {
		t.Errorf("%d descriptors without a fleet, %d with one: two more were expected", count(off.Sidecars[0]), count(on.Sidecars[0]))
	}
	if lines, err := on.Sidecars[0].Manage("PEERS"); err != nil || !strings.HasPrefix(lines[1], "s1 self ") {
		t.Error(lines, err)
	}
	if lines, err := off.Sidecars[0].Manage("PEERS"); err != nil || lines[0] != "fail fleet off" {
		t.Error(lines, err)
	}
	if lines, _ := off.Sidecars[0].Manage("METRICS"); strings.Contains(strings.Join(lines, " "), "fleet") {
		t.Error(lines)
	}
}

func TestPlansAreDrawnFromTheSeedAlone(t *testing.T) {
	texts := map[string]bool{}
	for seed := range uint64(50) {
		p := Draw(seed, 5, 6, 30_000, 40)
		a, err := p.Text()
		if err != nil {
			t.Fatal(err)
		}
		b, _ := Draw(seed, 5, 6, 30_000, 40).Text()
		if !bytes.Equal(a, b) || texts[string(a)] {
			t.Errorf("seed %d: not the same plan twice, or that of another seed", seed)
		}
		texts[string(a)] = true
		path := filepath.Join(t.TempDir(), "plan.toml")
		require.NoError(t, os.WriteFile(path, a, 0o600))
		if read, err := ReadPlan(path); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		} else if c, _ := read.Text(); !bytes.Equal(a, c) {
			t.Errorf("seed %d: read back as another plan", seed)
		}
	}
	bad := Plan{Sidecars: 2, For: 1000, Steps: []Step{{At: 900, For: 200, Do: "kill", Who: []string{"s3"}}, {Do: "link"}, {Do: "sing"}}}
	if err := bad.Check(); err == nil || strings.Count(err.Error(), "\n") < 4 {
		t.Errorf("its faults: %v", err)
	}
}

// A plan of faults while clients ask: every request has its answer, and the faults struck some of them.
func TestChaosLeavesNobodyUnanswered(t *testing.T) {
	dir := t.TempDir()
	plan := Plan{Seed: 3, Sidecars: 3, Nodes: 3, For: 4000, Rate: 60, Steps: []Step{
		{At: 500, Do: "link", From: []string{"*"}, To: []string{"*"}, For: 3000, Link: Way{Loss: 0.1, Jitter: 50, Duplicate: 0.1, Reorder: 0.1}},
		{At: 800, Do: "stop", Who: []string{"s2"}, For: 1000},
		{At: 1000, Do: "kill", Who: []string{"s3"}, For: 1000},
		{At: 2500, Do: "reset", From: []string{"client"}, To: []string{"s1"}},
		{At: 2600, Do: "link", From: []string{"s1"}, To: []string{"nodes"}, For: 500, Link: Way{Refuse: true}},
	}}
	r, err := New(Options{Binary: binary, Sidecars: 3, Nodes: 3, Seed: 3, Work: 30 * time.Millisecond, Dir: dir, Pace: pace, Keep: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { require.NoError(t, r.Close()) }()
	var trace bytes.Buffer
	if err := r.Play(context.Background(), plan, &trace); err != nil {
		t.Fatal(err)
	}
	v := checker.Check(r.History.Entries(), Classes, r.Bound())
	t.Logf("%+v", v)
	if len(v.Rules) > 0 || v.Unanswered > 0 || v.Requests < 100 || v.Hit == 0 || r.Hits().Lost == 0 {
		t.Errorf("%v, hits %+v", v, r.Hits())
	}
	if n := strings.Count(trace.String(), "\n"); n != 9 {
		t.Errorf("%d lines of trace, 9 expected", n)
	}
}

// The section changes at SIGHUP: a member leaves and joins again by the new one, or leaves for good.
func TestSectionChangesAtSIGHUP(t *testing.T) {
	r := running(t, Options{Sidecars: 3})
	until(t, r, 60*time.Second, "one view", r.Agreed)
	s := r.Sidecars[2]
	own := filepath.Join(s.dir, "operator.toml")
	text, err := os.ReadFile(own)
	if err != nil {
		t.Fatal(err)
	}
	write := func(text string) {
		if err := os.WriteFile(own, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		require.NoError(t, s.Hangup())
	}
	from := len(r.History.Entries())
	write(strings.Replace(string(text), "pace_ms = 100", "pace_ms = 120", 1))
	until(t, r, 60*time.Second, "it left", func() bool {
		for _, e := range r.History.Entries()[from:] {
			if e.Peer == s.Name && e.State == "left" {
				return true
			}
		}
		return false
	})
	until(t, r, 60*time.Second, "it is back", func() bool { return believe(r, s, "alive")() })
	write("version = 1\n# end\n")
	until(t, r, 60*time.Second, "it left for good", func() bool {
		lines, err := s.Manage("PEERS")
		return err == nil && lines[0] == "fail fleet off" && believe(r, s, "left")()
	})
	write(strings.Replace(string(text), "lease_ms", "lease", 1)) // a fault changes nothing
	until(t, r, 60*time.Second, "the fault is told", func() bool { return strings.Contains(s.Log(), "fleet.lease: unknown key") })
	write(string(text))
	until(t, r, 60*time.Second, "it is back again", func() bool { return believe(r, s, "alive")() })
}

// Named at a sidecar that runs without one, a fleet is joined by the process that replaces it.
func TestFleetNamedLater(t *testing.T) {
	r := running(t, Options{Sidecars: 1, Nodes: 1, NoFleet: true, Tail: "[replace]\nenabled = true\n"})
	s := r.Sidecars[0]
	text := fmt.Sprintf("version = 1\n[replace]\nenabled = true\n[fleet]\nfleet = \"late\"\nlisten = %q\nvoters = [\"s1\"]\n# end\n", s.Peer)
	if err := os.WriteFile(filepath.Join(s.dir, "operator.toml"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	require.NoError(t, s.Hangup())
	until(t, r, 30*time.Second, "it says that it will be joined", func() bool { return strings.Contains(s.Log(), "joined at the next start or replacement") })
	if lines, err := s.Manage("PEERS"); err != nil || lines[0] != "fail fleet off" {
		t.Error(lines, err)
	}
	if err := s.Replace(20 * time.Second); err != nil {
		t.Fatal(err)
	}
	until(t, r, 30*time.Second, "a view of one", func() bool { id, members := s.View(); return id != "" && members == 1 && s.Mode() == "together" })
}
