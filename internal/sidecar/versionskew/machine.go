package versionskew

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"fieldrelay/internal/sidecar/rules"
	"fieldrelay/internal/sidecar/view"
)

// Machine is one member's part in the check of rules. It is not safe for concurrent use.
type Machine struct {
	cfg Config
	rng *rand.Rand
	now time.Duration
	out []Action

	editions       map[string]*cachedEdition // by digest
	enforced       *rules.Compiled           // the edition in force here; nil: none so far
	enforcedDigest string
	behind         string        // why the edition of the view is not in force here; empty: it is
	contentDue     time.Duration // of the next request for its content

	// Forwarding of offers. Several trials are remembered: with one alone, the offers of two would be forwarded forever.
	forwardedTrials []uint64
	paceStart       time.Duration // begin of the pace in which forwards counts
	forwards        int           // offers forwarded in that pace

	// The edition that is pushed here.
	pushed       *rules.Edition // nil: none, or it is settled
	pushedDigest string
	pushedPhase  Phase // as the leader last reported it
	draftDue     time.Duration

	// The leader's part.
	isLeader   bool
	lastAgreed view.Rules
	agreedAt   time.Duration // when lastAgreed changed, as seen here
	drafts     []rules.Edition
	offer      *offer            // the trial under way; nil: none
	rejections map[string]string // reasons by digest
}

// New makes a machine. now is the present time on the monotonic clock that Step is called with.
func New(cfg Config, now time.Duration) *Machine {
	m := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Boot^0x5ce0)), now: now,
		editions: make(map[string]*cachedEdition), rejections: make(map[string]string)}
	if cfg.Stored.Number > 0 {
		m.enforced, m.enforcedDigest = m.load(cfg.Stored).compiled, editionDigest(cfg.Stored)
	}
	return m
}

// Edition returns the edition in force here; nil: none.
func (m *Machine) Edition() *rules.Compiled { return m.enforced }

// Behind returns why the edition of this member's view is not in force here; empty: it is.
func (m *Machine) Behind() string { return m.behind }

// Next is the time by which Step has to be called with Tick, if no event comes before.
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

// Step takes an event at a time that is not before that of the last call.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	m.out, m.now = nil, max(now, m.now)
	// Before the event: a draft may be the first sign for a process that it leads.
	if leads := m.cfg.Leader() == m.cfg.Name; leads != m.isLeader {
		m.isLeader, m.agreedAt = leads, m.now
		m.offer, m.drafts = nil, nil // drafts are sent again to the next leader
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

// log reports something to the operator; alert says that something has to be done about it.
func (m *Machine) log(alert bool, format string, args ...any) {
	m.out = append(m.out, LogEntry{Text: fmt.Sprintf(format, args...), Alert: alert})
}

// send sends a message to a member, which may be this one.
func (m *Machine) send(to string, msg Message) {
	if to == m.cfg.Name {
		m.receive(to, m.cfg.Boot, msg)
	} else if to != "" {
		m.out = append(m.out, Send{To: to, Message: msg})
	}
}

// receive takes in a message of a member. boot is of the process that sent it.
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

// reasonSuffix is the end of a line with reasons, if there are any.
func reasonSuffix(reasons []string) string {
	if len(reasons) == 0 {
		return ""
	}
	return ": " + strings.Join(reasons, "; ")
}
