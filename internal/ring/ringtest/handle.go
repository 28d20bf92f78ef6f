package ringtest

import (
	"io"
	"io/fs"
	"syscall"
)

// handle is an open file. It is dead after its process died.
type handle struct {
	disk       *Disk
	file       *content
	generation int
	closed     bool
}

// usable must be called with the disk locked.
func (h *handle) usable() error {
	if h.closed || h.generation != h.disk.generation {
		return fs.ErrClosed
	}
	return nil
}

func (h *handle) ReadAt(buffer []byte, offset int64) (int, error) {
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	if err := h.usable(); err != nil {
		return 0, err
	}
	if offset >= int64(len(h.file.seen)) {
		return 0, io.EOF
	}
	read := copy(buffer, h.file.seen[offset:])
	if read < len(buffer) {
		return read, io.EOF
	}
	return read, nil
}

func (h *handle) WriteAt(data []byte, offset int64) (int, error) {
	h.disk.access("write")
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	if err := h.usable(); err != nil {
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
			h.file.do(operation{offset: int(offset), data: data[:written]})
		}
		return written, syscall.EIO
	}
	h.file.do(operation{offset: int(offset), data: data})
	return len(data), nil
}

func (h *handle) Size() (int64, error) {
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	if err := h.usable(); err != nil {
		return 0, err
	}
	return int64(len(h.file.seen)), nil
}

func (h *handle) Truncate(size int64) error {
	h.disk.access("truncate")
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	if err := h.usable(); err != nil {
		return err
	}
	if h.disk.full {
		return syscall.ENOSPC
	}
	if h.disk.random.Float64() < h.disk.faults.Write {
		return syscall.EIO
	}
	h.file.do(operation{length: int(size)})
	return nil
}

// Sync puts the file's bytes on disk; its name lasts once the folder is synced. When it fails, a part may be
// there: the rest stays to be written.
func (h *handle) Sync() error {
	h.disk.access("sync")
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	if err := h.usable(); err != nil {
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

func (h *handle) Close() error {
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	if err := h.usable(); err != nil {
		return err
	}
	h.closed = true
	return nil
}
