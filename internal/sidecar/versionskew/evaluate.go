package versionskew

import (
	"fmt"
	"strings"
	"time"

	"fieldrelay/internal/sidecar/rules"
	"fieldrelay/internal/sidecar/view"
)

// Results returns the results of the trial that this member runs as the leader, with the phase and the number of its edition. Without
// a trial it returns the number of the agreed edition.
func (m *Machine) Results() (phase Phase, number uint64, all []Result) {
	v, _ := m.cfg.Decided()
	if m.offer == nil {
		return Unknown, m.agreed().Number, nil
	}
	return m.offer.phase, m.offer.edition.Number, m.results(v)
}

// results returns the result of the trial at each participant.
func (m *Machine) results(v view.View) (all []Result) {
	own := m.load(m.offer.edition)
	for _, participant := range m.participants(v) {
		outcome, reason := m.result(own, participant)
		all = append(all, Result{Name: participant.Name, Outcome: outcome, Reason: reason})
	}
	return all
}

// result returns the outcome of the trial at a participant, by its reply and by the formats that it claims to read, and the reason of
// the outcome. The leader sends the reason to the member that pushes the edition, so its text is part of the messages.
func (m *Machine) result(own *cachedEdition, participant Member) (outcome Outcome, reason string) {
	o := m.offer
	got, replied := o.replies[participant.Name]
	if replied && got.boot != participant.Boot && m.cfg.Mutate != AnyBoot {
		replied = false // the reply is of an earlier process of the participant's name
	}
	unread := unreadRule(o.edition, participant.Reads)
	switch {
	case unread != nil:
		return Unreadable, fmt.Sprintf("it reads %q, not %s %s, which this program does", participant.Reads, unread.Kind, unread.Format)
	case m.cfg.Mutate == TrustsClaims, !replied && m.cfg.Mutate == SkipsSilent:
		return Compatible, ""
	case !replied && participant.AbsentFor >= 0:
		return NoReply, fmt.Sprintf("away for %v, and may return within %v", participant.AbsentFor.Round(time.Millisecond), m.cfg.ReturnTimeout)
	case !replied:
		return NoReply, fmt.Sprintf("for %v", (m.now - o.offeredAt).Round(time.Millisecond))
	case got.readError != "":
		return Unreadable, got.readError
	case len(got.trial) != len(own.trial):
		return Divergent, "its answer has no form"
	}
	switch at := rules.FirstDifference(own.trial, rules.Trial(got.trial)); {
	case at == 0:
		return Divergent, "in another canonical form"
	case at > 0:
		q := rules.DrawCases(own.compiled)[at-1]
		return Divergent, fmt.Sprintf("case %d (%s), where this one decides: %s", at, q, own.compiled.Decide(q))
	}
	return Compatible, ""
}

// unreadRule returns the first rule of an edition whose format is not among the formats that a member claims to read; nil: there is
// none, or the member's claim cannot be parsed.
func unreadRule(e rules.Edition, memberReads string) *rules.Rule {
	reads, err := rules.ParseFormatSet(memberReads)
	if err != nil {
		return nil
	}
	for i, rule := range e.Rules {
		if !reads.Has(rule.Kind, rule.Format) {
			return &e.Rules[i]
		}
	}
	return nil
}

// evaluate proposes the edition once every participant has replied or timed out and at most MaxBehind of them are incompatible. With
// more, it offers the edition in a format that all read, if Lower is set.
func (m *Machine) evaluate(v view.View) {
	o := m.offer
	incompatible, pending := 0, 0
	o.reasons = nil
	for _, r := range m.results(v) {
		switch {
		case r.Outcome == Compatible:
			continue
		case r.Outcome == NoReply && m.now-o.offeredAt < m.cfg.ReplyTimeout:
			pending++
		default:
			incompatible++
		}
		if len(o.reasons) < maxReasons {
			o.reasons = append(o.reasons, fmt.Sprintf("%s %s: %s", r.Name, r.Outcome, r.Reason))
		}
	}
	if pending > 0 {
		return
	}
	if o.phase == Offered {
		o.phase = Read
		m.log(incompatible > 0, "edition %d read%s", o.edition.Number, reasonSuffix(o.reasons))
	}
	if incompatible > m.cfg.MaxBehind {
		if m.cfg.Lower && o.loweredFrom == "" {
			m.offerLowered(v)
		}
		return
	}
	// Members may still hold leases on views with the previous edition.
	if m.lastAgreed.Number > 0 && m.now-m.agreedAt < m.cfg.Bound && m.cfg.Mutate != NoWait {
		return
	}
	if o.proposedAt >= 0 && m.now-o.proposedAt < proposalInterval*m.cfg.Pace {
		return
	}
	o.phase, o.proposedAt = Agreed, m.now
	m.out = append(m.out, Propose{Rules: view.Rules{Number: o.edition.Number, Digest: o.digest}})
}

// offerLowered begins the trial of the edition rewritten in formats that all participants read. It rejects the edition if that would
// lose something.
func (m *Machine) offerLowered(v view.View) {
	common := m.cfg.Reads
	for _, participant := range m.participants(v) {
		reads, err := rules.ParseFormatSet(participant.Reads)
		if err != nil {
			return
		}
		shared := rules.FormatSet{}
		for kind, formats := range common {
			for _, f := range formats {
				if reads.Has(kind, f) {
					shared[kind] = append(shared[kind], f)
				}
			}
		}
		common = shared
	}
	e, lost := rules.Downgrade(m.offer.edition, common)
	from := m.offer.digest
	switch {
	case len(lost) > 0:
		m.reject(m.offer.edition, "in a format that all read it would lose "+strings.Join(lost, ", "))
	case editionDigest(e) == from: // members are incompatible for another reason than the format
	default:
		m.beginTrial(e, from)
	}
}
