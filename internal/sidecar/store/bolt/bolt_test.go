package bolt_test

import (
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"

	"fieldrelay/internal/sidecar/store"
	"fieldrelay/internal/sidecar/store/bolt"
	"fieldrelay/internal/testkit/contract"
)

const maxBytes = 4 << 10

func options(path, owner string) store.Options {
	return store.Options{Path: path, Owner: owner, MaxBytes: maxBytes}
}

// A process that crashes in the middle of a batch is simulated by a copy of the file that is taken meanwhile.
func TestBolt(t *testing.T) {
	contract.Run(t, contract.StoreClauses, contract.StoreMaker{Most: maxBytes, Begin: func(t contract.T, seed uint64) contract.StoreFixture {
		path := filepath.Join(t.TempDir(), "kept.db")
		p := contract.NewDiskFixture(path, seed, func(owner string) (store.Store, store.OpenResult, error) {
			return bolt.Open(options(path, owner), nil)
		})
		p.SetNewerFormat = func() {
			db, err := bbolt.Open(path, 0o600, nil)
			if err == nil {
				err = errors.Join(db.Update(func(tx *bbolt.Tx) error {
					return tx.Bucket([]byte("meta")).Put([]byte("format"), binary.BigEndian.AppendUint64(nil, store.Format+1))
				}), db.Close())
			}
			if err != nil {
				t.Logf("format version not raised: %v", err)
			}
		}
		return p
	}})
}

// The values of an earlier program's file are taken over when the file is first opened.
func TestBoltUpgradesAnEarlierFormat(t *testing.T) {
	path := filepath.Join(t.TempDir(), "voter.db")
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucket([]byte("meta"))
		return errors.Join(err, meta.Put([]byte("owner"), []byte("me")), meta.Put([]byte("hard"), []byte("h")))
	}), db.Close()); err != nil {
		t.Fatal(err)
	}
	for range 2 { // the second time, the file is already upgraded
		s, found, err := bolt.Open(options(path, "me"), func(tx *bbolt.Tx, b *store.Batch) error {
			b.Put("hard", tx.Bucket([]byte("meta")).Get([]byte("hard")))
			return nil
		})
		if err != nil || found.Empty || found.Warning != "" {
			t.Fatal(found, err)
		}
		if v, ok := s.Get("hard"); !ok || string(v) != "h" {
			t.Errorf("value of hard is %q, expected \"h\"", v)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := os.Stat(path + ".bad"); err == nil {
		t.Error("the file was renamed as one that cannot be used")
	}
}
