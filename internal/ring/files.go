package ring

import (
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Files is the folder that a ring keeps its files in.
type Files interface {
	// List returns the names of the files in the folder, none if the folder is missing.
	List() ([]string, error)
	// Open opens a file for reading and writing. If it is missing it is made if create is set; otherwise the
	// error is fs.ErrNotExist.
	Open(name string, create bool) (File, error)
	// Sync makes the folder's list of files last.
	Sync() error
}

// File is one open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Size returns the length in bytes.
	Size() (int64, error)
	// Truncate sets the length; bytes that are added are zero.
	Truncate(size int64) error
	// Sync returns once all earlier writes are on disk.
	Sync() error
}

// Folder is a folder of the operating system. It implements Files.
type Folder struct {
	path         string
	parentSynced bool                                      // the folder's own name lasts in the folder that holds it
	sync         func(path string) (found bool, err error) // of one folder
}

// NewFolder returns the folder with a path. It is made when the first file is.
func NewFolder(path string) *Folder { return &Folder{path: path, sync: syncFolder} }

// Permissions of what a Folder makes.
const (
	folderMode = 0o755
	fileMode   = 0o644
)

// List returns the names of the regular files.
func (f *Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "list the folder")
	}
	var names []string
	for _, entry := range entries {
		if !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// Open opens a file for reading and writing.
func (f *Folder) Open(name string, create bool) (File, error) {
	flags := os.O_RDWR
	if create {
		flags |= os.O_CREATE
		if err := os.MkdirAll(f.path, folderMode); err != nil {
			return nil, err
		}
	}
	file, err := os.OpenFile(filepath.Join(f.path, name), flags, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

// Sync makes the folder's list of files last, and the first time the folder's own name. A folder that is missing
// has nothing to sync.
func (f *Folder) Sync() error {
	found, err := f.sync(f.path)
	if err != nil || !found || f.parentSynced {
		return err
	}
	if _, err := f.sync(filepath.Dir(f.path)); err != nil {
		return err
	}
	f.parentSynced = true
	return nil
}

// syncFolder reports whether the folder is there.
func syncFolder(path string) (found bool, err error) {
	folder, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	syncErr := folder.Sync()
	return true, errors.CombineErrors(syncErr, folder.Close())
}

type osFile struct {
	*os.File
}

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Sync uses fdatasync, which leaves out what reading the data back does not need.
func (f osFile) Sync() error {
	for {
		err := syscall.Fdatasync(int(f.Fd()))
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}
