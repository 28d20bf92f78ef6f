package contract

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"os"
	"sync"

	"fieldrelay/internal/sidecar/store"
)

// NewMemoryFixture returns a fixture for a store in plain files, on a MemoryFileSystem. later changes the contents of the file
// so that they declare a newer format.
func NewMemoryFixture(seed uint64, open func(l store.FileSystem, path, owner string) (store.Store, store.OpenResult, error), later func([]byte) []byte) StoreFixture {
	const path = "dir/kept"
	l := NewMemoryFileSystem(seed)
	rng := rand.New(rand.NewPCG(seed, 3))
	p := StoreFixture{
		Open:            func(owner string) (store.Store, store.OpenResult, error) { return open(l, path, owner) },
		Corrupt:         func(change func([]byte) []byte) bool { return l.Corrupt(path, change) },
		Bytes:           func() []byte { return l.Text(path) },
		SetNewerFormat:  func() { l.Corrupt(path, later) },
		DetectsRollback: true,
	}
	p.Kill = func(work func(store.Store) error) error {
		l.KillAt = 1 + rng.IntN(60)
		s, _, err := p.Open(storeOwner)
		if err == nil {
			err = work(s)
		}
		if err != nil && !errors.Is(err, errKilled) && !errors.Is(err, store.ErrFailed) {
			return err
		}
		if rng.IntN(4) == 0 {
			l.Kill()
		} else {
			l.Crash()
		}
		return nil
	}
	return p
}

// NewDiskFixture returns a fixture for a store at a path of the real file system. A killed process dies during a batch: the
// next process finds a copy of the file that was taken while the batch was being written.
func NewDiskFixture(path string, seed uint64, open func(owner string) (store.Store, store.OpenResult, error)) StoreFixture {
	rng := rand.New(rand.NewPCG(seed, 4))
	read := func() []byte {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil
		}
		return b
	}
	write := func(b []byte) bool { return os.WriteFile(path, b, 0o600) == nil }
	return StoreFixture{
		Open: open,
		Corrupt: func(change func([]byte) []byte) bool {
			b := read()
			return b != nil && write(change(b))
		},
		Bytes: read,
		Kill: func(work func(store.Store) error) error {
			s, found, err := open(storeOwner)
			if err != nil {
				return err
			}
			if found.Warning != "" {
				return errors.New("opening the store gave a warning: " + found.Warning)
			}
			k := &crashingStore{Store: s, left: rng.IntN(5), read: read, spins: rng.IntN(20_000)}
			if err := work(k); err != nil && !errors.Is(err, errKilled) {
				return err
			}
			if k.copied == nil {
				k.copied = read()
			}
			if err := s.Close(); err != nil {
				return err
			}
			if len(k.copied) > 0 && !write(k.copied) {
				return errors.New("cannot write the copy of the store back")
			}
			return nil
		},
	}
}

// crashingStore is a store whose process dies during one of its batches.
type crashingStore struct {
	store.Store
	left   int // number of batches left before the crash
	spins  int // iterations of busy work between the start of the batch and the copy
	read   func() []byte
	copied []byte
}

func (d *crashingStore) Commit(b *store.Batch) error {
	if d.copied != nil {
		return errKilled
	}
	if d.left--; d.left >= 0 {
		return d.Store.Commit(b)
	}
	before := d.read()
	var wg sync.WaitGroup
	var err error
	wg.Go(func() { err = d.Store.Commit(b) })
	for i := range d.spins { // busy work of random length, so that the copy is taken at any point of the batch
		if bytes.Count(before[:min(len(before), 64)], []byte{byte(i)}) > 64 {
			break
		}
	}
	d.copied = d.read()
	wg.Wait()
	return errors.Join(errKilled, err)
}
