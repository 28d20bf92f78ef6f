package view

import (
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

// A restarted voter first receives the group with its earlier identity, then the change that adds it, by joint consensus with the
// old group. Its vote is effective only after that change: before, the loss of another voter could lose the majority.
func TestAVoteCountsOnceTheOldGroupIsLeft(t *testing.T) {
	const own, earlier, other = 11, 7, 3
	for name, c := range map[string]struct {
		conf   *raftpb.ConfState
		counts bool
	}{
		"the earlier identity votes":         {&raftpb.ConfState{Voters: []uint64{earlier, other}}, false},
		"joint consensus with the old group": {&raftpb.ConfState{Voters: []uint64{own, other}, VotersOutgoing: []uint64{earlier, other}}, false},
		"joint consensus is complete":        {&raftpb.ConfState{Voters: []uint64{own, other}}, true},
		"nothing is known yet":               {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			m := &Machine{voter: &voter{id: own, confState: c.conf}}
			if counts := m.IsEffectiveVoter(); counts != c.counts {
				t.Errorf("IsEffectiveVoter: got %v", counts)
			}
		})
	}
	if (&Machine{}).IsEffectiveVoter() {
		t.Error("IsEffectiveVoter: got true for a process that is not a voter")
	}
}
