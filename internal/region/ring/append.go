package ring

import (
	"math"
)

const (
	// growthBytes is the unit, in bytes, to which the length of a growing file is rounded up.
	growthBytes = 256 << 10
	// maxRetainedBuffer is the largest buffer, in bytes, that is reused for the next append.
	maxRetainedBuffer = 64 << 10
)

// Append appends records. It returns nil once all of them are on disk. The error is ErrClosed, a *WriteError or a
// *TooLargeError. After an error the ring is unchanged, but if no later append succeeds, the next recovery may return a
// prefix of the records.
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

// appendRecords writes and syncs records at a position and returns the position after them.
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

// encodeRecord appends the frame of a record to the buffer and advances the position.
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

// fileLimit returns the maximum length of one file, in bytes.
func (r *Ring) fileLimit() int64 {
	return max(r.options.MaxBytes/int64(r.options.Files), r.options.FileBytes)
}

// ensureSize grows a file that is shorter than needed, and returns the file's length.
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
