package versionskew

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"fieldrelay/internal/sidecar/rules"
	"fieldrelay/internal/sidecar/view"
)

// Machine is the state machine of the check of rules at one member. It is not safe for concurrent use.
type Machine struct {
	cfg Config
	rng *rand.Rand
	now time.Duration
	out []Action

	editions       map[string]*cachedEdition // cached editions by digest
	enforced       *rules.Compiled           // edition in force at this member; nil: none yet
	enforcedDigest string
	behind         string        // reason why the edition of the view is not in force at this member; empty: it is in force
	contentDue     time.Duration // time of the next request for the content of the view's edition

	// Forwarding of offers. Several trials are remembered: with only one, the offers of two trials would be forwarded forever.
	forwardedTrials []uint64
	paceStart       time.Duration // start of the pace that forwards counts for
	forwards        int           // offers forwarded in that pace

	// The edition that is pushed at this member.
	pushed       *rules.Edition // nil: none is pushed, or the last one is in force or rejected
	pushedDigest string
	pushedPhase  Phase         // phase that the leader last reported
	draftDue     time.Duration // time of the next send of the draft to the leader

	// The state of a leader.
	isLeader   bool
	lastAgreed view.Rules
	agreedAt   time.Duration // time at which this member saw lastAgreed change
	drafts     []rules.Edition
	offer      *offer            // trial in progress; nil: none
	rejections map[string]string // reasons of rejections, by digest of the edition
}

// New creates a machine. now is the present time on the monotonic clock that Step is called with.
func New(cfg Config, now time.Duration) *Machine {
	m := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Boot^0x5ce0)), now: now,
		editions: make(map[string]*cachedEdition), rejections: make(map[string]string)}
	if cfg.Stored.Number > 0 {
		m.enforced, m.enforcedDigest = m.load(cfg.Stored).compiled, editionDigest(cfg.Stored)
	}
	return m
}

// Edition returns the edition in force at this member; nil: none.
func (m *Machine) Edition() *rules.Compiled { return m.enforced }

// Behind returns why the edition of this member's view is not in force at this member; empty: it is in force.
func (m *Machine) Behind() string { return m.behind }

// Next returns the time by which Step has to be called with Tick, if no event comes before.
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

// Step handles an event at a time that is not before that of the last call. It returns the actions to carry out in order.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	m.out, m.now = nil, max(now, m.now)
	// A change of the leader is handled before the event, since a draft may be the first event after this process became leader.
	if leads := m.cfg.Leader() == m.cfg.Name; leads != m.isLeader {
		m.isLeader, m.agreedAt = leads, m.now
		m.offer, m.drafts = nil, nil // members that push an edition send their drafts to the next leader again
	}
	switch event := event.(type) {
	case Received:
		m.receive(event.From.Name, event.From.Boot, event.Message)
	case Push:
		event.Edition.Number = 0
		m.load(event.Edition)
		m.pushed, m.pushedDigest, m.draftDue, m.pushedPhase = &event.Edition, editionDigest(event.Edition), m.now, Unknown
	}
	m.enforceAgreed()
	m.sendDraft()
	m.runLeader()
	return m.out
}

// log emits a line for the operator. alert is set if the operator has to act on it.
func (m *Machine) log(alert bool, format string, args ...any) {
	m.out = append(m.out, LogEntry{Text: fmt.Sprintf(format, args...), Alert: alert})
}

// send sends a message to a member, which may be this one; empty: to none.
func (m *Machine) send(to string, msg Message) {
	if to == m.cfg.Name {
		m.receive(to, m.cfg.Boot, msg)
	} else if to != "" {
		m.out = append(m.out, Send{To: to, Message: msg})
	}
}

// receive handles a message of a member. boot identifies the process that sent it.
func (m *Machine) receive(from string, boot uint64, msg Message) {
	switch msg.Kind {
	case Draft:
		if msg.Edition != nil {
			m.receiveDraft(from, *msg.Edition)
		}
	case Status:
		m.receiveStatus(msg)
	case Offer:
		if msg.Edition != nil {
			m.receiveOffer(from, msg)
		}
	case TrialReply:
		m.receiveReply(from, boot, msg)
	case ContentRequest:
		if cached := m.editions[msg.Digest]; cached != nil && from != m.cfg.Name {
			m.send(from, Message{Kind: ContentReply, Edition: &cached.edition})
		}
	case ContentReply:
		if msg.Edition != nil && editionDigest(*msg.Edition) == m.agreed().Digest {
			m.load(*msg.Edition)
		}
	}
}

// reasonSuffix returns the suffix of a line that lists reasons; empty: there are none.
func reasonSuffix(reasons []string) string {
	if len(reasons) == 0 {
		return ""
	}
	return ": " + strings.Join(reasons, "; ")
}
