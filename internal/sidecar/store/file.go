package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
)

// File is a store in one plain file that is rewritten at each batch, for state that is small and changes seldom. A second file,
// with the suffix serialSuffix, records the serial of the last batch, so that an older copy that was restored over the store's file
// is recognised.
type File struct {
	Memory
	fileSystem FileSystem
	path       string
	header     header
	unlock     func() error
	failed     bool
}

// header is the content of a file after magic and the checksum. The checksum covers all of its JSON text.
type header struct {
	Format  int               `json:"format"`
	Owner   string            `json:"owner"`
	Serial  uint64            `json:"serial"`            // serial of the last batch; each batch increments it
	Values  map[string][]byte `json:"values,omitempty"`  // values by key, in base64
	Written int64             `json:"written,omitempty"` // time of the last batch in Unix milliseconds; informational only
}

// BadSuffix is appended to the name of a file that cannot be used as a store.
const BadSuffix = ".bad"

const (
	magic             = "fieldrelay store\n"
	checksumBytes     = 8
	tempSuffix        = ".new"  // temporary file that is written before it is renamed
	serialSuffix      = ".far"  // file that records the serial of the last batch
	lockSuffix        = ".lock" // file that is locked by the process that has the store open
	fixedOverhead     = 4 << 10 // bound on the bytes of a file beside keys and values
	maxEncodedPerByte = 16      // bound on the encoded bytes per byte of key or value; the worst case is a key of one byte with an empty value
)

// OpenFile opens a store in a plain file, and creates it if it does not exist.
func OpenFile(fileSystem FileSystem, o Options) (*File, OpenResult, error) {
	if err := fileSystem.MakeDir(filepath.Dir(o.Path)); err != nil {
		return nil, OpenResult{}, err
	}
	unlock, err := lock(fileSystem, o.Path+lockSuffix, o.LockTimeout)
	if err != nil {
		return nil, OpenResult{}, err
	}
	f := &File{Memory: *NewMemory(o.MaxBytes), fileSystem: fileSystem, path: o.Path, header: header{Format: Format, Owner: o.Owner}, unlock: unlock}
	found, err := f.read()
	if err != nil {
		return nil, found, errors.Join(err, unlock())
	}
	return f, found, nil
}

// lock takes the lock of a store. While another process holds it, lock retries for the time wait.
func lock(fileSystem FileSystem, path string, wait time.Duration) (func() error, error) {
	for end := time.Now().Add(wait); ; <-time.After(lockRetryInterval) {
		unlock, err := fileSystem.Lock(path)
		if !errors.Is(err, ErrBusy) || !time.Now().Before(end) {
			return unlock, err
		}
	}
}

// Edit opens a store in a plain file, calls do and closes the store. It is for state that several processes of a sidecar change in
// turn.
func Edit(fileSystem FileSystem, o Options, do func(s Store) error) (OpenResult, error) {
	f, found, err := OpenFile(fileSystem, o)
	if err != nil {
		return found, err
	}
	return found, errors.Join(do(f), f.Close())
}

// read reads the file, and compares its serial with the recorded one.
func (f *File) read() (OpenResult, error) {
	recorded, recordedErr := f.readHeader(f.path+serialSuffix, fixedOverhead)
	h, err := f.readHeader(f.path, fixedOverhead+maxEncodedPerByte*f.maxBytes)
	switch {
	case errors.Is(err, fs.ErrNotExist) && (recordedErr != nil || recorded.Owner != f.header.Owner || recorded.Serial == 0):
		return OpenResult{Empty: true}, nil
	case errors.Is(err, fs.ErrNotExist):
		f.header.Serial = recorded.Serial
		return OpenResult{Empty: true, Warning: fmt.Sprintf("%s: the store is missing although batch %d was written; its values are lost", f.path, recorded.Serial)}, nil
	case errors.Is(err, ErrNewerFormat):
		return OpenResult{}, fmt.Errorf("%s: %w", f.path, err)
	case errors.Is(err, ErrCorrupt):
		return f.quarantine(recorded, fmt.Sprintf("%s: %v", f.path, err))
	case err != nil:
		return OpenResult{}, err
	case h.Owner != f.header.Owner:
		return OpenResult{}, fmt.Errorf("%s: %w: %q, not %q", f.path, ErrOwner, h.Owner, f.header.Owner)
	case recordedErr == nil && recorded.Owner == h.Owner && recorded.Serial > h.Serial:
		return f.quarantine(recorded, fmt.Sprintf("%s: an older copy of the store was restored: it has batch %d, the last one written was %d", f.path, h.Serial, recorded.Serial))
	}
	// An earlier process may have crashed before it synced the file: without a sync now, values that are read here could be lost by
	// the next crash.
	if err := errors.Join(f.fileSystem.Sync(f.path), f.fileSystem.SyncDir(filepath.Dir(f.path))); err != nil {
		return OpenResult{}, err
	}
	f.header.Serial = h.Serial
	for k, v := range h.Values {
		f.values[k] = v
	}
	return OpenResult{Empty: len(h.Values) == 0}, nil
}

// quarantine renames a file that cannot be used. The serial continues from the recorded one, so that the renamed file never counts
// as newer than the store.
func (f *File) quarantine(recorded header, reason string) (OpenResult, error) {
	if recorded.Owner == f.header.Owner {
		f.header.Serial = recorded.Serial
	}
	if err := f.fileSystem.Rename(f.path, f.path+BadSuffix); err != nil {
		return OpenResult{}, err
	}
	return OpenResult{Empty: true, Warning: reason + "; the file is renamed to " + filepath.Base(f.path) + BadSuffix + " and none of its values is used"}, nil
}

// readHeader reads and verifies a file. It returns ErrCorrupt for an invalid one.
func (f *File) readHeader(path string, maxBytes int) (h header, err error) {
	text, err := f.fileSystem.ReadFile(path, maxBytes+1)
	if err != nil {
		return h, err
	}
	if len(text) > maxBytes {
		return h, fmt.Errorf("%w: the file has more than %d bytes", ErrCorrupt, maxBytes)
	}
	body, ok := bytes.CutPrefix(text, []byte(magic))
	if !ok || len(body) < checksumBytes {
		return h, fmt.Errorf("%w: the file does not begin as a store does", ErrCorrupt)
	}
	if checksum(body[checksumBytes:]) != [checksumBytes]byte(body[:checksumBytes]) {
		return h, fmt.Errorf("%w: checksum mismatch", ErrCorrupt)
	}
	if err := json.Unmarshal(body[checksumBytes:], &h); err != nil {
		return h, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if h.Format > Format {
		return h, fmt.Errorf("%w: version %d, this program reads up to %d", ErrNewerFormat, h.Format, Format)
	}
	return h, nil
}

// checksum returns the xxHash64 of b in little-endian order.
func checksum(b []byte) (s [checksumBytes]byte) {
	for i, v := 0, xxhash.Sum64(b); i < checksumBytes; i, v = i+1, v>>8 {
		s[i] = byte(v)
	}
	return s
}

// encode returns the content of a file with a header.
func encode(h header) ([]byte, error) {
	body, err := json.Marshal(h)
	if err != nil {
		return nil, err
	}
	s := checksum(body)
	return append(append([]byte(magic), s[:]...), body...), nil
}

// Commit writes a batch. It replaces the file atomically, and then records the new serial in the second file.
func (f *File) Commit(b *Batch) error {
	if f.failed {
		return ErrFailed
	}
	next, err := f.valuesAfter(b)
	if err != nil {
		return err
	}
	h := f.header
	h.Serial++
	h.Written = time.Now().UnixMilli()
	h.Values = next
	err = f.write(f.path, h)
	h.Values = nil
	if err == nil {
		err = f.write(f.path+serialSuffix, h)
	}
	if err != nil {
		f.failed = true
		return fmt.Errorf("store: %s: %w", f.path, err)
	}
	f.header, f.values = h, next
	return nil
}

// write replaces a file atomically: it writes and syncs a temporary file, renames it, and syncs the folder.
func (f *File) write(path string, h header) error {
	text, err := encode(h)
	if err == nil {
		err = f.fileSystem.WriteFile(path+tempSuffix, text)
	}
	if err == nil {
		err = f.fileSystem.Sync(path + tempSuffix)
	}
	if err == nil {
		err = f.fileSystem.Rename(path+tempSuffix, path)
	}
	if err == nil {
		err = f.fileSystem.SyncDir(filepath.Dir(path))
	}
	return err
}

// Close releases the lock of the store. Afterwards the store accepts no batch.
func (f *File) Close() error {
	if f.unlock == nil {
		return nil
	}
	unlock := f.unlock
	f.unlock, f.failed = nil, true
	return unlock()
}

// WithFormat returns the content of a plain file with the version of its format replaced, as a later program would write it. It is
// for tests.
func WithFormat(text []byte, format int) []byte {
	var h header
	if len(text) < len(magic)+checksumBytes || json.Unmarshal(text[len(magic)+checksumBytes:], &h) != nil {
		return text
	}
	h.Format = format
	text, _ = encode(h)
	return text
}
