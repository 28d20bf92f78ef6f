package coordination

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

const (
	// maxPendingWrites is the number of pending writes at which a machine stops making promises.
	maxPendingWrites = 24
	// maxRecordsBetweenSnapshots is how many records a disk takes before all records are rewritten.
	maxRecordsBetweenSnapshots = 60
)

// disk is the persistent storage of a machine. Writes become durable later, in order.
type disk struct {
	machine *machine
	// Durable:
	view    *pb.View
	records []*pb.RegisterRecord

	pending      []write
	recordsSince int
	syncing      bool
	stalledUntil time.Duration
}

// write is a write that is not durable yet.
type write struct {
	view    *pb.View
	records []*pb.RegisterRecord
	all     bool // the records replace all earlier records
	then    func()
}

func (d *disk) enqueueRecords(records []*pb.RegisterRecord, then func()) {
	d.recordsSince += len(records)
	if d.recordsSince > maxRecordsBetweenSnapshots {
		d.enqueueAll(then)
		return
	}
	d.enqueue(write{records: records, then: then})
}

// enqueueAll rewrites all records.
func (d *disk) enqueueAll(then func()) {
	d.recordsSince = 0
	d.enqueue(write{records: d.machine.engine.Records(), all: true, then: then})
}

func (d *disk) enqueue(next write) {
	d.pending = append(d.pending, next)
	d.sync()
}

// sync makes all pending writes durable together.
func (d *disk) sync() {
	if d.syncing || len(d.pending) == 0 {
		return
	}
	d.syncing = true
	count := len(d.pending)
	s := d.machine.simulation
	delay := max(d.stalledUntil-s.now, 0) + s.between(0.5, s.maxSyncMillis)
	s.after(delay, d.machine.duringThisRun(func() { d.synced(count) }))
}

func (d *disk) synced(count int) {
	if d.machine.simulation.now < d.stalledUntil {
		d.syncing = false
		d.sync()
		return
	}
	for range count {
		done := d.pending[0]
		done.takeEffect(d)
		d.machine.handle(func() { d.confirm(done) })
		d.pending = d.pending[1:]
	}
	d.syncing = false
	d.sync()
}

func (d *disk) confirm(done write) {
	if done.then != nil {
		done.then()
	}
}

func (w write) takeEffect(d *disk) {
	if w.view != nil {
		d.view = w.view
	}
	if w.all {
		d.records = nil
	}
	d.records = append(d.records[:len(d.records):len(d.records)], w.records...)
}

// crash drops the pending writes, except for a random number of the oldest ones if a sync is in progress.
func (d *disk) crash() {
	if d.syncing {
		for _, done := range d.pending[:d.machine.simulation.random.IntN(len(d.pending)+1)] {
			done.takeEffect(d)
		}
	}
	d.pending = nil
	d.syncing = false
	d.recordsSince = 0
}

// recover returns the durable records, for Engine.Restore.
func (d *disk) recover() []*pb.RegisterRecord {
	if !d.machine.simulation.planted.forgetPromises {
		return d.records
	}
	var kept []*pb.RegisterRecord
	for _, record := range d.records {
		if record.GetAccepted() != nil || record.GetName() == "" {
			kept = append(kept, &pb.RegisterRecord{
				Name: record.GetName(), Accepted: record.GetAccepted(), Change: record.GetChange(), ActiveEpoch: record.GetActiveEpoch(),
			})
		}
	}
	return kept
}

// activeEpoch returns the epoch whose registers are durable.
func (d *disk) activeEpoch() uint64 {
	epoch := uint64(0)
	for _, record := range d.records {
		epoch = max(epoch, record.GetActiveEpoch())
	}
	return epoch
}
