// Package store persists state across restarts of a process: a voter's log, suspensions and editions of rules. There are three
// implementations of Store, which all pass the contract tests of internal/testkit/contract: a plain file, memory for tests, and a
// bbolt file. The last one is in a package of its own, so that programs with little state do not link bbolt.
package store

import (
	"errors"
	"fmt"
	"time"
)

// Store is a key-value store. Only one goroutine may use it at a time. Keys have 1 to MaxKeyBytes bytes; values are never nil.
type Store interface {
	// Get returns a copy of the value last committed under a key.
	Get(key string) (value []byte, ok bool)
	// Each calls do for every key with a prefix, in the order of the keys. do must not call the store.
	Each(prefix string, do func(key string, value []byte) error) error
	// Commit applies a batch atomically. Once it has returned nil, the batch is durable: it outlives the process, also after a
	// loss of power. After an error other than ErrFull it is unknown whether the batch was applied, and the store accepts no
	// further batch until it is opened again.
	Commit(b *Batch) error
	// Close releases the store, so that another process can open it. A second call does nothing.
	Close() error
}

// OpenResult describes the state in which a store was found when it was opened.
type OpenResult struct {
	// Empty is set if there was no value, or none that can be used.
	Empty bool
	// Warning is a line for the operator if a store was lost, or was found and cannot be used; in the latter case its file was
	// renamed with BadSuffix. Empty: no problem was found.
	Warning string
}

// Errors of opening a store or of committing a batch.
var (
	// ErrBusy means that another process has the store open.
	ErrBusy = errors.New("store: in use by another process")
	// ErrNewerFormat means that a later version of the program wrote the store, which is left untouched.
	ErrNewerFormat = errors.New("store: written in a newer format")
	// ErrOwner means that the store belongs to another owner. It is left untouched.
	ErrOwner = errors.New("store: belongs to another owner")
	// ErrFull means that a batch would exceed Options.MaxBytes. The batch was not applied.
	ErrFull = errors.New("store: batch exceeds the size limit of the store")
	// ErrCorrupt means that a file is not a valid store. The functions that open a store handle this error: they rename the file with
	// BadSuffix, open an empty store, and set OpenResult.Warning.
	ErrCorrupt = errors.New("not a valid store")
	// ErrFailed means that an earlier batch failed or that the store is closed, so that it accepts no further batch.
	ErrFailed = errors.New("store: no further batch accepted after an earlier failure")
)

// Format is the version of the format in which stores are written. A store of a higher version is refused.
const Format = 1

// Constants of stores.
const (
	MaxKeyBytes       = 256                   // maximum length of a key
	lockRetryInterval = 20 * time.Millisecond // interval of attempts to lock a store that is busy
)

// Options configure a store when it is opened.
type Options struct {
	Path        string
	Owner       string        // owner of the store, up to 200 bytes; a store of another owner is left untouched
	MaxBytes    int           // bound on the total bytes of keys and values
	LockTimeout time.Duration // wait for another process to release the store; 0: no wait
}

// Batch is a list of changes that are committed together. The zero Batch changes nothing.
type Batch struct {
	ops []Op
}

// Op is one change of a batch.
type Op struct {
	Key   string // key to change, or the first key of a range to delete
	To    string // end of the range to delete, not included; empty: only Key is changed
	Value []byte // value to set; nil: Key is deleted
}

// Put sets the value of a key to a copy of value.
func (b *Batch) Put(key string, value []byte) {
	b.ops = append(b.ops, Op{Key: key, Value: append([]byte{}, value...)})
}

// Delete deletes a key, if it exists.
func (b *Batch) Delete(key string) { b.ops = append(b.ops, Op{Key: key}) }

// DeleteRange deletes all keys from one, included, to another, not included.
func (b *Batch) DeleteRange(from, to string) {
	if from < to {
		b.ops = append(b.ops, Op{Key: from, To: to})
	}
}

// Empty reports whether the batch changes nothing.
func (b *Batch) Empty() bool { return len(b.ops) == 0 }

// Ops returns the changes in their order, or an error if a key has an invalid length.
func (b *Batch) Ops() ([]Op, error) {
	for _, o := range b.ops {
		if o.Key == "" || len(o.Key) > MaxKeyBytes || len(o.To) > MaxKeyBytes {
			return nil, fmt.Errorf("store: invalid key of %d bytes, expected 1 to %d", len(o.Key), MaxKeyBytes)
		}
	}
	return b.ops, nil
}
