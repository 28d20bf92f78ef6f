package store

import (
	"errors"
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// FileSystem is the interface to the files of a File. The contract tests use an implementation that injects torn writes, crashes and
// a full disk.
type FileSystem interface {
	// MakeDir creates a folder and its parents, if they do not exist.
	MakeDir(dir string) error
	// ReadFile reads up to maxBytes bytes of a file.
	ReadFile(path string, maxBytes int) ([]byte, error)
	// WriteFile creates a file or replaces its content. The content is durable once Sync has returned.
	WriteFile(path string, text []byte) error
	// Sync flushes the content of a file to the disk.
	Sync(path string) error
	// Rename renames from to to, replacing a file of that name. The rename is durable once SyncDir has returned.
	Rename(from, to string) error
	// SyncDir flushes the entries of a folder to the disk.
	SyncDir(dir string) error
	// Lock takes an exclusive lock, which the end of the process releases. It returns ErrBusy if another process holds the lock.
	Lock(path string) (unlock func() error, err error)
}

// OSFileSystem is the file system of the operating system.
type OSFileSystem struct{}

// MakeDir creates a folder and its parents, if they do not exist.
func (OSFileSystem) MakeDir(dir string) error { return os.MkdirAll(dir, 0o700) }

// ReadFile reads up to maxBytes bytes of a file.
func (OSFileSystem) ReadFile(path string, maxBytes int) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return io.ReadAll(io.LimitReader(f, int64(maxBytes)))
}

// WriteFile creates a file, readable by its user only, or replaces its content.
func (OSFileSystem) WriteFile(path string, text []byte) error { return os.WriteFile(path, text, 0o600) }

// Sync flushes the content of a file to the disk.
func (OSFileSystem) Sync(path string) error {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Rename renames a file, replacing an existing one.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// SyncDir flushes the entries of a folder to the disk.
func (OSFileSystem) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock locks a file by flock, and creates it if it does not exist.
func (OSFileSystem) Lock(path string) (func() error, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close() // the file is not written, so its close loses nothing
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, ErrBusy
		}
		return nil, err
	}
	return f.Close, nil
}
