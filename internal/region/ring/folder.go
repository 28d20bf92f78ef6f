package ring

import (
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Folder is a folder of the file system. It implements Storage, and is not safe for concurrent use.
type Folder struct {
	path         string
	parentSynced bool                                      // the folder's own entry in its parent is durable
	sync         func(path string) (found bool, err error) // syncs one folder; found: the folder exists
}

// NewFolder returns the folder at a path. A missing folder is created together with its first file.
func NewFolder(path string) *Folder { return &Folder{path: path, sync: syncFolder} }

// Permissions of the folders and files that a Folder creates.
const (
	folderMode = 0o755
	fileMode   = 0o644
)

// List returns the names of all entries that are not folders; none if the folder is missing.
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

// Open opens a file for reading and writing, see Storage.
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

// Sync makes the names of the files durable, and on its first success also the folder's own entry in its parent. If the
// folder is missing, Sync does nothing.
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

// syncFolder syncs a folder and reports whether it exists.
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

// osFile is a file of the file system. It implements File.
type osFile struct {
	*os.File
}

// Size returns the length in bytes.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Sync uses fdatasync, which skips metadata that is not needed to read the data back, such as times.
func (f osFile) Sync() error {
	for {
		err := syscall.Fdatasync(int(f.Fd()))
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}
