package control

import "sync"

// writeQueue holds the writes that the loop of the Node has passed to the writer and that the writer has not taken yet,
// merged into one. Adding a write never blocks, however long the disk stalls, so that heartbeats continue.
//
// The size of the queue is bounded by the Machine, not by a fixed length: a replica accepts no append and a head
// proposes no change while an earlier one is not on disk, an acceptor grants nothing beyond maxUnpersistedWrites, and
// each snapshot, which is due at the latest after records of half the size of the snapshot before (see
// snapshotSchedule), replaces all queued writes before it.
//
// It is safe for concurrent use.
type writeQueue struct {
	ready chan struct{} // holds an element while writes may be queued

	mu      sync.Mutex
	waiting bool
	batch   Persist
}

func newWriteQueue() *writeQueue { return &writeQueue{ready: make(chan struct{}, 1)} }

// put adds a write after the queued writes.
func (q *writeQueue) put(write Persist) {
	write = dropCoveredRecords(write)
	q.mu.Lock()
	if q.waiting {
		q.batch = mergeWrites(q.batch, write)
	} else {
		q.batch = write
	}
	q.waiting = true
	q.mu.Unlock()
	notify(q.ready)
}

// take removes all queued writes, merged into one; false if there are none.
func (q *writeQueue) take() (Persist, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch, waiting := q.batch, q.waiting
	q.batch, q.waiting = Persist{}, false
	return batch, waiting
}

// dropCoveredRecords removes the records of a write that its snapshot contains.
func dropCoveredRecords(write Persist) Persist {
	if write.Snapshot != nil {
		write.Records = nil
	}
	return write
}

// mergeWrites appends a later batch to a batch. The records of a batch follow its snapshot, which replaces all writes
// before it.
func mergeWrites(batch, next Persist) Persist {
	if next.Snapshot != nil {
		return next
	}
	batch.Token = next.Token
	batch.Records = append(batch.Records, next.Records...)
	return batch
}

// writeResults holds the results of writes until the loop of the Node takes them: the newest token, which covers all
// earlier ones, and whether a write has failed since. Its methods do not block. It is safe for concurrent use.
type writeResults struct {
	ready chan struct{} // holds an element while there may be results

	mu        sync.Mutex
	token     uint64 // newest token that became durable since the last take; 0: there is none
	hasFailed bool   // the write after token has failed
}

func newWriteResults() *writeResults { return &writeResults{ready: make(chan struct{}, 1)} }

// persisted records that all writes up to a token are on disk.
func (r *writeResults) persisted(token uint64) {
	r.mu.Lock()
	r.token, r.hasFailed = token, false
	r.mu.Unlock()
	notify(r.ready)
}

// failed records that the oldest pending write has failed.
func (r *writeResults) failed() {
	r.mu.Lock()
	r.hasFailed = true
	r.mu.Unlock()
	notify(r.ready)
}

// take removes the results and returns them as events, in the order in which they occurred.
func (r *writeResults) take() []Event {
	r.mu.Lock()
	token, hasFailed := r.token, r.hasFailed
	r.token, r.hasFailed = 0, false
	r.mu.Unlock()
	var events []Event
	if token > 0 {
		events = append(events, Persisted{Token: token})
	}
	if hasFailed {
		events = append(events, WriteFailed{})
	}
	return events
}

// notify puts an element into a channel of capacity 1 unless the channel is full.
func notify(ready chan struct{}) {
	select {
	case ready <- struct{}{}:
	default:
	}
}
