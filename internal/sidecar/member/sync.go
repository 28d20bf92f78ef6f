package member

import (
	"slices"
)

// syncWithSeed exchanges records with a random seed address at which no known process is present. While no other process is
// present, it repeats the exchange with a growing backoff. Afterwards it repeats the exchange rarely, which reconnects two sides of
// a partition whose members have removed each other from their tables.
func (m *Machine) syncWithSeed() {
	if m.Present() > 1 {
		m.joinBackoff = joinBackoffMin * m.cfg.Pace
		m.seedSyncDue = m.now + seedSyncInterval*m.cfg.Pace/2 + m.jitter(seedSyncInterval*m.cfg.Pace)
	} else {
		m.seedSyncDue = m.now + m.joinBackoff/2 + m.jitter(m.joinBackoff)
		m.joinBackoff = min(2*m.joinBackoff, joinBackoffMax*m.cfg.Pace)
	}
	unknown := m.unknownSeeds()
	if len(unknown) == 0 {
		return
	}
	m.joinAddr, m.joinSeq = unknown[m.rng.IntN(len(unknown))], m.nextSeq()
	m.sendSync(Record{Addr: m.joinAddr}, Sync, m.joinSeq)
}

// unknownSeeds returns the seed addresses at which no process is known to be present.
func (m *Machine) unknownSeeds() (addrs []string) {
	for _, addr := range m.cfg.Join {
		if p := m.peers[m.seedNames[addr]]; p != nil && p.Present() {
			continue
		}
		occupied := func(name string) bool { return m.peers[name].Present() && m.peers[name].Addr == addr }
		if addr != m.cfg.Addr && !slices.ContainsFunc(m.names, occupied) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// compareDigest processes the digest of another member, and exchanges tables with it once digests have differed for longer than
// syncAfter. Gossip alone usually makes the tables converge earlier.
func (m *Machine) compareDigest(with Record, digest uint64) {
	if digest == m.presentDigest() {
		m.divergedSince = -1
		if m.equalDigests++; m.equalDigests >= convergenceThreshold {
			m.broadcasts.dropConverged() // after many joins, transmitting all updates would take minutes
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

// presentDigest returns the digest of the processes present, including this one. Two members have the same digest if they believe
// the same processes to be present, in the same incarnations.
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

// sendSync sends all records, except in a request to a seed address, which carries only the record of this process.
func (m *Machine) sendSync(to Record, kind Kind, seq uint64) {
	records := make([]Record, 0, len(m.names)+1)
	records = append(records, m.self)
	if kind == SyncReply || to.Name != "" {
		for _, name := range m.names {
			records = append(records, m.peers[name].Record)
		}
	}
	m.out = append(m.out, Send{To: to, Message: Message{Kind: kind, Seq: seq, Updates: records}, Stream: true})
}

// answerSync answers with all records. After maxFullSyncs requests within a pace it refers requesters to other members: when most
// of a fleet is started at once, all of these processes ask the few seed addresses.
func (m *Machine) answerSync(to Record, seq uint64) {
	if m.now-m.syncWindowStart >= m.cfg.Pace {
		m.syncWindowStart, m.syncsInWindow = m.now, 0
	}
	if m.syncsInWindow++; m.syncsInWindow <= maxFullSyncs || len(m.names) <= referrals {
		m.sendSync(to, SyncReply, seq)
		return
	}
	records := []Record{m.self}
	for _, p := range m.sample(referrals, (*peer).present) {
		records = append(records, p.Record)
	}
	m.out = append(m.out, Send{To: to, Message: Message{Kind: SyncReply, Seq: seq, Updates: records, Partial: true}, Stream: true})
}

// receiveSyncReply records which process answered at a seed address, and schedules another exchange after a partial answer. The
// records in the answer have been merged already.
func (m *Machine) receiveSyncReply(sender string, reply Message) {
	if reply.Partial { // request the full table from the next member whose digest differs
		m.divergedSince = m.now - (syncAfter+1)*m.cfg.Pace
		m.syncDue = m.now + m.jitter(m.cfg.Pace)
	}
	if reply.Seq == m.joinSeq && m.joinAddr != "" && len(m.seedNames) < MaxMembers {
		m.seedNames[m.joinAddr], m.joinAddr = sender, ""
	}
}
