package versionskew

import (
	"encoding/hex"
	"fmt"
	"time"

	"fieldrelay/internal/sidecar/rules"
	"fieldrelay/internal/sidecar/view"
)

// cachedEdition is an edition whose content this member has, with the result of reading it.
type cachedEdition struct {
	edition  rules.Edition
	compiled *rules.Compiled // nil: the edition cannot be read, see err
	err      error
	trial    rules.Trial   // this member's decisions of the cases
	usedAt   time.Duration // time of the last use
}

// editionDigest returns the digest of an edition's content in hexadecimal digits.
func editionDigest(e rules.Edition) string { d := e.Digest(); return hex.EncodeToString(d[:]) }

// load reads an edition and decides its cases, unless the edition is cached. If the cache is full, load evicts an edition other than
// the one in force here.
func (m *Machine) load(e rules.Edition) *cachedEdition {
	d := editionDigest(e)
	if cached := m.editions[d]; cached != nil {
		cached.usedAt = m.now
		return cached
	}
	loaded := &cachedEdition{edition: e, usedAt: m.now}
	if loaded.compiled, loaded.err = rules.Read(e, m.cfg.Reads); loaded.err == nil {
		decide := loaded.compiled.Decide
		if m.cfg.Decide != nil {
			decide = func(q rules.Case) string { return m.cfg.Decide(loaded.compiled, q) }
		}
		loaded.trial = rules.RunTrialWith(loaded.compiled, decide)
	}
	if len(m.editions) >= maxEditions {
		m.evictEdition()
	}
	m.editions[d] = loaded
	return loaded
}

// evictEdition drops the least recently used edition from the cache, except the one in force here.
func (m *Machine) evictEdition() {
	oldest := ""
	for digest, cached := range m.editions {
		if cached.compiled != nil && cached.compiled == m.enforced {
			continue
		}
		if oldest == "" || cached.usedAt < m.editions[oldest].usedAt || cached.usedAt == m.editions[oldest].usedAt && digest < oldest {
			oldest = digest
		}
	}
	delete(m.editions, oldest)
}

// agreed returns the edition of the view that is in force at this member.
func (m *Machine) agreed() view.Rules {
	v, ok := m.cfg.View()
	if !ok {
		return view.Rules{}
	}
	return v.Rules
}

// enforceAgreed puts the edition of the view in force, once this member has its content and can read it. Without the content, it
// requests that from another member.
func (m *Machine) enforceAgreed() {
	a := m.agreed()
	if a.Number == 0 || m.enforced != nil && m.enforced.Edition.Number == a.Number && m.enforcedDigest == a.Digest {
		m.behind = ""
		return
	}
	if m.enforced != nil && a.Number < m.enforced.Edition.Number && !m.cfg.HoldsLease() && m.cfg.Mutate != OverwritesNew {
		// The view is outdated: this member has had a later one, and keeps that one's edition until it has the later view again.
		m.reportBehind(fmt.Sprintf("the view has edition %d, which is older than edition %d of this member", a.Number, m.enforced.Edition.Number))
		return
	}
	cached := m.editions[a.Digest]
	switch {
	case cached == nil && m.cfg.Mutate == HalfInForce:
		m.enforced, m.enforcedDigest = &rules.Compiled{Edition: rules.Edition{Number: a.Number}}, a.Digest
		m.out = append(m.out, Enforce{Compiled: m.enforced})
		return
	case cached == nil:
		m.reportBehind(fmt.Sprintf("this member does not have the content of edition %d yet", a.Number))
		if m.contentDue <= m.now {
			m.contentDue = m.now + contentInterval*m.cfg.Pace/2 + time.Duration(m.rng.Int64N(int64(contentInterval*m.cfg.Pace)))
			m.send(m.drawMember(), Message{Kind: ContentRequest, Digest: a.Digest})
		}
		return
	case cached.compiled == nil:
		m.reportBehind(fmt.Sprintf("edition %d: %v", a.Number, cached.err))
		m.contentDue = m.now + draftInterval*m.cfg.Pace
		return
	}
	compiled := *cached.compiled
	compiled.Edition.Number = a.Number
	cached.compiled, cached.usedAt, m.enforced, m.enforcedDigest, m.behind = &compiled, m.now, &compiled, a.Digest, ""
	m.out = append(m.out, Enforce{Compiled: &compiled})
	m.log(false, "edition %d (%.12s) in force", a.Number, a.Digest)
}

// reportBehind records why the edition of the view is not in force here, and logs a reason if it differs from the last one.
func (m *Machine) reportBehind(reason string) {
	if m.behind != reason {
		m.behind = reason
		present := "no edition"
		if m.enforced != nil {
			present = fmt.Sprintf("edition %d", m.enforced.Edition.Number)
		}
		m.log(true, "behind: %s; %s stays in force", reason, present)
	}
}

// drawMember returns a random member of the view to request content from, or nothing if it draws this member. With probability one
// half it returns the leader, which has the content of the edition that it proposed.
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
