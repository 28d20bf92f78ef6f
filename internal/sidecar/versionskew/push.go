package versionskew

import (
	"slices"
	"time"

	"fieldrelay/internal/sidecar/rules"
)

// sendDraft sends the edition that is pushed at this member to the leader, and repeats that until the edition is in force or
// rejected.
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

// receiveStatus handles the phase of the edition that is pushed at this member.
func (m *Machine) receiveStatus(msg Message) {
	if m.pushed == nil || msg.Digest != m.pushedDigest || msg.Phase == m.pushedPhase {
		return
	}
	m.pushedPhase = msg.Phase
	m.log(msg.Phase == Rejected, "edition %.12s, pushed at this member, is %s%s", msg.Digest, msg.Phase, reasonSuffix(msg.Reasons))
	if msg.Phase == Rejected || msg.Phase == InForce {
		m.pushed = nil
	}
}

// receiveDraft queues an edition that is pushed at a member for trial, and answers with the phase of the edition. It ignores the
// draft unless this member leads.
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
		delete(m.rejections, d) // so that a later push of the edition begins another trial
	default:
		queued := slices.ContainsFunc(m.drafts, func(draft rules.Edition) bool { return editionDigest(draft) == d })
		if !queued && len(m.drafts) < maxDrafts {
			m.drafts = append(m.drafts, e)
		}
	}
	m.send(from, status)
}
