package ringtest

import (
	"io"
	"io/fs"
	"syscall"
)

// handle is an open file of one process. It implements ring.File.
type handle struct {
	disk       *Disk
	file       *content
	generation int
	closed     bool
}

// checkOpen returns fs.ErrClosed after Close and after the end of the process that opened the file. The caller holds
// the disk's lock.
func (h *handle) checkOpen() error {
	if h.closed || h.generation != h.disk.generation {
		return fs.ErrClosed
	}
	return nil
}

// ReadAt reads the content that the process sees.
func (h *handle) ReadAt(buffer []byte, offset int64) (int, error) {
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	if err := h.checkOpen(); err != nil {
		return 0, err
	}
	if offset >= int64(len(h.file.visible)) {
		return 0, io.EOF
	}
	read := copy(buffer, h.file.visible[offset:])
	if read < len(buffer) {
		return read, io.EOF
	}
	return read, nil
}

// WriteAt writes the bytes; if an injected write fault strikes, it writes a prefix of them and returns EIO.
func (h *handle) WriteAt(data []byte, offset int64) (int, error) {
	h.disk.notifyAccess("write")
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	if err := h.checkOpen(); err != nil {
		return 0, err
	}
	if h.disk.full {
		return 0, syscall.ENOSPC
	}
	if len(data) == 0 {
		return 0, nil
	}
	if h.disk.random.Float64() < h.disk.faults.Write {
		written := h.disk.random.IntN(len(data) + 1)
		if written > 0 {
			h.file.apply(operation{offset: int(offset), data: data[:written]})
		}
		return written, syscall.EIO
	}
	h.file.apply(operation{offset: int(offset), data: data})
	return len(data), nil
}

// Size returns the length that the process sees.
func (h *handle) Size() (int64, error) {
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	if err := h.checkOpen(); err != nil {
		return 0, err
	}
	return int64(len(h.file.visible)), nil
}

// Truncate sets the length; a failed call has no effect.
func (h *handle) Truncate(size int64) error {
	h.disk.notifyAccess("truncate")
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	if err := h.checkOpen(); err != nil {
		return err
	}
	if h.disk.full {
		return syscall.ENOSPC
	}
	if h.disk.random.Float64() < h.disk.faults.Write {
		return syscall.EIO
	}
	h.file.apply(operation{length: int(size)})
	return nil
}

// Sync makes the file's content durable; the file's name becomes durable with a sync of the folder. After a failure the
// writes stay pending, and some of them may be on disk.
func (h *handle) Sync() error {
	h.disk.notifyAccess("sync")
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	if err := h.checkOpen(); err != nil {
		return err
	}
	if h.disk.full && len(h.file.pending) > 0 {
		return syscall.ENOSPC
	}
	if h.disk.random.Float64() < h.disk.faults.Sync {
		return syscall.EIO
	}
	h.file.sync()
	return nil
}

// Close closes the handle without syncing the file.
func (h *handle) Close() error {
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	if err := h.checkOpen(); err != nil {
		return err
	}
	h.closed = true
	return nil
}
