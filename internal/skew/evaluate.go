package skew

import (
	"fmt"
	"strings"
	"time"

	"fieldrelay/internal/rules"
	"fieldrelay/internal/view"
)

// Results are those of the trial that this member runs, or of the last one.
func (m *Machine) Results() (phase Phase, number uint64, all []Result) {
	v, _ := m.cfg.Decided()
	if m.offer == nil {
		return Nothing, m.agreed().Number, nil
	}
	return m.offer.phase, m.offer.edition.Number, m.results(v)
}

func (m *Machine) results(v view.View) (all []Result) {
	o := m.offer
	own := m.load(o.edition)
	for _, k := range m.participants(v) {
		r := Result{Name: k.Name}
		got, ok := o.replies[k.Name]
		if ok && got.boot != k.Boot && m.cfg.Mutate != AnyBoot {
			ok = false // an earlier process of its name has answered
		}
		reads, err := rules.ParseReads(k.Reads)
		var cannot *rules.Rule
		for i, rule := range o.edition.Rules {
			if err == nil && !reads.Has(rule.Kind, rule.Format) && cannot == nil {
				cannot = &o.edition.Rules[i]
			}
		}
		switch {
		case cannot != nil:
			r.Outcome, r.Reason = Unreadable, fmt.Sprintf("it reads %q, not %s %s, which this program does", k.Reads, cannot.Kind, cannot.Format)
		case m.cfg.Mutate == TrustsClaims:
			r.Outcome = Compatible
		case !ok && m.cfg.Mutate == SkipsSilent:
			r.Outcome = Compatible
		case !ok:
			r.Reason = fmt.Sprintf("for %v", (m.now - o.offeredAt).Round(time.Millisecond))
			if k.AbsentFor >= 0 {
				r.Reason = fmt.Sprintf("away for %v, and may return within %v", k.AbsentFor.Round(time.Millisecond), m.cfg.ReturnTimeout)
			}
		case got.readError != "":
			r.Outcome, r.Reason = Unreadable, got.readError
		case len(got.trial) != len(own.trial):
			r.Outcome, r.Reason = Divergent, "its answer has no form"
		default:
			r.Outcome = Compatible
			if at := rules.Differs(own.trial, rules.Trial(got.trial)); at == 0 {
				r.Outcome, r.Reason = Divergent, "in another canonical form"
			} else if at > 0 {
				q := rules.DrawCases(own.compiled)[at-1]
				r.Outcome, r.Reason = Divergent, fmt.Sprintf("case %d (%s), where this one decides: %s", at, q, own.compiled.Decide(q))
			}
		}
		all = append(all, r)
	}
	return all
}

// judge looks whether the edition may hold, by the policy.
func (m *Machine) evaluate(v view.View) {
	o := m.offer
	bad, open := 0, 0
	o.reasons = nil
	for _, r := range m.results(v) {
		switch {
		case r.Outcome == Compatible:
			continue
		case r.Outcome == NoReply && m.now-o.offeredAt < m.cfg.ReplyTimeout:
			open++
		default:
			bad++
		}
		if len(o.reasons) < maxReasons {
			o.reasons = append(o.reasons, fmt.Sprintf("%s %s: %s", r.Name, r.Outcome, r.Reason))
		}
	}
	if open > 0 {
		return
	}
	if o.phase == Offered {
		o.phase = Read
		m.log(bad > 0, "edition %d read%s", o.edition.Number, reasonSuffix(o.reasons))
	}
	if bad > m.cfg.MaxBehind {
		if m.cfg.Lower && o.loweredFrom == "" {
			m.offerLowered(v)
		}
		return
	}
	// Leases of views with the edition before may run.
	if m.lastAgreed.Number > 0 && m.now-m.agreedAt < m.cfg.Bound && m.cfg.Mutate != NoWait {
		return
	}
	if o.proposedAt >= 0 && m.now-o.proposedAt < proposalInterval*m.cfg.Pace {
		return
	}
	o.phase, o.proposedAt = Agreed, m.now
	m.out = append(m.out, Propose{Rules: view.Rules{Number: o.edition.Number, Digest: o.digest}})
}

// lower offers the edition in formats that all read.
func (m *Machine) offerLowered(v view.View) {
	common := m.cfg.Reads
	for _, k := range m.participants(v) {
		reads, err := rules.ParseReads(k.Reads)
		if err != nil {
			return
		}
		both := rules.Reads{}
		for kind, formats := range common {
			for _, f := range formats {
				if reads.Has(kind, f) {
					both[kind] = append(both[kind], f)
				}
			}
		}
		common = both
	}
	e, lost := rules.Lower(m.offer.edition, common)
	from := m.offer.digest
	switch {
	case len(lost) > 0:
		m.reject(m.offer.edition, "in a format that all read it would lose "+strings.Join(lost, ", "))
	case editionDigest(e) == from: // it is not the format that keeps it from being understood
	default:
		m.beginTrial(e, from)
	}
}
