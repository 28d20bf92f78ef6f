package skew

import (
	"slices"
	"time"

	"fieldrelay/internal/rules"
)

// push sends this member's edition to the leader until that has told that it is settled.
func (m *Machine) sendDraft() {
	if m.pushed == nil {
		return
	}
	switch a := m.agreed(); {
	case a.Digest == m.pushedDigest:
		m.pushed = nil
		return
	case m.draftDue > m.now:
		return
	}
	m.draftDue = m.now + draftInterval*m.cfg.Pace/2 + time.Duration(m.rng.Int64N(int64(draftInterval*m.cfg.Pace/2)))
	m.send(m.cfg.Leader(), Message{Kind: Draft, Edition: m.pushed})
}

// drafted takes in an edition that somebody pushes, where this member leads, and tells how far it has come.
func (m *Machine) receiveDraft(from string, e rules.Edition) {
	if !m.isLeader {
		return
	}
	d := editionDigest(e)
	status := Message{Kind: Status, Digest: d}
	switch o := m.offer; {
	case m.lastAgreed.Digest == d:
		status.Phase, status.Number = InForce, m.lastAgreed.Number
	case o != nil && (o.digest == d || o.loweredFrom == d):
		status.Phase, status.Number, status.Reasons = o.phase, o.edition.Number, o.reasons
	case m.rejections[d] != "":
		status.Phase, status.Reasons = Rejected, []string{m.rejections[d]}
		delete(m.rejections, d) // pushed again later, it is tried again
	default:
		if !slices.ContainsFunc(m.drafts, func(q rules.Edition) bool { return editionDigest(q) == d }) && len(m.drafts) < maxDrafts {
			m.drafts = append(m.drafts, e)
		}
	}
	m.send(from, status)
}
