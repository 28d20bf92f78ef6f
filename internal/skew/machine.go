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

	held   map[string]*held // by digest
	force  *rules.Compiled  // gone by; nil: nothing so far
	forced string           // its digest
	behind string           // why this member does not go by its view's edition; empty: it does
	want   time.Duration    // when the content is asked for again
	passed []uint64         // the last rounds that were passed on: with one alone, two rounds would go on for ever
	pace   time.Duration    // begin of the present pace,
	passes int              // and offers passed on in it

	// Of who pushes.
	mine    *rules.Edition
	pushed  string // its digest
	mineDue time.Duration
	phase   Phase // of it, as the leader said last

	// Of the leader.
	leads   bool
	changed time.Duration // the agreed edition last changed, as seen here
	last    view.Rules    // agreed, as seen here
	queue   []rules.Edition
	offer   *offer
	verdict map[string]string // digest to why it was rejected
}

// offer is a trial that the leader runs.
type offer struct {
	edition  rules.Edition
	digest   string
	round    uint64
	since    time.Duration
	phase    Phase
	told     map[string]time.Duration
	readings map[string]reading
	proposed time.Duration
	lowered  string // what it was written from
	why      []string
}

type reading struct {
	boot    uint64
	trial   []byte
	misread string
}

// New makes a machine.
func New(cfg Config, now time.Duration) *Machine {
	m := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Boot^0x5ce0)), now: now, held: map[string]*held{}, verdict: map[string]string{}}
	if cfg.Kept.Number > 0 {
		h := m.hold(cfg.Kept)
		m.force, m.forced = h.compiled, digest(cfg.Kept)
	}
	return m
}

// Edition is what this member goes by; nil: nothing.
func (m *Machine) Edition() *rules.Compiled { return m.force }

// Behind tells why this member does not go by the edition of its view; empty: it does.
func (m *Machine) Behind() string { return m.behind }

// Next is when Step is to be called with Tick at the latest.
func (m *Machine) Next() time.Duration {
	next := m.now + 4*draftEvery*m.cfg.Pace
	if m.mine != nil {
		next = min(next, m.mineDue)
	}
	if m.behind != "" {
		next = min(next, m.want)
	}
	if m.offer != nil || len(m.queue) > 0 {
		next = min(next, m.now+m.cfg.Pace/2)
	}
	return max(next, m.now+m.cfg.Pace/4)
}

// Step takes an event at a time that is never before that of the last call.
func (m *Machine) Step(now time.Duration, e Event) []Action {
	m.out, m.now = nil, max(now, m.now)
	if leads := m.cfg.Leader() == m.cfg.Name; leads != m.leads { // before the event: a draft may be the first that a leader hears of it
		m.leads, m.changed = leads, m.now
		m.offer, m.queue = nil, nil // who pushes says so to the next one
	}
	switch e := e.(type) {
	case Heard:
		m.heard(e.From.Name, e.From.Boot, e.Message)
	case Push:
		e.Edition.Number = 0
		m.hold(e.Edition)
		m.mine, m.pushed, m.mineDue, m.phase = &e.Edition, digest(e.Edition), m.now, Nothing
	}
	m.follow()
	m.push()
	m.lead()
	return m.out
}

func (m *Machine) line(loud bool, format string, args ...any) {
	m.out = append(m.out, Line{Text: fmt.Sprintf(format, args...), Loud: loud})
}

func (m *Machine) send(to string, msg Message) {
	if to == m.cfg.Name {
		m.heard(to, m.cfg.Boot, msg)
	} else if to != "" {
		m.out = append(m.out, Send{To: to, Message: msg})
	}
}

func digest(e rules.Edition) string { d := e.Digest(); return hex.EncodeToString(d[:]) }

// hold reads an edition and keeps what came of it. Of too many, the one that was used longest ago goes.
func (m *Machine) hold(e rules.Edition) *held {
	d := digest(e)
	if h := m.held[d]; h != nil {
		h.used = m.now
		return h
	}
	h := &held{edition: e, used: m.now}
	if h.compiled, h.err = rules.Read(e, m.cfg.Reads); h.err == nil {
		decide := h.compiled.Decide
		if m.cfg.Decide != nil {
			decide = func(q rules.Case) string { return m.cfg.Decide(h.compiled, q) }
		}
		h.trial = rules.TryWith(h.compiled, decide)
	}
	if len(m.held) >= mostHeld {
		oldest := ""
		for k, o := range m.held {
			if o.compiled != nil && o.compiled == m.force {
				continue
			}
			if oldest == "" || o.used < m.held[oldest].used || o.used == m.held[oldest].used && k < oldest {
				oldest = k
			}
		}
		delete(m.held, oldest)
	}
	m.held[d] = h
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
func (m *Machine) follow() {
	a := m.agreed()
	if a.Number == 0 || m.force != nil && m.force.Edition.Number == a.Number && m.forced == a.Digest {
		m.behind = ""
		return
	}
	if m.force != nil && a.Number < m.force.Edition.Number && !m.cfg.Holds() && m.cfg.Mutate != OverwritesNew {
		// The view is of an earlier time: this member knows better until it has a later one.
		m.fall(fmt.Sprintf("the view has edition %d, this member went by %d", a.Number, m.force.Edition.Number))
		return
	}
	h := m.held[a.Digest]
	switch {
	case h == nil && m.cfg.Mutate == HalfInForce:
		m.force, m.forced = &rules.Compiled{Edition: rules.Edition{Number: a.Number}}, a.Digest
		m.out = append(m.out, Force{Compiled: m.force})
		return
	case h == nil:
		m.fall(fmt.Sprintf("the content of edition %d is not here", a.Number))
		if m.want <= m.now {
			m.want = m.now + wantEvery*m.cfg.Pace/2 + time.Duration(m.rng.Int64N(int64(wantEvery*m.cfg.Pace)))
			m.send(m.anybody(), Message{Kind: Want, Digest: a.Digest})
		}
		return
	case h.compiled == nil:
		m.fall(fmt.Sprintf("edition %d: %v", a.Number, h.err))
		m.want = m.now + draftEvery*m.cfg.Pace
		return
	}
	c := *h.compiled
	c.Edition.Number = a.Number
	h.compiled, h.used, m.force, m.forced, m.behind = &c, m.now, &c, a.Digest, ""
	m.out = append(m.out, Force{Compiled: &c})
	m.line(false, "edition %d (%.12s) in force", a.Number, a.Digest)
}

// fall tells once that this member is behind.
func (m *Machine) fall(why string) {
	if m.behind != why {
		m.behind = why
		on := "no edition"
		if m.force != nil {
			on = fmt.Sprintf("edition %d", m.force.Edition.Number)
		}
		m.line(true, "behind: %s; %s goes on", why, on)
	}
}

// anybody is one of the view, the leader as a rule: it has tried what it proposed.
func (m *Machine) anybody() string {
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
func (m *Machine) push() {
	if m.mine == nil {
		return
	}
	switch a := m.agreed(); {
	case a.Digest == m.pushed:
		m.mine = nil
		return
	case m.mineDue > m.now:
		return
	}
	m.mineDue = m.now + draftEvery*m.cfg.Pace/2 + time.Duration(m.rng.Int64N(int64(draftEvery*m.cfg.Pace/2)))
	m.send(m.cfg.Leader(), Message{Kind: Draft, Edition: m.mine})
}

func (m *Machine) heard(from string, boot uint64, msg Message) {
	switch msg.Kind {
	case Draft:
		if msg.Edition != nil {
			m.drafted(from, *msg.Edition)
		}
	case Status:
		if m.mine != nil && msg.Digest == m.pushed && msg.Phase != m.phase {
			m.phase = msg.Phase
			m.line(msg.Phase == Rejected, "the edition pushed here (%.12s) is %s%s", msg.Digest, msg.Phase, because(msg.Why))
			if msg.Phase == Rejected || msg.Phase == InForce {
				m.mine = nil
			}
		}
	case Offer:
		if msg.Edition == nil {
			return
		}
		h := m.hold(*msg.Edition)
		answer := Message{Kind: Reading, Round: msg.Round, Digest: digest(*msg.Edition)}
		if h.err != nil {
			answer.Misread = h.err.Error()[:min(len(h.err.Error()), 300)]
		} else {
			answer.Trial = h.trial[:]
		}
		m.send(msg.Leader, answer)
		if from != m.cfg.Name {
			m.pass(msg)
		}
	case Reading:
		if o := m.offer; o != nil && msg.Round == o.round && msg.Digest == o.digest && len(msg.Misread) <= 300 && len(msg.Trial) <= len(rules.Trial{}) {
			if _, known := o.readings[from]; known || len(o.readings) < member.MaxMembers { // made-up names fill no more
				o.readings[from] = reading{boot, msg.Trial, msg.Misread}
			}
		}
	case Want:
		if h := m.held[msg.Digest]; h != nil && from != m.cfg.Name {
			m.send(from, Message{Kind: Have, Edition: &h.edition})
		}
	case Have:
		if msg.Edition != nil && digest(*msg.Edition) == m.agreed().Digest {
			m.hold(*msg.Edition)
		}
	}
}

// pass passes an offer on once.
func (m *Machine) pass(msg Message) {
	if m.now-m.pace >= m.cfg.Pace {
		m.pace, m.passes = m.now, 0
	}
	if slices.Contains(m.passed, msg.Round) || m.passes >= mostPasses {
		return // who does not hear of it so is told by the leader
	}
	m.passes++
	if m.passed = append(m.passed, msg.Round); len(m.passed) > mostPassed {
		m.passed = m.passed[1:]
	}
	m.out = append(m.out, Spread{Message: msg})
}

func because(why []string) string {
	if len(why) == 0 {
		return ""
	}
	return ": " + strings.Join(why, "; ")
}

// drafted takes in an edition that somebody pushes, where this member leads, and tells how far it has come.
func (m *Machine) drafted(from string, e rules.Edition) {
	if !m.leads {
		return
	}
	d := digest(e)
	status := Message{Kind: Status, Digest: d}
	switch o := m.offer; {
	case m.last.Digest == d:
		status.Phase, status.Number = InForce, m.last.Number
	case o != nil && (o.digest == d || o.lowered == d):
		status.Phase, status.Number, status.Why = o.phase, o.edition.Number, o.why
	case m.verdict[d] != "":
		status.Phase, status.Why = Rejected, []string{m.verdict[d]}
		delete(m.verdict, d) // pushed again later, it is tried again
	default:
		if !slices.ContainsFunc(m.queue, func(q rules.Edition) bool { return digest(q) == d }) && len(m.queue) < mostQueue {
			m.queue = append(m.queue, e)
		}
	}
	m.send(from, status)
}

// lead is what the leader does.
func (m *Machine) lead() {
	if !m.leads {
		return
	}
	v, ok := m.cfg.Decided()
	if !ok {
		return
	}
	if v.Rules != m.last {
		m.last, m.changed = v.Rules, m.now
		if o := m.offer; o != nil {
			if o.digest == v.Rules.Digest {
				m.line(false, "edition %d is agreed and in force%s", v.Rules.Number, because(o.why))
			}
			m.offer = nil
		}
	}
	if m.offer == nil && len(m.queue) > 0 {
		e := m.queue[0]
		m.queue = m.queue[1:]
		m.begin(e, "")
	}
	if m.offer != nil {
		m.tell(v)
		m.judge(v)
	}
}

// begin begins the trial of an edition under the next number.
func (m *Machine) begin(e rules.Edition, lowered string) {
	e.Number = m.last.Number + 1
	if m.force != nil {
		e.Number = max(e.Number, m.force.Edition.Number+1)
	}
	if h := m.hold(e); h.err != nil {
		m.reject(e, "this member, which leads, cannot read it: "+h.err.Error())
		return
	}
	m.offer = &offer{edition: e, digest: digest(e), round: m.rng.Uint64() | 1, since: m.now, phase: Offered, told: map[string]time.Duration{}, readings: map[string]reading{}, lowered: lowered, proposed: -1}
	m.line(false, "edition %d (%.12s) offered", e.Number, digest(e))
	m.pass(m.offering())
}

func (m *Machine) offering() Message {
	return Message{Kind: Offer, Edition: &m.offer.edition, Leader: m.cfg.Name, Round: m.offer.round}
}

func (m *Machine) reject(e rules.Edition, why string) {
	d := digest(e)
	if m.offer != nil && m.offer.lowered != "" {
		d = m.offer.lowered
	}
	if len(m.verdict) >= mostHeld {
		clear(m.verdict)
	}
	m.verdict[d] = why
	m.offer = nil
	m.line(true, "edition %.12s rejected: %s", d, why)
}

// needed are those whose understanding is asked for: who is in the view, and who is away and may return.
func (m *Machine) needed(v view.View) (all []Member) {
	for _, k := range m.cfg.Members() {
		_, in := v.Find(k.Name)
		if k.Away < 0 || in || k.Away < m.cfg.Return {
			all = append(all, k)
		}
	}
	return all
}

// tell tells the offer to those that have not answered, some at a time.
func (m *Machine) tell(v view.View) {
	o := m.offer
	if m.now-o.since < tellAfter*m.cfg.Pace {
		if _, done := o.told[m.cfg.Name]; !done { // this member's own trial
			o.told[m.cfg.Name] = m.now
			m.heard(m.cfg.Name, m.cfg.Boot, m.offering())
		}
		return
	}
	n := 0
	for _, k := range m.needed(v) {
		if r, ok := o.readings[k.Name]; k.Away >= 0 || ok && r.boot == k.Boot {
			continue
		}
		if at, told := o.told[k.Name]; told && m.now-at < tellAfter*m.cfg.Pace {
			continue
		}
		if n++; n > tellAtOnce {
			return
		}
		o.told[k.Name] = m.now
		m.send(k.Name, m.offering())
	}
}

// Result is what became of one member's trial.
type Result struct {
	Name string
	Is   Understanding
	Why  string
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
	own := m.hold(o.edition)
	for _, k := range m.needed(v) {
		r := Result{Name: k.Name}
		got, ok := o.readings[k.Name]
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
			r.Is, r.Why = CannotRead, fmt.Sprintf("it reads %q, not %s %s, which this program does", k.Reads, cannot.Kind, cannot.Format)
		case m.cfg.Mutate == TrustsClaims:
			r.Is = Understands
		case !ok && m.cfg.Mutate == SkipsSilent:
			r.Is = Understands
		case !ok:
			r.Why = fmt.Sprintf("for %v", (m.now - o.since).Round(time.Millisecond))
			if k.Away >= 0 {
				r.Why = fmt.Sprintf("away for %v, and may return within %v", k.Away.Round(time.Millisecond), m.cfg.Return)
			}
		case got.misread != "":
			r.Is, r.Why = CannotRead, got.misread
		case len(got.trial) != len(own.trial):
			r.Is, r.Why = Otherwise, "its answer has no form"
		default:
			r.Is = Understands
			if at := rules.Differs(own.trial, rules.Trial(got.trial)); at == 0 {
				r.Is, r.Why = Otherwise, "in another canonical form"
			} else if at > 0 {
				q := rules.DrawCases(own.compiled)[at-1]
				r.Is, r.Why = Otherwise, fmt.Sprintf("case %d (%s), where this one decides: %s", at, q, own.compiled.Decide(q))
			}
		}
		all = append(all, r)
	}
	return all
}

// judge looks whether the edition may hold, by the policy.
func (m *Machine) judge(v view.View) {
	o := m.offer
	bad, open := 0, 0
	o.why = nil
	for _, r := range m.results(v) {
		switch {
		case r.Is == Understands:
			continue
		case r.Is == Silent && m.now-o.since < m.cfg.Hear:
			open++
		default:
			bad++
		}
		if len(o.why) < mostWhy {
			o.why = append(o.why, fmt.Sprintf("%s %s: %s", r.Name, r.Is, r.Why))
		}
	}
	if open > 0 {
		return
	}
	if o.phase == Offered {
		o.phase = Read
		m.line(bad > 0, "edition %d read%s", o.edition.Number, because(o.why))
	}
	if bad > m.cfg.Behind {
		if m.cfg.Lower && o.lowered == "" {
			m.lower(v)
		}
		return
	}
	// Leases of views with the edition before may run.
	if m.last.Number > 0 && m.now-m.changed < m.cfg.Bound && m.cfg.Mutate != NoWait {
		return
	}
	if o.proposed >= 0 && m.now-o.proposed < proposeEvery*m.cfg.Pace {
		return
	}
	o.phase, o.proposed = Agreed, m.now
	m.out = append(m.out, Propose{Rules: view.Rules{Number: o.edition.Number, Digest: o.digest}})
}

// lower offers the edition in formats that all read.
func (m *Machine) lower(v view.View) {
	common := m.cfg.Reads
	for _, k := range m.needed(v) {
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
	case digest(e) == from: // it is not the format that keeps it from being understood
	default:
		m.begin(e, from)
	}
}

// Lines are what there is to tell of rules, for the management address.
func (m *Machine) Lines() []string {
	a := m.agreed()
	here := "none"
	if m.force != nil {
		here = fmt.Sprintf("%d", m.force.Edition.Number)
	}
	lines := []string{fmt.Sprintf("agreed=%d digest=%.12s here=%s reads=%s", a.Number, a.Digest, here, strings.ReplaceAll(m.cfg.Reads.String(), " ", ":"))}
	if m.behind != "" {
		lines = append(lines, "behind: "+m.behind)
	}
	if m.mine != nil {
		lines = append(lines, fmt.Sprintf("pushed here digest=%.12s phase=%s", m.pushed, strings.ReplaceAll(m.phase.String(), " ", "-")))
	}
	if phase, number, all := m.Results(); m.offer != nil {
		lines = append(lines, fmt.Sprintf("offered=%d phase=%s", number, strings.ReplaceAll(phase.String(), " ", "-")))
		for _, r := range all {
			lines = append(lines, strings.TrimSpace(fmt.Sprintf("%s %s %s", r.Name, strings.ReplaceAll(r.Is.String(), " ", "-"), r.Why)))
		}
	}
	return lines
}
