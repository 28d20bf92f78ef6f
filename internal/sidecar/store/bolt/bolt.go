// Package bolt implements a store in a bbolt file. A batch writes only the pages that it changes, which suits a log.
package bolt

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"fieldrelay/internal/sidecar/store"
)

// Store is an open bbolt file. It implements store.Store.
type Store struct {
	db       *bbolt.DB
	maxBytes int
	size     int // total bytes of keys and values
	failed   bool
}

var (
	valuesBucket = []byte("values")
	metaBucket   = []byte("meta")
)

// checksumBytes is the length of the checksum of key and value that follows each stored value, since bbolt does not detect a flipped
// bit in a value.
const checksumBytes = 8

// Open opens a store, and creates it if it does not exist. upgrade, if it is not nil, is called once with a file that an earlier
// version of the program wrote in its own format, and fills the batch with the values to take over.
func Open(o store.Options, upgrade func(tx *bbolt.Tx, b *store.Batch) error) (*Store, store.OpenResult, error) {
	path := o.Path
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return nil, store.OpenResult{}, err
	}
	s := &Store{maxBytes: o.MaxBytes}
	found, err := s.open(o, upgrade)
	if !errors.Is(err, store.ErrCorrupt) {
		return s, found, err
	}
	reason := err.Error()
	if err := os.Rename(path, path+store.BadSuffix); err != nil {
		return nil, store.OpenResult{}, err
	}
	s = &Store{maxBytes: o.MaxBytes}
	_, err = s.open(o, upgrade)
	return s, store.OpenResult{Empty: true, Warning: path + ": " + reason + "; the file is renamed to " + filepath.Base(path) + store.BadSuffix + " and none of its values is used"}, err
}

// fileContent describes the content that readAll found in a file.
type fileContent struct {
	empty       bool // the file has no value
	initialized bool // the file is in this program's format
	legacy      bool // the file has values in an earlier program's format
	size        int  // total bytes of keys and values
}

// open opens the file and verifies all of it, so that damage is detected here and not in the middle of an election.
func (s *Store) open(o store.Options, upgrade func(*bbolt.Tx, *store.Batch) error) (found store.OpenResult, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // reading the mapping of a truncated file is a memory fault
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("%w: %v", store.ErrCorrupt, fault)
		}
		if err != nil && s.db != nil {
			s.closeDamaged()
		}
	}()
	if s.db, err = openDatabase(o); err != nil {
		return found, err
	}
	var read fileContent
	err = s.db.View(func(tx *bbolt.Tx) (err error) {
		read, err = readAll(tx, o)
		return err
	})
	found.Empty = read.empty
	s.size += read.size
	if err != nil || read.initialized {
		return found, err
	}
	return s.initialize(o.Owner, read.legacy, upgrade)
}

// openDatabase opens the file. It maps the errors of bbolt to those of package store.
func openDatabase(o store.Options) (*bbolt.DB, error) {
	if info, err := os.Stat(o.Path); err == nil && info.Size() == 0 {
		return nil, fmt.Errorf("%w: the file is empty", store.ErrCorrupt)
	}
	db, err := bbolt.Open(o.Path, 0o600, &bbolt.Options{Timeout: max(o.LockTimeout, time.Millisecond)})
	switch {
	case err == nil:
		return db, nil
	case errors.Is(err, bbolterrors.ErrTimeout):
		return nil, fmt.Errorf("%s: %w", o.Path, store.ErrBusy)
	case errors.Is(err, bbolterrors.ErrInvalid), errors.Is(err, bbolterrors.ErrChecksum), errors.Is(err, bbolterrors.ErrVersionMismatch):
		return nil, fmt.Errorf("%w: %w", store.ErrCorrupt, err)
	case errors.Is(err, os.ErrPermission):
		return nil, err
	default: // the file is shorter than a page, or is a folder
		if info, err2 := os.Stat(o.Path); err2 != nil || info.IsDir() {
			return nil, err
		}
		return nil, fmt.Errorf("%w: %w", store.ErrCorrupt, err)
	}
}

// readAll verifies the whole file: the structure, the owner, the version of the format and the checksum of each value.
func readAll(tx *bbolt.Tx, o store.Options) (read fileContent, err error) {
	for fault := range tx.Check() {
		return read, fmt.Errorf("%w: %w", store.ErrCorrupt, fault)
	}
	meta := tx.Bucket(metaBucket)
	if meta == nil {
		read.empty = true
		return read, nil
	}
	if was := meta.Get([]byte("owner")); was != nil && string(was) != o.Owner {
		return read, fmt.Errorf("%s: %w: %q, not %q", o.Path, store.ErrOwner, was, o.Owner)
	}
	format := meta.Get([]byte("format"))
	switch {
	case format == nil:
		read.legacy = true
		return read, nil
	case len(format) != 8:
		return read, fmt.Errorf("%w: the version of its format does not have 8 bytes", store.ErrCorrupt)
	case binary.BigEndian.Uint64(format) > store.Format:
		return read, fmt.Errorf("%s: %w: version %d, this program reads up to %d", o.Path, store.ErrNewerFormat, binary.BigEndian.Uint64(format), store.Format)
	}
	values := tx.Bucket(valuesBucket)
	if values == nil {
		return read, fmt.Errorf("%w: the bucket of values is missing", store.ErrCorrupt)
	}
	read.empty, read.initialized = true, true
	err = values.ForEach(func(k, v []byte) error {
		read.empty = false
		value, ok := verifyValue(k, v)
		if !ok {
			return fmt.Errorf("%w: checksum mismatch of the value of %q", store.ErrCorrupt, k)
		}
		read.size += len(k) + len(value)
		return nil
	})
	return read, err
}

// initialize writes the owner and the version of the format, and takes over the values of an earlier format.
func (s *Store) initialize(owner string, earlier bool, upgrade func(*bbolt.Tx, *store.Batch) error) (found store.OpenResult, err error) {
	var b store.Batch
	if earlier && upgrade != nil {
		if err := s.db.View(func(tx *bbolt.Tx) error { return upgrade(tx, &b) }); err != nil {
			return found, fmt.Errorf("%w: %w", store.ErrCorrupt, err)
		}
	}
	err = s.db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		_, err = tx.CreateBucketIfNotExists(valuesBucket)
		return errors.Join(err, meta.Put([]byte("owner"), []byte(owner)), meta.Put([]byte("format"), binary.BigEndian.AppendUint64(nil, store.Format)))
	})
	found.Empty = true
	if err == nil && !b.Empty() {
		found.Empty, err = false, s.Commit(&b)
	}
	return found, err
}

// closeDamaged closes a file that may be damaged.
func (s *Store) closeDamaged() {
	defer func() { _ = recover() }() // the memory mapping may be invalid
	_ = s.db.Close()                 // the caller reports why the file is not used
	s.db = nil
}

// verifyValue returns the value of a stored one without its checksum, and whether the checksum matches.
func verifyValue(key, stored []byte) ([]byte, bool) {
	if len(stored) < checksumBytes {
		return nil, false
	}
	value := stored[:len(stored)-checksumBytes]
	return value, binary.BigEndian.Uint64(stored[len(value):]) == valueChecksum(key, value)
}

// valueChecksum returns the checksum of a value and its key.
func valueChecksum(key, value []byte) uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{key, {0}, value} {
		_, _ = d.Write(part) // xxhash.Digest.Write never fails
	}
	return d.Sum64()
}

// Get returns a copy of the value of a key.
func (s *Store) Get(key string) (value []byte, ok bool) {
	_ = s.db.View(func(tx *bbolt.Tx) error { // View fails only once the store is closed: no value is returned then
		if v := tx.Bucket(valuesBucket).Get([]byte(key)); v != nil {
			value, ok = append([]byte{}, v[:len(v)-checksumBytes]...), true
		}
		return nil
	})
	return value, ok
}

// Each calls do for each key with a prefix, in the order of the keys.
func (s *Store) Each(prefix string, do func(key string, value []byte) error) error {
	return s.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(valuesBucket).Cursor()
		for k, v := c.Seek([]byte(prefix)); k != nil && bytes.HasPrefix(k, []byte(prefix)); k, v = c.Next() {
			if err := do(string(k), append([]byte{}, v[:len(v)-checksumBytes]...)); err != nil {
				return err
			}
		}
		return nil
	})
}

// Commit writes a batch in one transaction, which bbolt syncs to the disk.
func (s *Store) Commit(b *store.Batch) error {
	if s.failed {
		return store.ErrFailed
	}
	ops, err := b.Ops()
	if err != nil {
		return err
	}
	size := s.size
	err = s.db.Update(func(tx *bbolt.Tx) error {
		writer := batchWriter{values: tx.Bucket(valuesBucket), size: size}
		for _, o := range ops {
			if err := writer.apply(o); err != nil {
				return err
			}
		}
		size = writer.size
		if size > s.maxBytes {
			return store.ErrFull
		}
		return nil
	})
	switch {
	case err == nil:
		s.size = size
	case !errors.Is(err, store.ErrFull):
		s.failed = true
	}
	return err
}

// batchWriter writes the operations of a batch within a transaction, and updates the total bytes of keys and values.
type batchWriter struct {
	values *bbolt.Bucket
	size   int
}

// apply writes one operation.
func (w *batchWriter) apply(o store.Op) error {
	key := []byte(o.Key)
	if o.To != "" {
		return w.removeRange(key, o.To)
	}
	if v := w.values.Get(key); v != nil {
		if err := w.remove(key, v); err != nil {
			return err
		}
	}
	if o.Value == nil {
		return nil
	}
	w.size += len(key) + len(o.Value)
	return w.values.Put(key, binary.BigEndian.AppendUint64(append([]byte{}, o.Value...), valueChecksum(key, o.Value)))
}

// removeRange removes the keys from one, included, to another, not included.
func (w *batchWriter) removeRange(from []byte, to string) error {
	c := w.values.Cursor()
	for k, v := c.Seek(from); k != nil && string(k) < to; k, v = c.Seek(from) {
		if err := w.remove(k, v); err != nil {
			return err
		}
	}
	return nil
}

// remove removes a key. stored is its value with the checksum.
func (w *batchWriter) remove(key, stored []byte) error {
	w.size -= len(key) + len(stored) - checksumBytes
	return w.values.Delete(key)
}

// Close closes the file. Afterwards the store accepts no batch.
func (s *Store) Close() error {
	if s.db == nil {
		return nil
	}
	db := s.db
	s.failed = true
	return db.Close()
}
