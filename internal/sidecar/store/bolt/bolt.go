// Package bolt is a store in a bbolt file, of which a batch writes only what it
// changes: for a log.
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

// Store is an open file. It is a store.Store.
type Store struct {
	db       *bbolt.DB
	maxBytes int
	size     int // of keys and values
	failed   bool
}

var (
	valuesBucket = []byte("values")
	metaBucket   = []byte("meta")
)

// Each value is followed by a sum of it and its key: bbolt does not see a bit that flips in a value.
const checksumBytes = 8

// Open opens a store. upgrade, if it is not nil, is called once with a file that an earlier program wrote in a form of
// its own, to say what of it goes on.
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
	return s, store.OpenResult{Empty: true, Warning: path + ": " + reason + "; it is set aside as " + filepath.Base(path) + store.BadSuffix + " and nothing of it is used"}, err
}

// fileContent is what a file was found to hold.
type fileContent struct {
	empty       bool // no value
	initialized bool // it has this program's form
	legacy      bool // it has values in an earlier form
	size        int  // of keys and values
}

// open opens and looks through the whole file: what is torn shows here and not in the middle of an election.
func (s *Store) open(o store.Options, upgrade func(*bbolt.Tx, *store.Batch) error) (found store.OpenResult, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a file cut short is a fault of the memory that maps it
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

// openDatabase opens the file, and says of each way to fail what it means for the store.
func openDatabase(o store.Options) (*bbolt.DB, error) {
	if info, err := os.Stat(o.Path); err == nil && info.Size() == 0 {
		return nil, fmt.Errorf("%w: it is empty", store.ErrCorrupt)
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
	default: // shorter than a page, or a folder
		if info, err2 := os.Stat(o.Path); err2 != nil || info.IsDir() {
			return nil, err
		}
		return nil, fmt.Errorf("%w: %w", store.ErrCorrupt, err)
	}
}

// readAll looks through the whole file.
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
		return read, fmt.Errorf("%w: its format has no form", store.ErrCorrupt)
	case binary.BigEndian.Uint64(format) > store.Format:
		return read, fmt.Errorf("%s: %w: %d, this program reads up to %d", o.Path, store.ErrNewerFormat, binary.BigEndian.Uint64(format), store.Format)
	}
	values := tx.Bucket(valuesBucket)
	if values == nil {
		return read, fmt.Errorf("%w: no values", store.ErrCorrupt)
	}
	read.empty, read.initialized = true, true
	err = values.ForEach(func(k, v []byte) error {
		read.empty = false
		value, ok := verifyValue(k, v)
		if !ok {
			return fmt.Errorf("%w: the value of %q does not fit its sum", store.ErrCorrupt, k)
		}
		read.size += len(k) + len(value)
		return nil
	})
	return read, err
}

// initialize gives the file its form, with the values of an earlier one.
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

// closeDamaged closes a file that may not be what it should.
func (s *Store) closeDamaged() {
	defer func() { _ = recover() }() // its memory may be gone
	_ = s.db.Close()                 // it is set aside, or not opened for another reason that is told
	s.db = nil
}

func verifyValue(key, stored []byte) ([]byte, bool) {
	if len(stored) < checksumBytes {
		return nil, false
	}
	value := stored[:len(stored)-checksumBytes]
	return value, binary.BigEndian.Uint64(stored[len(value):]) == valueChecksum(key, value)
}

func valueChecksum(key, value []byte) uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{key, {0}, value} {
		_, _ = d.Write(part) // a digest takes everything
	}
	return d.Sum64()
}

// Get gives a value.
func (s *Store) Get(key string) (value []byte, ok bool) {
	_ = s.db.View(func(tx *bbolt.Tx) error { // it fails once the store is closed: there is no value then
		if v := tx.Bucket(valuesBucket).Get([]byte(key)); v != nil {
			value, ok = append([]byte{}, v[:len(v)-checksumBytes]...), true
		}
		return nil
	})
	return value, ok
}

// Each goes through the keys with a prefix.
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

// Commit writes a batch and has it synced.
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

// batchWriter writes the operations of a batch within a transaction, and counts what the file then holds.
type batchWriter struct {
	values *bbolt.Bucket
	size   int
}

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

// removeRange removes the keys from one to below another.
func (w *batchWriter) removeRange(from []byte, to string) error {
	c := w.values.Cursor()
	for k, v := c.Seek(from); k != nil && string(k) < to; k, v = c.Seek(from) {
		if err := w.remove(k, v); err != nil {
			return err
		}
	}
	return nil
}

func (w *batchWriter) remove(key, stored []byte) error {
	w.size -= len(key) + len(stored) - checksumBytes
	return w.values.Delete(key)
}

// Close gives it up.
func (s *Store) Close() error {
	if s.db == nil {
		return nil
	}
	db := s.db
	s.failed = true
	return db.Close()
}
