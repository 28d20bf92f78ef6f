package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"time"

	"go.etcd.io/bbolt"

	"fieldrelay/internal/sidecar/store"
	"fieldrelay/internal/sidecar/store/bolt"
	"fieldrelay/internal/sidecar/view"
)

// voterStore stores a voter's state in a folder, in one bbolt file that is synced at each change. A nil voterStore stores nothing.
type voterStore struct {
	store store.Store
}

const (
	voterFile        = "voter.db"
	maxVoterBytes    = 64 << 20        // never reached in practice: the log of the consensus engine is compacted long before
	storeOpenTimeout = 5 * time.Second // wait for the lock of the file, which a process that is shutting down may still hold
	entryPrefix      = "entry/"        // followed by the index in 16 hexadecimal digits, so that keys sort by index
	entryRangeEnd    = "entry0"        // first key after all keys with entryPrefix
)

// openVoterStore opens the stored state of a member of a fleet and reads it. It returns an error for another member's store and
// leaves that untouched. unusable is a log line that says why a state that was found cannot be used; empty: no such state was found.
func openVoterStore(folder, fleet, name string) (opened *voterStore, stored *view.StoredState, unusable string, err error) {
	s, found, err := bolt.Open(store.Options{Path: filepath.Join(folder, voterFile), Owner: fleet + "/" + name, MaxBytes: maxVoterBytes, LockTimeout: storeOpenTimeout}, upgradeVoterStore)
	if err != nil {
		return nil, nil, "", err
	}
	opened, stored = &voterStore{s}, &view.StoredState{}
	stored.Voter, stored.Era = opened.readNumber("voter"), opened.readNumber("era")
	stored.HardState, _ = s.Get("hard")
	stored.Snapshot, _ = s.Get("snapshot")
	err = s.Each(entryPrefix, func(key string, data []byte) error {
		index, err := strconv.ParseUint(key[len(entryPrefix):], 16, 64)
		stored.Entries = append(stored.Entries, view.Entry{Index: index, Data: data})
		return err
	})
	if err != nil {
		return nil, nil, "", errors.Join(err, s.Close())
	}
	return opened, stored, found.Warning, nil
}

// upgradeVoterStore copies the state from the two buckets in which earlier versions of this program stored it.
func upgradeVoterStore(tx *bbolt.Tx, b *store.Batch) error {
	meta, entries := tx.Bucket([]byte("meta")), tx.Bucket([]byte("entries"))
	for _, key := range []string{"voter", "era", "hard", "snapshot"} {
		if v := meta.Get([]byte(key)); v != nil {
			b.Put(key, v)
		}
	}
	if entries == nil {
		return nil
	}
	return entries.ForEach(func(index, data []byte) error {
		if len(index) != 8 {
			return fmt.Errorf("upgrade of the voter's state: the index of a log entry has %d bytes instead of 8", len(index))
		}
		b.Put(entryKey(binary.BigEndian.Uint64(index)), data)
		return nil
	})
}

// entryKey returns the key of a log entry.
func entryKey(index uint64) string { return fmt.Sprintf("%s%016x", entryPrefix, index) }

// readNumber returns the number stored under a key; 0: there is none, or its length is wrong.
func (v *voterStore) readNumber(key string) uint64 {
	if data, ok := v.store.Get(key); ok && len(data) == 8 {
		return binary.BigEndian.Uint64(data)
	}
	return 0
}

// save stores a change. The change is synced to disk when save returns.
func (v *voterStore) save(c view.Change) error {
	if v == nil {
		return nil
	}
	var b store.Batch
	if c.Forget {
		for _, key := range []string{"voter", "era", "hard", "snapshot"} {
			b.Delete(key)
		}
		b.DeleteRange(entryPrefix, entryRangeEnd)
	}
	if c.Voter != 0 {
		b.Put("voter", binary.BigEndian.AppendUint64(nil, c.Voter))
		b.Put("era", binary.BigEndian.AppendUint64(nil, c.Era))
	}
	if c.HardState != nil {
		b.Put("hard", c.HardState)
	}
	if len(c.Entries) > 0 {
		b.DeleteRange(entryKey(c.Entries[0].Index), entryRangeEnd)
		for _, e := range c.Entries {
			b.Put(entryKey(e.Index), e.Data)
		}
	}
	if c.Snapshot != nil {
		b.Put("snapshot", c.Snapshot)
		last, err := view.SnapshotIndex(c.Snapshot)
		if err != nil {
			return err
		}
		b.DeleteRange(entryPrefix, entryKey(last+1))
	}
	return v.store.Commit(&b)
}

// close closes the file.
func (v *voterStore) close() error {
	if v == nil {
		return nil
	}
	return v.store.Close()
}
