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

// File is a store in one plain file, rewritten whole at each batch: for what is small and seldom changes. Beside it lies a
// second one that says how far it had come, so that an older copy put back in its place is known for one.
type File struct {
	Memory
	fileSystem FileSystem
	path       string
	head       header
	unlock     func() error
	failed     bool
}

// header is what a file begins with; its sum is of all that follows and of the rest of the header.
type header struct {
	Format  int               `json:"format"`
	Owner   string            `json:"owner"`
	Serial  uint64            `json:"serial"`            // of the batch; each is one higher
	Values  map[string][]byte `json:"values,omitempty"`  // in base64
	Written int64             `json:"written,omitempty"` // Unix milliseconds, for people alone
}

// BadSuffix is what the name of a file that was set aside ends with.
const BadSuffix = ".bad"

const (
	magic             = "fieldrelay store\n"
	checksumBytes     = 8
	tempSuffix        = ".new"  // what is being written
	serialSuffix      = ".far"  // how far the store had come
	lockSuffix        = ".lock" // held by the process that has it open
	fixedOverhead     = 4 << 10 // bytes of a file beside keys and values, at the most,
	maxEncodedPerByte = 16      // and of one of those: a key of one byte with an empty value is the worst
)

// OpenFile opens a store.
func OpenFile(fileSystem FileSystem, o Options) (*File, OpenResult, error) {
	if err := fileSystem.MakeDir(filepath.Dir(o.Path)); err != nil {
		return nil, OpenResult{}, err
	}
	unlock, err := lock(fileSystem, o.Path+lockSuffix, o.LockTimeout)
	if err != nil {
		return nil, OpenResult{}, err
	}
	f := &File{Memory: *NewMemory(o.MaxBytes), fileSystem: fileSystem, path: o.Path, head: header{Format: Format, Owner: o.Owner}, unlock: unlock}
	found, err := f.read()
	if err != nil {
		return nil, found, errors.Join(err, unlock())
	}
	return f, found, nil
}

// lock waits a little for a process that ends.
func lock(fileSystem FileSystem, path string, wait time.Duration) (func() error, error) {
	for end := time.Now().Add(wait); ; <-time.After(lockRetryInterval) {
		unlock, err := fileSystem.Lock(path)
		if !errors.Is(err, ErrBusy) || !time.Now().Before(end) {
			return unlock, err
		}
	}
}

// Edit opens a plain file for as long as do takes: for what several processes of a sidecar change in turn.
func Edit(fileSystem FileSystem, o Options, do func(s Store) error) (OpenResult, error) {
	f, found, err := OpenFile(fileSystem, o)
	if err != nil {
		return found, err
	}
	return found, errors.Join(do(f), f.Close())
}

func (f *File) read() (OpenResult, error) {
	recorded, recordedErr := f.readHeader(f.path+serialSuffix, fixedOverhead)
	h, err := f.readHeader(f.path, fixedOverhead+maxEncodedPerByte*f.maxBytes)
	switch {
	case errors.Is(err, fs.ErrNotExist) && (recordedErr != nil || recorded.Owner != f.head.Owner || recorded.Serial == 0):
		return OpenResult{Empty: true}, nil
	case errors.Is(err, fs.ErrNotExist):
		f.head.Serial = recorded.Serial
		return OpenResult{Empty: true, Warning: fmt.Sprintf("%s: gone, though it had come to change %d; nothing of it is known", f.path, recorded.Serial)}, nil
	case errors.Is(err, ErrNewerFormat):
		return OpenResult{}, fmt.Errorf("%s: %w", f.path, err)
	case errors.Is(err, ErrCorrupt):
		return f.quarantine(recorded, fmt.Sprintf("%s: %v", f.path, err))
	case err != nil:
		return OpenResult{}, err
	case h.Owner != f.head.Owner:
		return OpenResult{}, fmt.Errorf("%s: %w: %q, not %q", f.path, ErrOwner, h.Owner, f.head.Owner)
	case recordedErr == nil && recorded.Owner == h.Owner && recorded.Serial > h.Serial:
		return f.quarantine(recorded, fmt.Sprintf("%s: an older copy was put back, of change %d where %d was reached", f.path, h.Serial, recorded.Serial))
	}
	// What a process that died had not synced must not be read now and gone after the next crash.
	if err := errors.Join(f.fileSystem.Sync(f.path), f.fileSystem.SyncDir(filepath.Dir(f.path))); err != nil {
		return OpenResult{}, err
	}
	f.head.Serial = h.Serial
	for k, v := range h.Values {
		f.values[k] = v
	}
	return OpenResult{Empty: len(h.Values) == 0}, nil
}

// quarantine moves away what cannot be used. The count goes on, so that what was set aside never passes for newer.
func (f *File) quarantine(recorded header, reason string) (OpenResult, error) {
	if recorded.Owner == f.head.Owner {
		f.head.Serial = recorded.Serial
	}
	if err := f.fileSystem.Rename(f.path, f.path+BadSuffix); err != nil {
		return OpenResult{}, err
	}
	return OpenResult{Empty: true, Warning: reason + "; it is set aside as " + filepath.Base(f.path) + BadSuffix + " and nothing of it is used"}, nil
}

func (f *File) readHeader(path string, maxBytes int) (h header, err error) {
	text, err := f.fileSystem.ReadFile(path, maxBytes+1)
	if err != nil {
		return h, err
	}
	if len(text) > maxBytes {
		return h, fmt.Errorf("%w: more than %d bytes", ErrCorrupt, maxBytes)
	}
	body, ok := bytes.CutPrefix(text, []byte(magic))
	if !ok || len(body) < checksumBytes {
		return h, fmt.Errorf("%w: it does not begin as one", ErrCorrupt)
	}
	if checksum(body[checksumBytes:]) != [checksumBytes]byte(body[:checksumBytes]) {
		return h, fmt.Errorf("%w: its sum does not fit", ErrCorrupt)
	}
	if err := json.Unmarshal(body[checksumBytes:], &h); err != nil {
		return h, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if h.Format > Format {
		return h, fmt.Errorf("%w: %d, this program reads up to %d", ErrNewerFormat, h.Format, Format)
	}
	return h, nil
}

func checksum(b []byte) (s [checksumBytes]byte) {
	for i, v := 0, xxhash.Sum64(b); i < checksumBytes; i, v = i+1, v>>8 {
		s[i] = byte(v)
	}
	return s
}

// encode is the text of a file.
func encode(h header) ([]byte, error) {
	body, err := json.Marshal(h)
	if err != nil {
		return nil, err
	}
	s := checksum(body)
	return append(append([]byte(magic), s[:]...), body...), nil
}

// Commit writes a batch. The file is whole at each moment; the word on how far it had come follows it.
func (f *File) Commit(b *Batch) error {
	if f.failed {
		return ErrFailed
	}
	next, err := f.valuesAfter(b)
	if err != nil {
		return err
	}
	h := f.head
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
	f.head, f.values = h, next
	return nil
}

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

// Close gives it up.
func (f *File) Close() error {
	if f.unlock == nil {
		return nil
	}
	unlock := f.unlock
	f.unlock, f.failed = nil, true
	return unlock()
}

// WithFormat gives the text of a plain file the number of another format: what a later program would write, for tests.
func WithFormat(text []byte, format int) []byte {
	var h header
	if len(text) < len(magic)+checksumBytes || json.Unmarshal(text[len(magic)+checksumBytes:], &h) != nil {
		return text
	}
	h.Format = format
	text, _ = encode(h)
	return text
}
