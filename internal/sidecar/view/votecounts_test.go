package view

import (
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

// A restarted voter first receives the group with its earlier identity, then the change that takes it in, by joint consensus
// with the old group. Only after that may another voter be lost.
func TestAVoteCountsOnceTheOldGroupIsLeft(t *testing.T) {
	const own, earlier, other = 11, 7, 3
	for name, c := range map[string]struct {
		conf   *raftpb.ConfState
		counts bool
	}{
		"the earlier one votes":   {&raftpb.ConfState{Voters: []uint64{earlier, other}}, false},
		"both groups are asked":   {&raftpb.ConfState{Voters: []uint64{own, other}, VotersOutgoing: []uint64{earlier, other}}, false},
		"the old group is left":   {&raftpb.ConfState{Voters: []uint64{own, other}}, true},
		"nothing is known so far": {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			m := &Machine{voter: &voter{id: own, confState: c.conf}}
			if counts := m.IsEffectiveVoter(); counts != c.counts {
				t.Errorf("counts: %v", counts)
			}
		})
	}
	if (&Machine{}).IsEffectiveVoter() {
		t.Error("one that does not vote counts")
	}
}
