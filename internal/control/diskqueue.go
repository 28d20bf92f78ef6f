package control

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/chain"
	"fieldrelay/internal/ring"
)

// Limits on writes.
const (
	// slowWriteThreshold is how long a write may take before the disk counts as unhealthy.
	slowWriteThreshold = time.Second
	// maxUnpersistedWrites is the number of writes on their way from which no promise is given any more.
	maxUnpersistedWrites = 16
	// snapshotBytes and snapshotRecords are what may follow a snapshot before the next one is due.
	snapshotBytes   = 256 << 10
	snapshotRecords = 512
)

// diskQueue holds the writes that are not on disk yet, the oldest first.
type diskQueue struct {
	waiting []pendingWrite
	next    uint64 // token
	failed  bool   // the oldest write has failed at least once
}

type pendingWrite struct {
	token   uint64
	started time.Duration
	chain   bool                    // the replica waits for it
	replies []chain.OutgoingMessage // may leave when it is on disk
}

// ringSizes decides when a snapshot is due.
type ringSizes struct {
	snapshotDue bool
	records     int
	bytes       int
	limit       int // of records
}

// persist asks for records to be written, as a snapshot of everything when that is due.
func (m *Machine) persist(records []ring.Record, forChain bool, replies []chain.OutgoingMessage) {
	m.disk.next++
	m.disk.waiting = append(m.disk.waiting, pendingWrite{
		token:   m.disk.next,
		started: m.now,
		chain:   forChain,
		replies: replies,
	})
	action := Persist{Token: m.disk.next, Records: records}
	m.sizes.add(records)
	if m.sizes.snapshotDue {
		action.Snapshot = m.snapshot()
		m.sizes = ringSizes{limit: m.sizes.limit}
	}
	m.actions = append(m.actions, action)
}

func (s *ringSizes) add(records []ring.Record) {
	for _, record := range records {
		s.records++
		s.bytes += len(record.Payload)
	}
	if s.records >= s.limit || s.bytes >= snapshotBytes {
		s.snapshotDue = true
	}
}

// snapshot is everything that must be on disk once all writes so far are.
func (m *Machine) snapshot() []byte {
	state := m.replica.State()
	records := []ring.Record{identityRecord(m.self.GetIdentity(), m.bootstrap)}
	if state.Newest.Sequence() > 0 {
		repair := state.Newest.ReplicaRepairFor(nil)
		records = append(records, writeRecord(chain.Write{Repair: repair, SynchronizedView: state.SynchronizedView}))
	}
	if state.View != nil {
		records = append(records, writeRecord(chain.Write{View: state.View, SynchronizedView: state.SynchronizedView}))
	}
	if !m.acceptor.IsEmpty() {
		records = append(records, promiseRecord(m.acceptor))
	}
	return joinSnapshot(records)
}

func (m *Machine) persisted(token uint64) {
	m.disk.failed = false
	for len(m.disk.waiting) > 0 && m.disk.waiting[0].token <= token {
		done := m.disk.waiting[0]
		m.disk.waiting = m.disk.waiting[1:]
		for _, reply := range done.replies {
			m.send(reply.To, reply.Message)
		}
		if done.chain {
			m.saved()
		}
	}
}

// saved goes on with what the replica has on disk now. The others are told at once of a view or a copy that is there:
// machines that wait to end, to join or to be copied go on by that.
func (m *Machine) saved() {
	before := m.replica.Advertised()
	m.perform(m.replica.WritesPersisted())
	m.settleOrders()
	after := m.replica.Advertised()
	if after.ViewNumber != before.ViewNumber || after.Synchronized != before.Synchronized {
		m.sendHeartbeats()
	}
}

// diskHealthy reports whether writes succeed within slowWriteThreshold.
func (m *Machine) diskHealthy() bool {
	if m.disk.failed {
		return false
	}
	return len(m.disk.waiting) == 0 || m.now-m.disk.waiting[0].started < slowWriteThreshold
}

// diskAccepts reports whether a promise may still be queued.
func (m *Machine) diskAccepts() bool { return len(m.disk.waiting) < maxUnpersistedWrites }

// voterReply queues an acceptor's answer behind its record.
func (m *Machine) voterReply(to *pb.Replica, message *pb.Message) {
	record := promiseRecord(m.acceptor)
	m.persist([]ring.Record{record}, false, []chain.OutgoingMessage{{To: to, Message: message}})
}
