package ring

// Snapshot starts the next file with a snapshot of the complete state, which must include all appended records. It
// returns nil once the snapshot is on disk; older files may be overwritten from then on. The error is ErrClosed, a
// *WriteError or a *TooLargeError; the ring then continues in its current file.
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
			_ = file.Close() // err, the cause, is returned instead
		}
		return err
	}
	r.suspectSlot = noSlot
	if r.file != nil {
		_ = r.file.Close() // all acknowledged data in this file is synced, so a failure loses none
	}
	r.file = file
	r.current = &next
	return nil
}

// writeSnapshot writes the header and the snapshot of a file and syncs them. If the file was opened, it is returned
// even with an error, and the caller must close it.
func (r *Ring) writeSnapshot(slot int, payload []byte) (File, position, error) {
	name := fileName(slot)
	file, err := r.storage.Open(name, true)
	if err != nil {
		return nil, position{}, &WriteError{Operation: "create", File: name, Err: err}
	}
	length, err := file.Size()
	if err != nil {
		return file, position{}, &WriteError{Operation: "create", File: name, Err: err}
	}
	header := fileHeader{version: formatVersion, epoch: r.current.epoch + 1, nonce: r.nonce}
	headers, checksum := header.appendTo(nil)
	frame := frameHeader{epoch: uint32(header.epoch), length: uint32(len(payload)), nonce: r.nonce}
	headers, checksum = frame.appendTo(headers, checksum, payload)
	end := int64(len(headers) + len(payload))
	length, err = r.ensureSize(file, name, length, end)
	if err != nil {
		return file, position{}, err
	}
	if err := writeAndSync(file, name, headers, payload); err != nil {
		return file, position{}, err
	}
	if err := r.storage.Sync(); err != nil {
		return file, position{}, &WriteError{Operation: "sync folder", Err: err}
	}
	return file, position{
		slot:          slot,
		epoch:         header.epoch,
		sequence:      1,
		end:           end,
		checksum:      checksum,
		length:        length,
		snapshotBytes: end,
	}, nil
}

// writeAndSync writes the headers of the file and of its first frame, then the payload, and syncs the file.
func writeAndSync(file File, name string, headers, payload []byte) error {
	if _, err := file.WriteAt(headers, 0); err != nil {
		return &WriteError{Operation: "write", File: name, Err: err}
	}
	if _, err := file.WriteAt(payload, int64(len(headers))); err != nil {
		return &WriteError{Operation: "write", File: name, Err: err}
	}
	if err := file.Sync(); err != nil {
		return &WriteError{Operation: "sync", File: name, Err: err}
	}
	return nil
}

// invalidateSuspect invalidates the on-disk header of a failed snapshot's file, so that the snapshot cannot hide
// records that are appended to the current file later.
func (r *Ring) invalidateSuspect() error {
	if r.suspectSlot == noSlot {
		return nil
	}
	name := fileName(r.suspectSlot)
	file, err := r.storage.Open(name, false)
	if isNotExist(err) {
		r.suspectSlot = noSlot
		return nil
	}
	if err != nil {
		return &WriteError{Operation: "write", File: name, Err: err}
	}
	defer func() { _ = file.Close() }() // Sync reports any failed write
	if _, err := file.WriteAt(make([]byte, fileHeaderBytes), 0); err != nil {
		return &WriteError{Operation: "write", File: name, Err: err}
	}
	if err := file.Sync(); err != nil {
		return &WriteError{Operation: "sync", File: name, Err: err}
	}
	r.suspectSlot = noSlot
	return nil
}
