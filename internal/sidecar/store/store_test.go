package store_test

import (
	"errors"
	"path/filepath"
	"testing"

	"fieldrelay/internal/sidecar/store"
	"fieldrelay/internal/testkit/contract"
)

const maxBytes = 4 << 10

func options(path, owner string) store.Options {
	return store.Options{Path: path, Owner: owner, MaxBytes: maxBytes}
}

func TestMemory(t *testing.T) {
	contract.Run(t, contract.StoreClauses, contract.StoreMaker{Most: maxBytes, Begin: func(contract.T, uint64) contract.StoreFixture {
		return contract.StoreFixture{Open: func(string) (store.Store, store.OpenResult, error) {
			return store.NewMemory(maxBytes), store.OpenResult{Empty: true}, nil
		}}
	}})
}

// The plain file, on a file system that tears writes that were not synced.
func TestFile(t *testing.T) {
	contract.Run(t, contract.StoreClauses, contract.StoreMaker{Most: maxBytes, Begin: func(t contract.T, seed uint64) contract.StoreFixture {
		return contract.NewMemoryFixture(seed, func(l store.FileSystem, path, owner string) (store.Store, store.OpenResult, error) {
			return store.OpenFile(l, options(path, owner))
		}, laterFile)
	}})
}

// laterFile returns the content of a plain file with the version of the next format.
func laterFile(text []byte) []byte { return store.WithFormat(text, store.Format+1) }

// The plain file, on the file system of the operating system.
func TestFileOnDisk(t *testing.T) {
	contract.Run(t, contract.StoreClauses, contract.StoreMaker{Most: maxBytes, Begin: func(t contract.T, seed uint64) contract.StoreFixture {
		path := filepath.Join(t.TempDir(), "kept")
		p := contract.NewDiskFixture(path, seed, func(owner string) (store.Store, store.OpenResult, error) {
			return store.OpenFile(store.OSFileSystem{}, options(path, owner))
		})
		p.DetectsRollback, p.Kill = true, nil // crashes are tested in TestFile, on a FileSystem: a copy of the path alone lacks the second file
		p.SetNewerFormat = func() { p.Corrupt(laterFile) }
		return p
	}})
}

// A batch that fails because the disk is full leaves the earlier values, and the store accepts no batch until it is opened again.
func TestFullDisk(t *testing.T) {
	l := contract.NewMemoryFileSystem(1)
	open := func() *store.File {
		f, _, err := store.OpenFile(l, options("d/kept", "me"))
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	f := open()
	putA := func(value []byte) error {
		var b store.Batch
		b.Put("a", value)
		return f.Commit(&b)
	}
	if err := putA([]byte("1")); err != nil {
		t.Fatal(err)
	}
	l.Space = 700
	if err := putA(make([]byte, 600)); err == nil || errors.Is(err, store.ErrFull) {
		t.Errorf("commit on a full disk: error %v, expected one other than ErrFull", err)
	}
	if err := putA([]byte("2")); !errors.Is(err, store.ErrFailed) {
		t.Errorf("commit after a failed one: error %v, expected ErrFailed", err)
	}
	if err := f.Close(); err != nil {
		t.Errorf("close after a failed commit: %v", err)
	}
	f = open()
	if v, ok := f.Get("a"); !ok || string(v) != "1" {
		t.Errorf("value of a after reopening is %q, expected \"1\"", v)
	}
	if err := putA([]byte("2")); err != nil {
		t.Errorf("commit after reopening: %v", err)
	}
}
