package fleetsim

import (
	"testing"
	"time"
)

// TestAVoterIsNotReplacedByAnEarlierProcessOfItsName has a voter lose its state twice, and then the leader crash. The next
// leader still remembers that the first of these processes offered to vote, and must not take it in for the second one: it is
// gone, and the vote that lives would be lost with the leader's.
func TestAVoterIsNotReplacedByAnEarlierProcessOfItsName(t *testing.T) {
	for seed := range uint64(20) {
		w := New(Options{Members: 5, Delay: time.Millisecond, Jitter: time.Millisecond, Drift: 0.001, Seed: seed})
		k := w.Watch()
		w.StartAll(time.Second)
		w.Run(time.Second, nil)
		agree(t, w, 30*time.Second)
		leader, other := leadingVoter(t, w), followingVoter(t, w)
		for range 2 {
			other.Kill()
			agree(t, w, 30*time.Second)
			other.Start()
			if !w.Run(w.Now()+30*time.Second, func() bool { return other.Core.Views().IsEffectiveVoter() }) {
				t.Fatalf("seed %d: the vote of %s does not count", seed, other.Name)
			}
			agree(t, w, 30*time.Second)
		}
		leader.Kill()
		t.Logf("seed %d: without the leader after %v", seed, agree(t, w, 30*time.Second))
		clean(t, k)
	}
}

// leadingVoter is the node that leads the voters.
func leadingVoter(t *testing.T, w *World) *Node {
	t.Helper()
	for _, n := range w.Nodes() {
		if _, leader := n.Core.Views().VoterGroup(); leader == n.Name {
			return n
		}
	}
	t.Fatal("nobody leads")
	return nil
}

// followingVoter is the first voter that does not lead.
func followingVoter(t *testing.T, w *World) *Node {
	t.Helper()
	for _, n := range w.Nodes() {
		if _, leader := n.Core.Views().VoterGroup(); n.Core.Views().IsVoter() && leader != n.Name {
			return n
		}
	}
	t.Fatal("nobody follows")
	return nil
}
