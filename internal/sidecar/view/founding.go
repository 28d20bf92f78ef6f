package view

import (
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// founding is the state of the attempts to found a group. Attempts are made by the first, by name, of the configured voters.
type founding struct {
	era         uint64            // era of the current attempt; 0: there is none
	attempts    uint64            // number of attempts so far; it keeps the eras of attempts distinct
	promises    map[string]uint64 // identities under which the configured voters have promised to join, by name
	due         time.Duration     // time of the next attempt
	promisedEra uint64            // era of the last attempt that this process has promised to join
	afterSurvey bool              // the current attempt follows a survey that proved that no earlier group can decide again
	lastView    View              // last view that the survey found; the rules of that view remain in force
}

// isFounder reports whether this process is responsible for founding a group: it is the first, by name, of the configured
// voters, and no group is known.
func (m *Machine) isFounder() bool {
	return m.awaitsGroup() && slices.Min(m.cfg.Voters) == m.cfg.Name && m.group.Era == 0
}

// proposeGroup requests the promises of all configured voters. All of them must be present and belong to no group: a voter that
// belongs to a group refuses and answers with that group.
func (m *Machine) proposeGroup() {
	m.founding.due = m.now + foundingInterval*m.cfg.Pace/2 + m.jitter(foundingInterval*m.cfg.Pace)
	for _, name := range m.cfg.Voters {
		if r, ok := m.cfg.Member(name); name != m.cfg.Name && (!ok || !r.Present()) {
			return
		}
	}
	m.founding.attempts++
	m.founding.afterSurvey, m.founding.lastView = false, View{}
	m.founding.era = max(m.cfg.Boot+m.founding.attempts, m.view.ID.Era+1)
	m.founding.promisedEra = m.founding.era
	m.founding.promises = map[string]uint64{m.cfg.Name: m.identity}
	for _, name := range m.cfg.Voters {
		m.send(name, Message{Kind: FoundingRequest, Seq: m.founding.era})
	}
	m.foundIfPromised()
}

// answerFoundingRequest promises to join the group of an era, or refuses if this process belongs to a group or knows one.
func (m *Machine) answerFoundingRequest(to string, msg Message) {
	if !m.awaitsGroup() || m.group.Era != 0 || !slices.Contains(m.cfg.Voters, to) {
		group, leader := m.VoterGroup()
		m.send(to, Message{Kind: FoundingReply, Seq: msg.Seq, Group: group, Leader: leader}) // refusal
		return
	}
	m.founding.promisedEra = msg.Seq
	m.send(to, Message{Kind: FoundingReply, Seq: msg.Seq, Voter: m.identity, Have: m.view.ID})
}

// receiveFoundingReply processes the answer to a FoundingRequest.
func (m *Machine) receiveFoundingReply(from string, msg Message) {
	founds := m.isFounder() || m.founding.afterSurvey && m.awaitsGroup()
	if m.founding.era == 0 || msg.Seq != m.founding.era || msg.AfterSurvey != m.founding.afterSurvey ||
		!founds || !slices.Contains(m.cfg.Voters, from) {
		return
	}
	if msg.Voter == 0 { // the sender knows a group, which this process has to join
		m.founding.era = 0
		if msg.Group.Era > 0 && m.group.Era == 0 {
			m.group, m.leader = msg.Group, msg.Leader
		}
		return
	}
	if msg.Have.Era >= m.founding.era { // the sender has a view of this or a later era: the era of the next attempt must be later
		m.founding.attempts += msg.Have.Era - m.founding.era + 1
		m.founding.era = 0
		return
	}
	m.founding.promises[from] = msg.Voter
	m.foundIfPromised()
}

// foundIfPromised founds the group once all configured voters have promised to join.
func (m *Machine) foundIfPromised() {
	if len(m.founding.promises) < len(m.cfg.Voters) {
		return
	}
	g := Group{Era: m.founding.era}
	for _, name := range slices.Sorted(slices.Values(m.cfg.Voters)) {
		g.Voters = append(g.Voters, Voter{name, m.founding.promises[name]})
	}
	m.startGroup(g, View{ID: ID{Era: g.Era}, Rules: m.founding.lastView.Rules})
	for _, v := range g.Voters {
		m.send(v.Name, Message{Kind: FoundingCommit, Group: g})
	}
	m.notice(false, "new group of voters founded, era %x", g.Era)
}

// startGroup starts a group with this process as its first voter. The other voters receive the state from it, as voters that
// join later do.
func (m *Machine) startGroup(g Group, v View) {
	var ids []uint64
	for _, voter := range g.Voters {
		ids = append(ids, voter.ID)
	}
	d := decidedState{Group: g, View: v}
	one := uint64(1)
	snapshot := &raftpb.Snapshot{Data: encode(d), Metadata: &raftpb.SnapshotMetadata{Index: &one, Term: &one, ConfState: &raftpb.ConfState{Voters: ids}}}
	hard := &raftpb.HardState{Term: &one, Commit: &one}
	change := Change{Forget: true, Voter: m.identity, Era: g.Era, HardState: marshal(hard), Snapshot: marshal(snapshot)}
	m.out = append(m.out, Save{change})
	m.guard(func() {
		stored := &StoredState{}
		if err := stored.Apply(change); err != nil {
			panic(err)
		}
		store, d, err := stored.engineStorage()
		if err == nil {
			err = m.startEngine(store, d, g.Era)
		}
		if err != nil {
			panic(err)
		}
		_ = m.voter.node.Campaign() // a voter that may not campaign now does so after its election timeout
		m.processReady()
	})
}

// recoverGroup founds a group of this process alone, from the newest view that it has. The group adds other voters until it is
// complete.
func (m *Machine) recoverGroup() {
	era := max(m.cfg.Boot+m.founding.attempts+1, m.view.ID.Era+1, m.group.Era+1)
	m.founding.attempts++
	v := m.view
	if m.voter != nil {
		era = max(era, m.voter.decided.Group.Era+1)
		if m.voter.decided.View.ID.Compare(v.ID) > 0 {
			v = m.voter.decided.View
		}
	}
	v.ID = ID{Era: era}
	m.voter, m.identity, m.cfg.Stored = nil, 0, nil
	m.ensureIdentity()
	m.notice(true, "RECOVER received from the operator: new group of voters founded, era %x. Leases of the old group expire within %v", era,
		StalenessBound(m.cfg.Lease, m.cfg.Drift))
	m.startGroup(Group{Era: era, Voters: []Voter{{m.cfg.Name, m.identity}}}, v)
}

// joinGroup joins a group, if the group includes this process's identity.
func (m *Machine) joinGroup(g Group) {
	if _, ok := g.voter(m.identity); !ok || !m.awaitsGroup() || g.Era == 0 {
		return
	}
	m.guard(func() {
		if err := m.startEngine(raft.NewMemoryStorage(), decidedState{}, g.Era); err != nil {
			panic(err)
		}
	})
	if m.voter != nil {
		m.out = append(m.out, Save{Change{Forget: true, Voter: m.identity, Era: g.Era}})
	}
}

// awaitsGroup reports whether this process has an identity to vote under and belongs to no group.
func (m *Machine) awaitsGroup() bool { return m.voter == nil && m.identity != 0 }

// isKnownVoter reports whether the named member is a voter as far as this process knows, or is a configured voter.
func (m *Machine) isKnownVoter(name string) bool {
	return m.group.hasVoter(name) || slices.Contains(m.cfg.Voters, name)
}
