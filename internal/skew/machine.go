package skew

import (
	"fmt"
	"math/rand/v2"
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

func reasonSuffix(why []string) string {
	if len(why) == 0 {
		return ""
	}
	return ": " + strings.Join(why, "; ")
}
