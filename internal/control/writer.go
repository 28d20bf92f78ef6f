package control

import (
	"context"
	"time"

	"fieldrelay/internal/ring"
)

const (
	// writeQueue bounds the writes that wait; the machine stops promising long before.
	writeQueue = 256
	// writePause is the wait before a write that failed is tried again.
	writePause = 200 * time.Millisecond
)

// writer puts Persist actions on disk, in order, and tries again until each is there.
type writer struct {
	ring     *ring.Ring
	queue    chan Persist
	post     func(context.Context, Event)
	counters *counters
}

func newWriter(opened *ring.Ring, post func(context.Context, Event), counts *counters) *writer {
	return &writer{ring: opened, queue: make(chan Persist, writeQueue), post: post, counters: counts}
}

func (w *writer) run(ctx context.Context) {
	defer func() { _ = w.ring.Close() }()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-w.queue:
			batch := w.drain(first)
			if !w.write(ctx, batch) {
				return
			}
			w.post(ctx, Persisted{Token: batch.Token})
		}
	}
}

// drain joins all writes that wait into one: a snapshot replaces what came before it.
func (w *writer) drain(batch Persist) Persist {
	batch = afterSnapshot(batch)
	for {
		select {
		case next := <-w.queue:
			batch = join(batch, next)
		default:
			return batch
		}
	}
}

// afterSnapshot drops the records that a snapshot contains.
func afterSnapshot(persist Persist) Persist {
	if persist.Snapshot != nil {
		persist.Records = nil
	}
	return persist
}

func join(batch, next Persist) Persist {
	if next.Snapshot != nil {
		return afterSnapshot(next)
	}
	batch.Token = next.Token
	batch.Records = append(batch.Records, next.Records...)
	return batch
}

// write returns false when ctx has ended.
func (w *writer) write(ctx context.Context, batch Persist) bool {
	for {
		err := w.try(&batch)
		if err == nil {
			w.counters.writes.Add(1)
			return true
		}
		w.counters.failedWrites.Add(1)
		w.post(ctx, WriteFailed{})
		select {
		case <-ctx.Done():
			return false
		case <-time.After(writePause):
		}
	}
}

func (w *writer) try(batch *Persist) error {
	if batch.Snapshot != nil {
		if err := w.ring.Snapshot(batch.Snapshot); err != nil {
			return err
		}
		batch.Snapshot = nil
	}
	return w.ring.Append(batch.Records...)
}
