// Package store keeps what outlives a process: a voter's log, suspensions,
// editions of rules. There are three kinds, which all pass the contract of
// internal/testkit/contract: a plain file, memory for tests, and, in a package of its
// own so that who keeps little links none of it, a bbolt file.
package store

import (
	"errors"
	"fmt"
	"time"
)

// Store holds values under keys. It belongs to one goroutine at a time. Keys are 1 to MostKey bytes; values are never nil.
type Store interface {
	// Get gives the value of a key as it was last committed, a copy.
	Get(key string) (value []byte, ok bool)
	// Each calls do for every key that begins with prefix, by key. do must not call the store.
	Each(prefix string, do func(key string, value []byte) error) error
	// Commit does all of a batch or nothing. When it returns nil, the batch is there after the end of the process at any
	// later moment, also one by loss of power; an error other than ErrFull leaves open which of the two it is, and the
	// store takes nothing more until it is opened again.
	Commit(b *Batch) error
	// Close gives the store up to the next process. A second call does nothing.
	Close() error
}

// OpenResult is what was there when a store was opened.
type OpenResult struct {
	// Empty tells that nothing was there, or nothing that can be used.
	Empty bool
	// Warning is a line for the operator where something was there and is not used; it has been set aside. Empty: all is well.
	Warning string
}

// What keeps a store from being opened or from taking a batch.
var (
	// ErrBusy is that another process has the store open.
	ErrBusy = errors.New("store: in use by another process")
	// ErrNewerFormat is that a later version of the program wrote it. It is not touched.
	ErrNewerFormat = errors.New("store: of a later format")
	// ErrOwner is that it belongs to somebody else. It is not touched.
	ErrOwner = errors.New("store: of another owner")
	// ErrFull is that a batch would make the store larger than it may be. Nothing of it was done.
	ErrFull = errors.New("store: full")
	// ErrCorrupt is that what is there is no whole store. Who opens one sets such a thing aside and tells it in Found.
	ErrCorrupt = errors.New("not a whole store")
	// ErrFailed is that an earlier batch failed.
	ErrFailed = errors.New("store: broken by an earlier failure")
)

// Format is the form in which stores are written. A store of a higher one is refused.
const Format = 1

// Bounds.
const (
	MaxKeyBytes       = 256 // bytes of a key
	lockRetryInterval = 20 * time.Millisecond
)

// Options are what a store is opened with.
type Options struct {
	Path        string
	Owner       string        // whose it is, up to 200 bytes; somebody else's is not touched
	MaxBytes    int           // bytes of keys and values that it takes
	LockTimeout time.Duration // for a process that ends and still has it; 0: none
}

// Batch is a set of changes. The zero Batch changes nothing.
type Batch struct {
	ops []Op
}

// Op is one change.
type Op struct {
	Key   string // or the first of a range
	To    string // the first key behind the range, all of which is deleted; empty: one key
	Value []byte // nil: it is deleted
}

// Put sets a value.
func (b *Batch) Put(key string, value []byte) {
	b.ops = append(b.ops, Op{Key: key, Value: append([]byte{}, value...)})
}

// Delete removes a key, if it is there.
func (b *Batch) Delete(key string) { b.ops = append(b.ops, Op{Key: key}) }

// DeleteRange removes all keys from one on that are before another.
func (b *Batch) DeleteRange(from, to string) {
	if from < to {
		b.ops = append(b.ops, Op{Key: from, To: to})
	}
}

// Empty tells whether the batch changes nothing.
func (b *Batch) Empty() bool { return len(b.ops) == 0 }

// Ops are the changes, in their order. A key that no store takes is the error.
func (b *Batch) Ops() ([]Op, error) {
	for _, o := range b.ops {
		if o.Key == "" || len(o.Key) > MaxKeyBytes || len(o.To) > MaxKeyBytes {
			return nil, fmt.Errorf("store: a key of %d bytes, 1 to %d are taken", len(o.Key), MaxKeyBytes)
		}
	}
	return b.ops, nil
}
