package member

import (
	"slices"
)

// syncWithSeed asks for the table at an address to join by: soon and again while nobody is there, seldom afterwards, when
// only an address at which nobody known stands is of use (two sides that have forgotten each other).
func (m *Machine) syncWithSeed() {
	alone := m.Present() == 1
	if !alone {
		m.joinBackoff = joinBackoffMin * m.cfg.Pace
		m.seedSyncDue = m.now + seedSyncInterval*m.cfg.Pace/2 + m.jitter(seedSyncInterval*m.cfg.Pace)
	} else {
		m.seedSyncDue = m.now + m.joinBackoff/2 + m.jitter(m.joinBackoff)
		m.joinBackoff = min(2*m.joinBackoff, joinBackoffMax*m.cfg.Pace)
	}
	var open []string
	for _, a := range m.cfg.Join {
		if p := m.peers[m.seedNames[a]]; p != nil && p.Present() {
			continue
		}
		if a != m.cfg.Addr && !slices.ContainsFunc(m.names, func(n string) bool { return m.peers[n].Present() && m.peers[n].Addr == a }) {
			open = append(open, a)
		}
	}
	if len(open) == 0 {
		return
	}
	m.joinAddr, m.joinSeq = open[m.rng.IntN(len(open))], m.nextSeq()
	m.sendSync(Record{Addr: m.joinAddr}, Sync, m.joinSeq)
}

// compare exchanges tables with one that goes on having another one.
func (m *Machine) compareDigest(with Record, digest uint64) {
	if digest == m.presentDigest() {
		m.divergedSince = -1
		if m.equalDigests++; m.equalDigests >= equalDigestsToSettle { // what all know need not be told: after many joins that would take minutes
			m.broadcasts.dropSettled()
		}
		return
	}
	m.equalDigests = 0
	if m.divergedSince < 0 {
		m.divergedSince = m.now
	}
	if m.now-m.divergedSince > syncAfter*m.cfg.Pace && m.syncDue <= m.now {
		m.syncDue = m.now + syncAfter*m.cfg.Pace + m.jitter(syncAfter*m.cfg.Pace)
		m.sendSync(with, Sync, 0)
	}
}

// sum is the digest of those present: the same where the same processes are believed to be there.
func (m *Machine) presentDigest() uint64 {
	if m.digestValid {
		return m.digest
	}
	m.digest, m.presentCount, m.digestValid = recordHash(m.self), 1, true
	for _, p := range m.peers {
		if p.Present() {
			m.presentCount++
			m.digest ^= recordHash(p.Record)
		}
	}
	return m.digest
}

func (m *Machine) sendSync(to Record, kind Kind, seq uint64) {
	all := make([]Record, 0, len(m.names)+1)
	all = append(all, m.self)
	if kind == SyncReply || to.Name != "" {
		for _, name := range m.names {
			all = append(all, m.peers[name].Record)
		}
	}
	m.out = append(m.out, Send{To: to, Message: Message{Kind: kind, Seq: seq, Updates: all}, Stream: true})
}

// answerSync tells all that is known, or, to those who ask after many others, whom else to ask: when most of a fleet is started
// at once, all ask the few addresses to join by.
func (m *Machine) answerSync(to Record, seq uint64) {
	if m.now-m.syncWindowStart >= m.cfg.Pace {
		m.syncWindowStart, m.syncsInWindow = m.now, 0
	}
	if m.syncsInWindow++; m.syncsInWindow <= maxFullSyncs || len(m.names) <= referrals {
		m.sendSync(to, SyncReply, seq)
		return
	}
	all := []Record{m.self}
	for _, p := range m.sample(referrals, (*peer).present) {
		all = append(all, p.Record)
	}
	m.out = append(m.out, Send{To: to, Message: Message{Kind: SyncReply, Seq: seq, Updates: all, Partial: true}, Stream: true})
}
