package skew

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"fieldrelay/internal/member"
	"fieldrelay/internal/rules"
	"fieldrelay/internal/view"
)

// Machine is the state of one member. It is not safe for use by several goroutines.
type Machine struct {
	cfg Config
	rng *rand.Rand
	now time.Duration
	out []Action

	editions        map[string]*cachedEdition // by digest
	enforced        *rules.Compiled           // gone by; nil: nothing so far
	enforcedDigest  string                    // its digest
	behind          string                    // why this member does not go by its view's edition; empty: it does
	contentDue      time.Duration             // when the content is asked for again
	forwardedTrials []uint64                  // the last rounds that were passed on: with one alone, two rounds would go on for ever
	paceStart       time.Duration             // begin of the present pace,
	forwards        int                       // and offers passed on in it

	// Of who pushes.
	pushed       *rules.Edition
	pushedDigest string // its digest
	draftDue     time.Duration
	pushedPhase  Phase // of it, as the leader said last

	// Of the leader.
	isLeader   bool
	agreedAt   time.Duration // the agreed edition last changed, as seen here
	lastAgreed view.Rules    // agreed, as seen here
	drafts     []rules.Edition
	offer      *offer
	rejections map[string]string // digest to why it was rejected
}

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

// New makes a machine.
func New(cfg Config, now time.Duration) *Machine {
	m := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Boot^0x5ce0)), now: now, editions: map[string]*cachedEdition{}, rejections: map[string]string{}}
	if cfg.Stored.Number > 0 {
		h := m.load(cfg.Stored)
		m.enforced, m.enforcedDigest = h.compiled, editionDigest(cfg.Stored)
	}
	return m
}

// Edition is what this member goes by; nil: nothing.
func (m *Machine) Edition() *rules.Compiled { return m.enforced }

// MaxBehind tells why this member does not go by the edition of its view; empty: it does.
func (m *Machine) Behind() string { return m.behind }

// Next is when Step is to be called with Tick at the latest.
func (m *Machine) Next() time.Duration {
	next := m.now + 4*draftInterval*m.cfg.Pace
	if m.pushed != nil {
		next = min(next, m.draftDue)
	}
	if m.behind != "" {
		next = min(next, m.contentDue)
	}
	if m.offer != nil || len(m.drafts) > 0 {
		next = min(next, m.now+m.cfg.Pace/2)
	}
	return max(next, m.now+m.cfg.Pace/4)
}

// Step takes an event at a time that is never before that of the last call.
func (m *Machine) Step(now time.Duration, e Event) []Action {
	m.out, m.now = nil, max(now, m.now)
	if leads := m.cfg.Leader() == m.cfg.Name; leads != m.isLeader { // before the event: a draft may be the first that a leader hears of it
		m.isLeader, m.agreedAt = leads, m.now
		m.offer, m.drafts = nil, nil // who pushes says so to the next one
	}
	switch e := e.(type) {
	case Received:
		m.receive(e.From.Name, e.From.Boot, e.Message)
	case Push:
		e.Edition.Number = 0
		m.load(e.Edition)
		m.pushed, m.pushedDigest, m.draftDue, m.pushedPhase = &e.Edition, editionDigest(e.Edition), m.now, Nothing
	}
	m.enforceAgreed()
	m.sendDraft()
	m.runLeader()
	return m.out
}

func (m *Machine) log(loud bool, format string, args ...any) {
	m.out = append(m.out, LogEntry{Text: fmt.Sprintf(format, args...), Alert: loud})
}

func (m *Machine) send(to string, msg Message) {
	if to == m.cfg.Name {
		m.receive(to, m.cfg.Boot, msg)
	} else if to != "" {
		m.out = append(m.out, Send{To: to, Message: msg})
	}
}

func editionDigest(e rules.Edition) string { d := e.Digest(); return hex.EncodeToString(d[:]) }

// hold reads an edition and keeps what came of it. Of too many, the one that was used longest ago goes.
func (m *Machine) load(e rules.Edition) *cachedEdition {
	d := editionDigest(e)
	if h := m.editions[d]; h != nil {
		h.usedAt = m.now
		return h
	}
	h := &cachedEdition{edition: e, usedAt: m.now}
	if h.compiled, h.err = rules.Read(e, m.cfg.Reads); h.err == nil {
		decide := h.compiled.Decide
		if m.cfg.Decide != nil {
			decide = func(q rules.Case) string { return m.cfg.Decide(h.compiled, q) }
		}
		h.trial = rules.TryWith(h.compiled, decide)
	}
	if len(m.editions) >= maxEditions {
		oldest := ""
		for k, o := range m.editions {
			if o.compiled != nil && o.compiled == m.enforced {
				continue
			}
			if oldest == "" || o.usedAt < m.editions[oldest].usedAt || o.usedAt == m.editions[oldest].usedAt && k < oldest {
				oldest = k
			}
		}
		delete(m.editions, oldest)
	}
	m.editions[d] = h
	return h
}

// agreed is the edition of the view that this member goes by.
func (m *Machine) agreed() view.Rules {
	v, ok := m.cfg.View()
	if !ok {
		return view.Rules{}
	}
	return v.Rules
}

// follow goes by the edition of the view, once its content is here and is read.
func (m *Machine) enforceAgreed() {
	a := m.agreed()
	if a.Number == 0 || m.enforced != nil && m.enforced.Edition.Number == a.Number && m.enforcedDigest == a.Digest {
		m.behind = ""
		return
	}
	if m.enforced != nil && a.Number < m.enforced.Edition.Number && !m.cfg.HoldsLease() && m.cfg.Mutate != OverwritesNew {
		// The view is of an earlier time: this member knows better until it has a later one.
		m.fallBehind(fmt.Sprintf("the view has edition %d, this member went by %d", a.Number, m.enforced.Edition.Number))
		return
	}
	h := m.editions[a.Digest]
	switch {
	case h == nil && m.cfg.Mutate == HalfInForce:
		m.enforced, m.enforcedDigest = &rules.Compiled{Edition: rules.Edition{Number: a.Number}}, a.Digest
		m.out = append(m.out, Enforce{Compiled: m.enforced})
		return
	case h == nil:
		m.fallBehind(fmt.Sprintf("the content of edition %d is not here", a.Number))
		if m.contentDue <= m.now {
			m.contentDue = m.now + contentInterval*m.cfg.Pace/2 + time.Duration(m.rng.Int64N(int64(contentInterval*m.cfg.Pace)))
			m.send(m.drawMember(), Message{Kind: ContentRequest, Digest: a.Digest})
		}
		return
	case h.compiled == nil:
		m.fallBehind(fmt.Sprintf("edition %d: %v", a.Number, h.err))
		m.contentDue = m.now + draftInterval*m.cfg.Pace
		return
	}
	c := *h.compiled
	c.Edition.Number = a.Number
	h.compiled, h.usedAt, m.enforced, m.enforcedDigest, m.behind = &c, m.now, &c, a.Digest, ""
	m.out = append(m.out, Enforce{Compiled: &c})
	m.log(false, "edition %d (%.12s) in force", a.Number, a.Digest)
}

// fall tells once that this member is behind.
func (m *Machine) fallBehind(why string) {
	if m.behind != why {
		m.behind = why
		on := "no edition"
		if m.enforced != nil {
			on = fmt.Sprintf("edition %d", m.enforced.Edition.Number)
		}
		m.log(true, "behind: %s; %s goes on", why, on)
	}
}

// anybody is one of the view, the leader as a rule: it has tried what it proposed.
func (m *Machine) drawMember() string {
	v, _ := m.cfg.View()
	if leader := m.cfg.Leader(); leader != "" && leader != m.cfg.Name && m.rng.IntN(2) == 0 {
		return leader
	}
	if len(v.Members) == 0 {
		return ""
	}
	if name := v.Members[m.rng.IntN(len(v.Members))].Name; name != m.cfg.Name {
		return name
	}
	return ""
}

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

func (m *Machine) receive(from string, boot uint64, msg Message) {
	switch msg.Kind {
	case Draft:
		if msg.Edition != nil {
			m.receiveDraft(from, *msg.Edition)
		}
	case Status:
		if m.pushed != nil && msg.Digest == m.pushedDigest && msg.Phase != m.pushedPhase {
			m.pushedPhase = msg.Phase
			m.log(msg.Phase == Rejected, "the edition pushed here (%.12s) is %s%s", msg.Digest, msg.Phase, reasonSuffix(msg.Reasons))
			if msg.Phase == Rejected || msg.Phase == InForce {
				m.pushed = nil
			}
		}
	case Offer:
		if msg.Edition == nil {
			return
		}
		h := m.load(*msg.Edition)
		answer := Message{Kind: TrialReply, TrialID: msg.TrialID, Digest: editionDigest(*msg.Edition)}
		if h.err != nil {
			answer.ReadError = h.err.Error()[:min(len(h.err.Error()), 300)]
		} else {
			answer.Trial = h.trial[:]
		}
		m.send(msg.Leader, answer)
		if from != m.cfg.Name {
			m.forward(msg)
		}
	case TrialReply:
		if o := m.offer; o != nil && msg.TrialID == o.trialID && msg.Digest == o.digest && len(msg.ReadError) <= 300 && len(msg.Trial) <= len(rules.Trial{}) {
			if _, known := o.replies[from]; known || len(o.replies) < member.MaxMembers { // made-up names fill no more
				o.replies[from] = reply{boot, msg.Trial, msg.ReadError}
			}
		}
	case ContentRequest:
		if h := m.editions[msg.Digest]; h != nil && from != m.cfg.Name {
			m.send(from, Message{Kind: ContentReply, Edition: &h.edition})
		}
	case ContentReply:
		if msg.Edition != nil && editionDigest(*msg.Edition) == m.agreed().Digest {
			m.load(*msg.Edition)
		}
	}
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

func reasonSuffix(why []string) string {
	if len(why) == 0 {
		return ""
	}
	return ": " + strings.Join(why, "; ")
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

// Result is what became of one member's trial.
type Result struct {
	Name    string
	Outcome Outcome
	Reason  string
}

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

// Lines are what there is to tell of rules, for the management address.
func (m *Machine) Lines() []string {
	a := m.agreed()
	here := "none"
	if m.enforced != nil {
		here = fmt.Sprintf("%d", m.enforced.Edition.Number)
	}
	lines := []string{fmt.Sprintf("agreed=%d digest=%.12s here=%s reads=%s", a.Number, a.Digest, here, strings.ReplaceAll(m.cfg.Reads.String(), " ", ":"))}
	if m.behind != "" {
		lines = append(lines, "behind: "+m.behind)
	}
	if m.pushed != nil {
		lines = append(lines, fmt.Sprintf("pushed here digest=%.12s phase=%s", m.pushedDigest, strings.ReplaceAll(m.pushedPhase.String(), " ", "-")))
	}
	if phase, number, all := m.Results(); m.offer != nil {
		lines = append(lines, fmt.Sprintf("offered=%d phase=%s", number, strings.ReplaceAll(phase.String(), " ", "-")))
		for _, r := range all {
			lines = append(lines, strings.TrimSpace(fmt.Sprintf("%s %s %s", r.Name, strings.ReplaceAll(r.Outcome.String(), " ", "-"), r.Reason)))
		}
	}
	return lines
}
