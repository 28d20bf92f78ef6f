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

// voterStore stores a voter's state in a folder: one bbolt file, synced at each change. A nil voterStore stores nothing.
type voterStore struct {
	store store.Store
}

const (
	voterFile        = "voter.db"
	maxVoterBytes    = 64 << 20        // the engine's log is compacted long before
	storeOpenTimeout = 5 * time.Second // for the file, which a process that is shutting down may still have open
	entryPrefix      = "entry/"        // followed by the index in hexadecimal digits, which sort like it
	entryRangeEnd    = "entry0"        // follows the last of those keys
)

// openVoterStore opens the state of a member of a fleet and reads it. A store of another member stays as it is. unusable says,
// as a line for the log, why there is a state that cannot be used; empty: there is none.
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

// upgradeVoterStore takes over the two buckets in which earlier versions of this program stored the state.
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
			return fmt.Errorf("an entry's number of %d bytes", len(index))
		}
		b.Put(entryKey(binary.BigEndian.Uint64(index)), data)
		return nil
	})
}

// entryKey is the key of a log entry.
func entryKey(index uint64) string { return fmt.Sprintf("%s%016x", entryPrefix, index) }

// readNumber returns a stored number; 0: there is none.
func (v *voterStore) readNumber(key string) uint64 {
	if data, ok := v.store.Get(key); ok && len(data) == 8 {
		return binary.BigEndian.Uint64(data)
	}
	return 0
}

// save stores a change. It is on disk when save returns.
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
