package controlsim

import (
	"slices"
	"time"

	"fieldrelay/internal/region/control"
	"fieldrelay/internal/region/ring"
	"fieldrelay/internal/region/ring/ringtest"
)

func (h *host) openRing() (*ring.Ring, *ring.Recovered, error) {
	return ring.Open("", ring.Options{
		Files:     2,
		FileBytes: 4 << 10,
		Storage:   h.disk,
		Nonce:     h.world.random.Uint64,
	})
}

// writeNext lets the disk work on the oldest write.
func (h *host) writeNext() {
	if h.writing || len(h.writes) == 0 || h.stalled {
		return
	}
	h.writing = true
	incarnation := h.incarnation
	h.world.after(h.world.durationBetween(time.Millisecond, 6*time.Millisecond), func() {
		if h.incarnation != incarnation || h.machine == nil {
			return
		}
		h.writing = false
		if !h.stalled {
			h.finishWrite()
		}
	})
}

// longWriteQueue is the number of waiting writes from which they are joined, as package control joins all that wait. Shorter
// queues are written one by one, so that power is lost between any two writes.
const longWriteQueue = 16

// joinLongQueue joins the writes that wait, up to the first snapshot, if there are many.
func (h *host) joinLongQueue() {
	if len(h.writes) < longWriteQueue || h.writes[0].Snapshot != nil {
		return
	}
	joined := h.writes[0]
	joined.Records = slices.Clone(joined.Records)
	rest := h.writes[1:]
	for len(rest) > 0 && rest[0].Snapshot == nil {
		joined.Records = append(joined.Records, rest[0].Records...)
		joined.Token = rest[0].Token
		rest = rest[1:]
	}
	h.writes = append([]control.Persist{joined}, rest...)
}

func (h *host) finishWrite() {
	incarnation := h.incarnation
	h.joinLongQueue()
	if err := h.writeRing(h.writes[0]); err != nil {
		h.writing = true
		h.world.after(200*time.Millisecond, func() {
			if h.incarnation == incarnation {
				h.writing = false
				h.writeNext()
			}
		})
		h.deliver(control.WriteFailed{})
		return
	}
	done := h.writes[0]
	h.writes = h.writes[1:]
	h.deliver(control.Persisted{Token: done.Token})
	h.writeNext()
}

func (h *host) writeRing(write control.Persist) error {
	if h.world.plan.mutation.loseWrites {
		return nil
	}
	if write.Snapshot != nil {
		return h.ring.Snapshot(h.world.plan.mutation.onSnapshot(write.Snapshot))
	}
	return h.ring.Append(h.world.plan.mutation.onRecords(write.Records)...)
}

// losePower ends the process, perhaps in the middle of a write.
func (h *host) losePower() {
	if h.machine != nil && len(h.writes) > 0 && h.world.chance(0.7) {
		h.disk.SetFaults(ringtest.Faults{Sync: 1})
		_ = h.writeRing(h.writes[0])
		h.disk.SetFaults(ringtest.Faults{})
	}
	h.disk.PowerLoss()
	h.endProcess()
}

// tearSnapshot takes the power while the disk is at work on the oldest snapshot that waits; false if none does.
func (h *host) tearSnapshot() bool {
	waits := slices.IndexFunc(h.writes, func(write control.Persist) bool { return write.Snapshot != nil })
	if h.machine == nil || waits < 0 {
		return false
	}
	for _, write := range h.writes[:waits] {
		_ = h.writeRing(write)
	}
	h.disk.SetFaults(ringtest.Faults{Sync: 1})
	_ = h.writeRing(h.writes[waits])
	h.disk.SetFaults(ringtest.Faults{})
	h.disk.PowerLoss()
	h.endProcess()
	return true
}

// wipe ends the process and empties the disk.
func (h *host) wipe() {
	h.endProcess()
	h.disk.Wipe()
	h.bootstrap = false
}

// snapshotOffset lies in the first snapshot frame of a ring's file.
const snapshotOffset = 60

// corrupt ends the process and damages the snapshots on its disk.
func (h *host) corrupt() {
	h.disk.Kill()
	h.endProcess()
	names, err := h.disk.List()
	if err != nil {
		h.world.checker.fail("%s: %v", h.name, err)
	}
	for _, name := range names {
		if file, err := h.disk.Open(name, false); err == nil {
			_, _ = file.WriteAt([]byte("!!!!"), snapshotOffset)
			_ = file.Sync()
		}
	}
}

func (h *host) setStalled(stalled bool) {
	h.stalled = stalled
	h.writeNext()
}

func (h *host) setFull(full bool) {
	h.full = full
	h.disk.SetFull(full)
}
