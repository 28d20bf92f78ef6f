package skew

import (
	"encoding/hex"
	"fmt"
	"time"

	"fieldrelay/internal/rules"
	"fieldrelay/internal/view"
)

// held is an edition whose content is here.
type cachedEdition struct {
	edition  rules.Edition
	compiled *rules.Compiled // nil: it cannot be read
	err      error
	trial    rules.Trial
	usedAt   time.Duration
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
