package ring

import "io"

// Storage is the folder in which a ring stores its files.
type Storage interface {
	// List returns the names of the files in the folder; none if the folder is missing.
	List() ([]string, error)
	// Open opens a file for reading and writing. A missing file is created if create is set; otherwise the
	// error is fs.ErrNotExist.
	Open(name string, create bool) (File, error)
	// Sync makes the names of the files durable.
	Sync() error
}

// File is one open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Size returns the length in bytes.
	Size() (int64, error)
	// Truncate sets the length; added bytes are zero.
	Truncate(size int64) error
	// Sync returns once all earlier writes are on disk.
	Sync() error
}
