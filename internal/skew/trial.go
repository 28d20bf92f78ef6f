package skew

import (
	"slices"
	"time"

	"fieldrelay/internal/rules"
	"fieldrelay/internal/view"
)

// offer is a trial that the leader runs.
type offer struct {
	edition     rules.Edition
	digest      string
	trialID     uint64
	offeredAt   time.Duration
	phase       Phase
	sentAt      map[string]time.Duration
	replies     map[string]reply
	proposedAt  time.Duration
	loweredFrom string // what it was written from
	reasons     []string
}

type reply struct {
	boot      uint64
	trial     []byte
	readError string
}

// pass passes an offer on once.
func (m *Machine) forward(msg Message) {
	if m.now-m.paceStart >= m.cfg.Pace {
		m.paceStart, m.forwards = m.now, 0
	}
	if slices.Contains(m.forwardedTrials, msg.TrialID) || m.forwards >= maxForwards {
		return // who does not hear of it so is told by the leader
	}
	m.forwards++
	if m.forwardedTrials = append(m.forwardedTrials, msg.TrialID); len(m.forwardedTrials) > maxRememberedTrials {
		m.forwardedTrials = m.forwardedTrials[1:]
	}
	m.out = append(m.out, Gossip{Message: msg})
}

// lead is what the leader does.
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

// begin begins the trial of an edition under the next number.
func (m *Machine) beginTrial(e rules.Edition, lowered string) {
	e.Number = m.lastAgreed.Number + 1
	if m.enforced != nil {
		e.Number = max(e.Number, m.enforced.Edition.Number+1)
	}
	if h := m.load(e); h.err != nil {
		m.reject(e, "this member, which leads, cannot read it: "+h.err.Error())
		return
	}
	m.offer = &offer{edition: e, digest: editionDigest(e), trialID: m.rng.Uint64() | 1, offeredAt: m.now, phase: Offered, sentAt: map[string]time.Duration{}, replies: map[string]reply{}, loweredFrom: lowered, proposedAt: -1}
	m.log(false, "edition %d (%.12s) offered", e.Number, editionDigest(e))
	m.forward(m.offerMessage())
}

func (m *Machine) offerMessage() Message {
	return Message{Kind: Offer, Edition: &m.offer.edition, Leader: m.cfg.Name, TrialID: m.offer.trialID}
}

func (m *Machine) reject(e rules.Edition, why string) {
	d := editionDigest(e)
	if m.offer != nil && m.offer.loweredFrom != "" {
		d = m.offer.loweredFrom
	}
	if len(m.rejections) >= maxEditions {
		clear(m.rejections)
	}
	m.rejections[d] = why
	m.offer = nil
	m.log(true, "edition %.12s rejected: %s", d, why)
}

// needed are those whose understanding is asked for: who is in the view, and who is away and may return.
func (m *Machine) participants(v view.View) (all []Member) {
	for _, k := range m.cfg.Members() {
		_, in := v.Find(k.Name)
		if k.AbsentFor < 0 || in || k.AbsentFor < m.cfg.ReturnTimeout {
			all = append(all, k)
		}
	}
	return all
}

// tell tells the offer to those that have not answered, some at a time.
func (m *Machine) sendOffers(v view.View) {
	o := m.offer
	if m.now-o.offeredAt < directOfferInterval*m.cfg.Pace {
		if _, done := o.sentAt[m.cfg.Name]; !done { // this member's own trial
			o.sentAt[m.cfg.Name] = m.now
			m.receive(m.cfg.Name, m.cfg.Boot, m.offerMessage())
		}
		return
	}
	n := 0
	for _, k := range m.participants(v) {
		if r, ok := o.replies[k.Name]; k.AbsentFor >= 0 || ok && r.boot == k.Boot {
			continue
		}
		if at, told := o.sentAt[k.Name]; told && m.now-at < directOfferInterval*m.cfg.Pace {
			continue
		}
		if n++; n > maxDirectOffers {
			return
		}
		o.sentAt[k.Name] = m.now
		m.send(k.Name, m.offerMessage())
	}
}
