package versionskew

import (
	"slices"
	"time"

	"fieldrelay/internal/sidecar/member"
	"fieldrelay/internal/sidecar/rules"
	"fieldrelay/internal/sidecar/view"
)

// offer is an edition that the leader has offered to the members for trial.
type offer struct {
	edition     rules.Edition
	digest      string
	trialID     uint64 // random number of the trial, so that replies to another trial do not count
	offeredAt   time.Duration
	phase       Phase
	sentAt      map[string]time.Duration // time of the last direct send, by member
	replies     map[string]reply         // replies by member
	proposedAt  time.Duration            // time of the last proposal; -1: never proposed
	loweredFrom string                   // digest of the edition that this one was rewritten from; empty: it was not rewritten
	reasons     []string                 // reasons against agreeing on the edition, by member
}

// reply is a member's reply to an offer.
type reply struct {
	boot      uint64 // identifies the process that replied
	trial     []byte // the member's decisions of the cases
	readError string // why the member cannot read the edition; empty: it can
}

// maxReadErrorBytes bounds reply.readError.
const maxReadErrorBytes = 300

// receiveOffer runs the trial of an edition, replies to the leader, and forwards the offer.
func (m *Machine) receiveOffer(from string, msg Message) {
	cached := m.load(*msg.Edition)
	answer := Message{Kind: TrialReply, TrialID: msg.TrialID, Digest: editionDigest(*msg.Edition)}
	if cached.err != nil {
		text := cached.err.Error()
		answer.ReadError = text[:min(len(text), maxReadErrorBytes)]
	} else {
		answer.Trial = cached.trial[:]
	}
	m.send(msg.Leader, answer)
	if from != m.cfg.Name {
		m.forward(msg)
	}
}

// receiveReply records a reply to the offer of this member.
func (m *Machine) receiveReply(from string, boot uint64, msg Message) {
	o := m.offer
	if o == nil || msg.TrialID != o.trialID || msg.Digest != o.digest || len(msg.ReadError) > maxReadErrorBytes || len(msg.Trial) > len(rules.Trial{}) {
		return
	}
	if _, known := o.replies[from]; known || len(o.replies) < member.MaxMembers { // bound on the number of names, which senders could make up
		o.replies[from] = reply{boot, msg.Trial, msg.ReadError}
	}
}

// forward gossips the offer of each trial once, up to maxForwards offers in a pace.
func (m *Machine) forward(msg Message) {
	if m.now-m.paceStart >= m.cfg.Pace {
		m.paceStart, m.forwards = m.now, 0
	}
	if slices.Contains(m.forwardedTrials, msg.TrialID) || m.forwards >= maxForwards {
		return // the leader sends the offer directly to members that gossip does not reach
	}
	m.forwards++
	if m.forwardedTrials = append(m.forwardedTrials, msg.TrialID); len(m.forwardedTrials) > maxRememberedTrials {
		m.forwardedTrials = m.forwardedTrials[1:]
	}
	m.out = append(m.out, Gossip{Message: msg})
}

// runLeader advances the trials of a leader, one trial at a time.
func (m *Machine) runLeader() {
	if !m.isLeader {
		return
	}
	v, ok := m.cfg.Decided()
	if !ok {
		return
	}
	if v.Rules != m.lastAgreed {
		m.lastAgreed, m.agreedAt = v.Rules, m.now
		if o := m.offer; o != nil {
			if o.digest == v.Rules.Digest {
				m.log(false, "edition %d is agreed and in force%s", v.Rules.Number, reasonSuffix(o.reasons))
			}
			m.offer = nil
		}
	}
	if m.offer == nil && len(m.drafts) > 0 {
		e := m.drafts[0]
		m.drafts = m.drafts[1:]
		m.beginTrial(e, "")
	}
	if m.offer != nil {
		m.sendOffers(v)
		m.evaluate(v)
	}
}

// beginTrial begins the trial of an edition under the next number. loweredFrom is the digest of the edition that this one was
// rewritten from; empty: it was not rewritten.
func (m *Machine) beginTrial(e rules.Edition, loweredFrom string) {
	e.Number = m.lastAgreed.Number + 1
	if m.enforced != nil {
		e.Number = max(e.Number, m.enforced.Edition.Number+1)
	}
	if err := m.load(e).err; err != nil {
		m.reject(e, "this member, which leads, cannot read it: "+err.Error())
		return
	}
	m.offer = &offer{edition: e, digest: editionDigest(e), trialID: m.rng.Uint64() | 1, offeredAt: m.now, phase: Offered,
		sentAt: make(map[string]time.Duration), replies: make(map[string]reply), loweredFrom: loweredFrom, proposedAt: -1}
	m.log(false, "edition %d (%.12s) offered", e.Number, editionDigest(e))
	m.forward(m.offerMessage())
}

// offerMessage returns the message of the offer.
func (m *Machine) offerMessage() Message {
	return Message{Kind: Offer, Edition: &m.offer.edition, Leader: m.cfg.Name, TrialID: m.offer.trialID}
}

// reject ends the trial of an edition. The member that pushes the edition gets the reason with the next status.
func (m *Machine) reject(e rules.Edition, reason string) {
	d := editionDigest(e)
	if m.offer != nil && m.offer.loweredFrom != "" {
		d = m.offer.loweredFrom
	}
	if len(m.rejections) >= maxEditions {
		clear(m.rejections)
	}
	m.rejections[d] = reason
	m.offer = nil
	m.log(true, "edition %.12s rejected: %s", d, reason)
}

// participants returns the members whose replies are needed: members that are present, members of the view, and members that have
// been absent for less than ReturnTimeout.
func (m *Machine) participants(v view.View) (all []Member) {
	for _, participant := range m.cfg.Members() {
		_, included := v.Find(participant.Name)
		if participant.AbsentFor < 0 || included || participant.AbsentFor < m.cfg.ReturnTimeout {
			all = append(all, participant)
		}
	}
	return all
}

// sendOffers sends the offer directly to members that have not replied, up to maxDirectOffers in a step. For the first
// directOfferInterval it hands the offer to this member alone, while gossip spreads it.
func (m *Machine) sendOffers(v view.View) {
	o := m.offer
	if m.now-o.offeredAt < directOfferInterval*m.cfg.Pace {
		if _, done := o.sentAt[m.cfg.Name]; !done { // this member runs its own trial at once
			o.sentAt[m.cfg.Name] = m.now
			m.receive(m.cfg.Name, m.cfg.Boot, m.offerMessage())
		}
		return
	}
	sent := 0
	for _, participant := range m.participants(v) {
		if r, ok := o.replies[participant.Name]; participant.AbsentFor >= 0 || ok && r.boot == participant.Boot {
			continue
		}
		if at, ok := o.sentAt[participant.Name]; ok && m.now-at < directOfferInterval*m.cfg.Pace {
			continue
		}
		if sent++; sent > maxDirectOffers {
			return
		}
		o.sentAt[participant.Name] = m.now
		m.send(participant.Name, m.offerMessage())
	}
}
