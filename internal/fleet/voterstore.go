package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"time"

	"go.etcd.io/bbolt"

	"fieldrelay/internal/store"
	"fieldrelay/internal/store/bolt"
	"fieldrelay/internal/view"
)

// keeper keeps a voter's state in a folder: one bbolt file, synced at each change. A nil keeper keeps nothing.
type voterStore struct {
	store store.Store
}

const (
	voterFile        = "voter.db"
	maxVoterBytes    = 64 << 20        // bytes: the engine's log is cut long before
	storeOpenTimeout = 5 * time.Second // for the file, which a process that ends may still hold
	entryPrefix      = "entry/"        // and the number, in hexadecimal digits that sort as it does
	entryRangeEnd    = "entry0"        // behind the last of those keys
)

// openVoterStore opens the state of a member of a fleet and reads it. That of another member is not touched. why is a line on
// state that is there and cannot be used.
func openVoterStore(folder, fleet, name string) (k *voterStore, kept *view.StoredState, why string, err error) {
	s, found, err := bolt.Open(store.Options{Path: filepath.Join(folder, voterFile), Owner: fleet + "/" + name, Most: maxVoterBytes, Wait: storeOpenTimeout}, upgradeVoterStore)
	if err != nil {
		return nil, nil, "", err
	}
	k, kept = &voterStore{s}, &view.StoredState{}
	kept.Voter, kept.Era = k.readNumber("voter"), k.readNumber("era")
	kept.HardState, _ = s.Get("hard")
	kept.Snapshot, _ = s.Get("snapshot")
	err = s.Each(entryPrefix, func(key string, data []byte) error {
		index, err := strconv.ParseUint(key[len(entryPrefix):], 16, 64)
		kept.Entries = append(kept.Entries, view.Entry{Index: index, Data: data})
		return err
	})
	if err != nil {
		return nil, nil, "", errors.Join(err, s.Close())
	}
	return k, kept, found.Why, nil
}

// upgradeVoterStore takes over what programs before the store kept in two buckets of their own.
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

func entryKey(index uint64) string { return fmt.Sprintf("%s%016x", entryPrefix, index) }

func (k *voterStore) readNumber(key string) uint64 {
	if v, ok := k.store.Get(key); ok && len(v) == 8 {
		return binary.BigEndian.Uint64(v)
	}
	return 0
}

// save keeps a change, on disk when it returns.
func (k *voterStore) save(c view.Change) error {
	if k == nil {
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
	return k.store.Commit(&b)
}

func (k *voterStore) close() error {
	if k == nil {
		return nil
	}
	return k.store.Close()
}
