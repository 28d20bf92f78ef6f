package store

import (
	"errors"
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// FileSystem is the files under a File. The contract puts one in that tears, cuts and fills up.
type FileSystem interface {
	// MakeDir makes a folder, and those above it, if it is not there.
	MakeDir(dir string) error
	// ReadFile reads a file, most bytes of it at the most.
	ReadFile(path string, maxBytes int) ([]byte, error)
	// WriteFile replaces what is in a file, or makes one. It outlives a crash once Sync has returned.
	WriteFile(path string, text []byte) error
	// Sync flushes a file to the disk.
	Sync(path string) error
	// Rename replaces to by from. It outlives a crash once SyncDir has returned.
	Rename(from, to string) error
	// SyncDir flushes the names in a folder to the disk.
	SyncDir(dir string) error
	// Lock takes a lock that ends with the process; ErrBusy: another one has it.
	Lock(path string) (unlock func() error, err error)
}

// OSFileSystem is the system's files.
type OSFileSystem struct{}

// MakeDir makes a folder, if it is not there.
func (OSFileSystem) MakeDir(dir string) error { return os.MkdirAll(dir, 0o700) }

// ReadFile reads a file.
func (OSFileSystem) ReadFile(path string, maxBytes int) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return io.ReadAll(io.LimitReader(f, int64(maxBytes)))
}

// WriteFile writes a file.
func (OSFileSystem) WriteFile(path string, text []byte) error { return os.WriteFile(path, text, 0o600) }

// Sync has a file kept.
func (OSFileSystem) Sync(path string) error {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Rename renames a file, over one that is there.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// SyncDir has the names of a folder kept.
func (OSFileSystem) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock locks a file.
func (OSFileSystem) Lock(path string) (func() error, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close() // nothing was written
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, ErrBusy
		}
		return nil, err
	}
	return f.Close, nil
}
