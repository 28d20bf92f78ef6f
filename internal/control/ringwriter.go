package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"fieldrelay/internal/ring"
)

const (
	// writeQueueLength bounds the writes that wait; the Machine gives no more promises long before.
	writeQueueLength = 256
	// writeBackoff is the wait before a write that failed is tried again.
	writeBackoff = 200 * time.Millisecond
)

// ringWriter puts Persist actions on disk, in order, and tries each again until it succeeds. One goroutine, run, owns the
// ring; the loop of the Node fills the queue.
type ringWriter struct {
	ring     *ring.Ring
	queue    chan Persist
	post     func(context.Context, Event) // to the Machine; waits for room in its queue
	counters *counters
	logger   *zap.Logger
}

func newRingWriter(opened *ring.Ring, post func(context.Context, Event), counts *counters, logger *zap.Logger) *ringWriter {
	return &ringWriter{ring: opened, queue: make(chan Persist, writeQueueLength), post: post, counters: counts, logger: logger}
}

// run writes until ctx ends, and closes the ring.
func (w *ringWriter) run(ctx context.Context) {
	defer w.close()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-w.queue:
			batch := w.coalesce(first)
			if !w.write(ctx, batch) {
				return
			}
			w.post(ctx, Persisted{Token: batch.Token})
		}
	}
}

// close loses nothing that was reported as persisted, whatever the disk says: each write is synchronous.
func (w *ringWriter) close() {
	if err := w.ring.Close(); err != nil {
		w.logger.Warn("closing the ring failed", zap.Error(err))
	}
}

// coalesce joins all writes that wait into one: a snapshot replaces what came before it.
func (w *ringWriter) coalesce(batch Persist) Persist {
	batch = dropCoveredRecords(batch)
	for {
		select {
		case next := <-w.queue:
			batch = mergeWrites(batch, next)
		default:
			return batch
		}
	}
}

// dropCoveredRecords drops the records that a snapshot contains.
func dropCoveredRecords(persist Persist) Persist {
	if persist.Snapshot != nil {
		persist.Records = nil
	}
	return persist
}

func mergeWrites(batch, next Persist) Persist {
	if next.Snapshot != nil {
		return dropCoveredRecords(next)
	}
	batch.Token = next.Token
	batch.Records = append(batch.Records, next.Records...)
	return batch
}

// write tries until the batch is on disk; it returns false when ctx has ended before.
func (w *ringWriter) write(ctx context.Context, batch Persist) bool {
	for {
		err := w.writeOnce(&batch)
		if err == nil {
			w.counters.writes.Add(1)
			return true
		}
		w.counters.failedWrites.Add(1)
		w.post(ctx, WriteFailed{})
		select {
		case <-ctx.Done():
			return false
		case <-time.After(writeBackoff):
		}
	}
}

// writeOnce clears the snapshot of the batch once that is written, so that another attempt goes on behind it.
func (w *ringWriter) writeOnce(batch *Persist) error {
	if batch.Snapshot != nil {
		if err := w.ring.Snapshot(batch.Snapshot); err != nil {
			return err
		}
		batch.Snapshot = nil
	}
	return w.ring.Append(batch.Records...)
}
