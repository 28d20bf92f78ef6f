package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"

	"fieldrelay/internal/view"
)

// keeper keeps a voter's state in a folder: one bbolt file, synced at each change. A nil keeper keeps nothing.
type keeper struct {
	db *bbolt.DB
}

const (
	keptFile  = "voter.db"
	openWait  = 5 * time.Second // for the file, which a process that ends may still hold
	keptOwner = "owner"
)

var (
	metaBucket  = []byte("meta")
	entryBucket = []byte("entries")
)

// openKeeper opens the state of a member of a fleet and reads it. That of another member is not touched.
func openKeeper(folder, fleet, name string) (*keeper, *view.Kept, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, nil, err
	}
	db, err := bbolt.Open(filepath.Join(folder, keptFile), 0o600, &bbolt.Options{Timeout: openWait})
	if err != nil {
		return nil, nil, err
	}
	k := &keeper{db}
	kept := &view.Kept{}
	err = db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		entries, err2 := tx.CreateBucketIfNotExists(entryBucket)
		if err := errors.Join(err, err2); err != nil {
			return err
		}
		owner := fleet + "/" + name
		if was := meta.Get([]byte(keptOwner)); was != nil && string(was) != owner {
			return fmt.Errorf("the state is that of %s, not of %s", was, owner)
		} else if was == nil {
			if err := meta.Put([]byte(keptOwner), []byte(owner)); err != nil {
				return err
			}
		}
		kept.Voter, kept.Era = read(meta, "voter"), read(meta, "era")
		kept.Hard = append([]byte(nil), meta.Get([]byte("hard"))...)
		kept.Snapshot = append([]byte(nil), meta.Get([]byte("snapshot"))...)
		return entries.ForEach(func(index, data []byte) error {
			kept.Entries = append(kept.Entries, view.Entry{Index: binary.BigEndian.Uint64(index), Data: append([]byte(nil), data...)})
			return nil
		})
	})
	if err != nil {
		return nil, nil, errors.Join(err, db.Close())
	}
	return k, kept, nil
}

func read(b *bbolt.Bucket, key string) uint64 {
	if v := b.Get([]byte(key)); len(v) == 8 {
		return binary.BigEndian.Uint64(v)
	}
	return 0
}

// save keeps a change, on disk when it returns.
func (k *keeper) save(c view.Change) error {
	if k == nil {
		return nil
	}
	return k.db.Update(func(tx *bbolt.Tx) error {
		meta, entries := tx.Bucket(metaBucket), tx.Bucket(entryBucket)
		var errs []error
		put := func(key string, value []byte) { errs = append(errs, meta.Put([]byte(key), value)) }
		if c.Forget {
			for _, key := range []string{"voter", "era", "hard", "snapshot"} {
				errs = append(errs, meta.Delete([]byte(key)))
			}
			errs = append(errs, drop(entries, nil))
		}
		if c.Voter != 0 {
			put("voter", binary.BigEndian.AppendUint64(nil, c.Voter))
			put("era", binary.BigEndian.AppendUint64(nil, c.Era))
		}
		if c.Hard != nil {
			put("hard", c.Hard)
		}
		if len(c.Entries) > 0 {
			errs = append(errs, drop(entries, func(index uint64) bool { return index >= c.Entries[0].Index }))
			for _, e := range c.Entries {
				errs = append(errs, entries.Put(binary.BigEndian.AppendUint64(nil, e.Index), e.Data))
			}
		}
		if c.Snapshot != nil {
			put("snapshot", c.Snapshot)
			last, err := view.SnapshotIndex(c.Snapshot)
			errs = append(errs, err, drop(entries, func(index uint64) bool { return index <= last }))
		}
		return errors.Join(errs...)
	})
}

// drop deletes entries; which is nil: all.
func drop(b *bbolt.Bucket, which func(index uint64) bool) error {
	c := b.Cursor()
	for key, _ := c.First(); key != nil; key, _ = c.Next() {
		if which == nil || which(binary.BigEndian.Uint64(key)) {
			if err := c.Delete(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (k *keeper) close() error {
	if k == nil {
		return nil
	}
	return k.db.Close()
}
