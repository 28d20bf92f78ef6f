package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"fieldrelay/internal/region/ring"
)

// writeBackoff is the delay before a failed write is retried.
const writeBackoff = 200 * time.Millisecond

// ringWriter writes Persist actions to disk, in order, and retries each until it succeeds. The goroutine run alone uses
// the ring; the loop of the Node fills the queue and takes the results. Neither waits for the other.
type ringWriter struct {
	ring     *ring.Ring
	queue    *writeQueue
	results  *writeResults
	counters *counters
	logger   *zap.Logger
}

func newRingWriter(opened *ring.Ring, counts *counters, logger *zap.Logger) *ringWriter {
	return &ringWriter{ring: opened, queue: newWriteQueue(), results: newWriteResults(), counters: counts, logger: logger}
}

// run writes until ctx ends, then closes the ring.
func (w *ringWriter) run(ctx context.Context) {
	defer w.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.queue.ready:
		}
		batch, waiting := w.queue.take()
		if !waiting {
			continue
		}
		token, ok := w.write(ctx, batch)
		if !ok {
			return
		}
		w.results.persisted(token)
	}
}

// close closes the ring. An error loses nothing that was reported as persisted, since each write is synchronous.
func (w *ringWriter) close() {
	if err := w.ring.Close(); err != nil {
		w.logger.Warn("closing the ring failed", zap.Error(err))
	}
}

// write retries until the batch is on disk, and returns its token; false if ctx ends earlier. Each retry takes up the
// writes that were queued since: a snapshot among them replaces records for which the file has no room.
func (w *ringWriter) write(ctx context.Context, batch Persist) (token uint64, ok bool) {
	for {
		err := w.writeOnce(&batch)
		if err == nil {
			w.counters.writes.Add(1)
			return batch.Token, true
		}
		w.counters.failedWrites.Add(1)
		w.results.failed()
		select {
		case <-ctx.Done():
			return 0, false
		case <-time.After(writeBackoff):
		}
		if queued, waiting := w.queue.take(); waiting {
			batch = mergeWrites(batch, queued)
		}
	}
}

// writeOnce writes the batch. It clears the batch's snapshot once the snapshot is written, so that a retry writes only
// the records.
func (w *ringWriter) writeOnce(batch *Persist) error {
	if batch.Snapshot != nil {
		if err := w.ring.Snapshot(batch.Snapshot); err != nil {
			return err
		}
		w.counters.snapshots.Add(1)
		w.counters.snapshotBytes.Add(uint64(len(batch.Snapshot)))
		batch.Snapshot = nil
	}
	return w.ring.Append(batch.Records...)
}
