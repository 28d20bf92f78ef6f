package ring

import (
	"math"
)

const (
	// growthBytes is the step in which a file is made longer.
	growthBytes = 256 << 10
	// maxRetainedBuffer is the largest buffer that is kept from one append to the next.
	maxRetainedBuffer = 64 << 10
)

// Append writes records behind those that are there. It returns nil once all of them are on disk. The error
// is a *WriteError or a *TooLargeError; then the ring is as before, though some of the records may come back
// at the next recovery, in order from the first, if no later append succeeds.
func (r *Ring) Append(records ...Record) error {
	if r.closed {
		return ErrClosed
	}
	if len(records) == 0 {
		return nil
	}
	if r.file == nil {
		if err := r.Snapshot(nil); err != nil {
			return err
		}
	}
	if err := r.invalidateSuspect(); err != nil {
		return err
	}
	next, err := r.appendRecords(*r.current, records)
	if err != nil {
		r.nonce = r.options.Nonce()
		return err
	}
	*r.current = next
	return nil
}

// appendRecords writes and syncs records at a position and returns the one after them.
func (r *Ring) appendRecords(at position, records []Record) (position, error) {
	start := at.end
	r.buffer = r.buffer[:0]
	for _, record := range records {
		if err := r.encodeRecord(&at, record); err != nil {
			return position{}, err
		}
	}
	name := fileName(at.slot)
	length, err := r.ensureSize(r.file, name, at.length, at.end)
	if err != nil {
		return position{}, err
	}
	at.length = length
	if _, err := r.file.WriteAt(r.buffer, start); err != nil {
		return position{}, &WriteError{Operation: "write", File: name, Err: err}
	}
	if err := r.file.Sync(); err != nil {
		return position{}, &WriteError{Operation: "sync", File: name, Err: err}
	}
	if cap(r.buffer) > maxRetainedBuffer {
		r.buffer = nil
	}
	return at, nil
}

// encode appends a record's frame to the buffer and moves the position behind it.
func (r *Ring) encodeRecord(at *position, record Record) error {
	if len(record.Payload) > maxPayloadBytes || at.sequence == math.MaxUint32 {
		return &TooLargeError{Need: int64(len(record.Payload)), Limit: maxPayloadBytes}
	}
	frame := frameHeader{
		epoch:    uint32(at.epoch),
		sequence: at.sequence,
		length:   uint32(len(record.Payload)),
		kind:     record.Kind,
		nonce:    r.nonce,
	}
	r.buffer, at.checksum = frame.appendTo(r.buffer, at.checksum, record.Payload)
	r.buffer = append(r.buffer, record.Payload...)
	at.end += frameHeaderBytes + int64(len(record.Payload))
	at.sequence++
	return nil
}

// Snapshot begins the next file with a snapshot of the whole state, which must contain everything that was
// appended. It returns nil once the snapshot is on disk; older files may be overwritten from then on. The
// error is a *WriteError or a *TooLargeError; then the ring goes on as before in its current file.
func (r *Ring) Snapshot(payload []byte) error {
	if r.closed {
		return ErrClosed
	}
	slot := (r.current.slot + 1) % r.options.Files
	need := int64(fileHeaderBytes+frameHeaderBytes) + int64(len(payload))
	if limit := r.fileLimit(); need > limit || len(payload) > maxPayloadBytes {
		return &TooLargeError{Need: need, Limit: limit}
	}
	r.suspectSlot = slot
	file, next, err := r.writeSnapshot(slot, payload)
	if err != nil {
		r.nonce = r.options.Nonce()
		if file != nil {
			_ = file.Close()
		}
		return err
	}
	r.suspectSlot = noSlot
	if r.file != nil {
		_ = r.file.Close()
	}
	r.file = file
	r.current = &next
	return nil
}

// writeSnapshot writes and syncs the start of a file. The file that it opened is returned with an error too.
func (r *Ring) writeSnapshot(slot int, payload []byte) (File, position, error) {
	name := fileName(slot)
	file, err := r.files.Open(name, true)
	if err != nil {
		return nil, position{}, &WriteError{Operation: "create", File: name, Err: err}
	}
	length, err := file.Size()
	if err != nil {
		return file, position{}, &WriteError{Operation: "create", File: name, Err: err}
	}
	header := fileHeader{version: formatVersion, epoch: r.current.epoch + 1, nonce: r.nonce}
	start, chain := header.appendTo(nil)
	frame := frameHeader{epoch: uint32(header.epoch), length: uint32(len(payload)), nonce: r.nonce}
	start, chain = frame.appendTo(start, chain, payload)
	end := int64(len(start) + len(payload))
	length, err = r.ensureSize(file, name, length, end)
	if err != nil {
		return file, position{}, err
	}
	if err := writeAndSync(file, name, start, payload); err != nil {
		return file, position{}, err
	}
	if err := r.files.Sync(); err != nil {
		return file, position{}, &WriteError{Operation: "sync folder", Err: err}
	}
	return file, position{
		slot:          slot,
		epoch:         header.epoch,
		sequence:      1,
		end:           end,
		checksum:      chain,
		length:        length,
		snapshotBytes: end,
	}, nil
}

func writeAndSync(file File, name string, start, payload []byte) error {
	if _, err := file.WriteAt(start, 0); err != nil {
		return &WriteError{Operation: "write", File: name, Err: err}
	}
	if _, err := file.WriteAt(payload, int64(len(start))); err != nil {
		return &WriteError{Operation: "write", File: name, Err: err}
	}
	if err := file.Sync(); err != nil {
		return &WriteError{Operation: "sync", File: name, Err: err}
	}
	return nil
}

// invalidateSuspect makes the header of a failed snapshot's file invalid, on disk, so that it cannot hide
// what is appended to the current file from now on.
func (r *Ring) invalidateSuspect() error {
	if r.suspectSlot == noSlot {
		return nil
	}
	name := fileName(r.suspectSlot)
	file, err := r.files.Open(name, false)
	if isNotExist(err) {
		r.suspectSlot = noSlot
		return nil
	}
	if err != nil {
		return &WriteError{Operation: "write", File: name, Err: err}
	}
	defer func() { _ = file.Close() }()
	if _, err := file.WriteAt(make([]byte, fileHeaderBytes), 0); err != nil {
		return &WriteError{Operation: "write", File: name, Err: err}
	}
	if err := file.Sync(); err != nil {
		return &WriteError{Operation: "sync", File: name, Err: err}
	}
	r.suspectSlot = noSlot
	return nil
}

// fileLimit is a file's share of the bound on all files.
func (r *Ring) fileLimit() int64 {
	return max(r.options.MaxBytes/int64(r.options.Files), r.options.FileBytes)
}

// ensureSize makes a file long enough and returns its length.
func (r *Ring) ensureSize(file File, name string, length, need int64) (int64, error) {
	if need <= length && length >= r.options.FileBytes {
		return length, nil
	}
	limit := r.fileLimit()
	if need > limit {
		return length, &TooLargeError{Need: need, Limit: limit}
	}
	wanted := r.options.FileBytes
	if need > wanted {
		wanted = min((need+growthBytes-1)/growthBytes*growthBytes, limit)
	}
	if err := file.Truncate(wanted); err != nil {
		return length, &WriteError{Operation: "grow", File: name, Err: err}
	}
	return wanted, nil
}
