package control

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/ring"
)

// Limits on writes.
const (
	// slowWriteThreshold is the time after which a pending write makes the disk count as unhealthy.
	slowWriteThreshold = time.Second
	// maxUnpersistedWrites is the maximum number of pending writes, not counting those of registers. At the limit, the
	// acceptor for views makes no promises.
	maxUnpersistedWrites = 16
	// maxUnpersistedRegisterWrites is the maximum number of pending writes of registers.
	maxUnpersistedRegisterWrites = 256
	// snapshotBytes and snapshotRecords bound the records that are written after a small snapshot before the next
	// snapshot is due.
	snapshotBytes   = 256 << 10
	snapshotRecords = 4096
	// After a large snapshot, the records may take half of its size, and one record for each bytesPerSnapshotRecord of
	// it. The size of all snapshots is thus in proportion to that of the records, however large the state is.
	snapshotShare          = 2
	bytesPerSnapshotRecord = 512
)

// diskQueue holds the writes that are not on disk yet, oldest first. It enforces write-ahead logging: the answer of an
// acceptor and the acknowledgement of a replica are sent only once the corresponding record is on disk, since a machine
// must not lose in a restart the state that other machines rely on.
type diskQueue struct {
	clock  *clock
	output *stepOutput
	// snapshot encodes the complete state that the disk must contain once all pending writes are on disk.
	snapshot func() []byte

	pending   []pendingWrite
	lastToken uint64
	failed    bool // the oldest write has failed at least once
	schedule  snapshotSchedule
}

type pendingWrite struct {
	token    uint64
	started  time.Duration
	forChain bool                    // the replica of the chain waits for this write
	replies  []chain.OutgoingMessage // messages to send once the write is on disk
	// forRegisters: the write contains registers. activeEpoch is then the epoch that becomes durable with the write; 0
	// if the write does not change the epoch.
	forRegisters bool
	activeEpoch  uint64
}

// persist requests a write of records, or of a snapshot if one is due.
func (d *diskQueue) persist(records []ring.Record, forChain bool, replies []chain.OutgoingMessage) {
	d.enqueue(records, pendingWrite{forChain: forChain, replies: replies})
}

// enqueue requests a write of records, and adds the write to the pending writes.
func (d *diskQueue) enqueue(records []ring.Record, write pendingWrite) {
	d.lastToken++
	write.token = d.lastToken
	write.started = d.clock.now
	d.pending = append(d.pending, write)
	action := Persist{Token: d.lastToken, Records: records}
	d.schedule.add(records)
	if d.schedule.due {
		action.Snapshot = d.snapshot()
		d.schedule.restart(len(action.Snapshot))
	}
	d.output.add(action)
}

// persistThenSend sends a message once a record is on disk.
func (d *diskQueue) persistThenSend(record ring.Record, to *pb.Replica, message *pb.Message) {
	d.persist([]ring.Record{record}, false, []chain.OutgoingMessage{{To: to, Message: message}})
}

// persistStart writes a snapshot at the start if one is due.
func (d *diskQueue) persistStart() {
	if d.schedule.due {
		d.persist(nil, false, nil)
	}
}

// next removes and returns the oldest pending write if its token is not above the given one.
func (d *diskQueue) next(token uint64) (pendingWrite, bool) {
	if len(d.pending) == 0 || d.pending[0].token > token {
		return pendingWrite{}, false
	}
	done := d.pending[0]
	d.pending = d.pending[1:]
	return done, true
}

// isHealthy reports whether writes succeed, and within slowWriteThreshold.
func (d *diskQueue) isHealthy() bool {
	if d.failed {
		return false
	}
	return len(d.pending) == 0 || d.clock.now-d.pending[0].started < slowWriteThreshold
}

// acceptsPromises reports whether a promise about a view may still be queued.
func (d *diskQueue) acceptsPromises() bool {
	return len(d.pending)-d.registerWrites() < maxUnpersistedWrites
}

// acceptsRegisters reports whether a write of registers may still be queued.
func (d *diskQueue) acceptsRegisters() bool {
	return d.registerWrites() < maxUnpersistedRegisterWrites
}

// registerWrites is the number of pending writes of registers.
func (d *diskQueue) registerWrites() int {
	count := 0
	for _, write := range d.pending {
		if write.forRegisters {
			count++
		}
	}
	return count
}

// persistSnapshot requests a write of a snapshot, whether one is due or not.
func (d *diskQueue) persistSnapshot(write pendingWrite) {
	d.schedule.due = true
	d.enqueue(nil, write)
}

// snapshotSchedule decides when a snapshot is due, by the amount written since the last one and its size.
type snapshotSchedule struct {
	due        bool
	records    int
	bytes      int
	maxRecords int // after a small snapshot
	lastBytes  int // size of the last snapshot
}

func (s *snapshotSchedule) add(records []ring.Record) {
	for _, record := range records {
		s.records++
		s.bytes += len(record.Payload)
	}
	if s.records >= max(s.maxRecords, s.lastBytes/bytesPerSnapshotRecord) ||
		s.bytes >= max(snapshotBytes, s.lastBytes/snapshotShare) {
		s.due = true
	}
}

// restart starts over after a snapshot of the given size.
func (s *snapshotSchedule) restart(size int) {
	*s = snapshotSchedule{maxRecords: s.maxRecords, lastBytes: size}
}
