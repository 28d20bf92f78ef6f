package contract

import (
	"errors"
	"io/fs"
	"strings"
	"testing"

	"fieldrelay/internal/sidecar/store"
)

// broken makes faulty file stores: layer wraps the file system, wrap the store, redo decides about a second attempt to open after
// an error, and owner replaces the owner that opens the store.
func broken(layer func(store.FileSystem) store.FileSystem, wrap func(store.Store) store.Store, redo func(l store.FileSystem, path string, err error) bool, owner string) StoreMaker {
	const most = 4 << 10
	return StoreMaker{Most: most, Begin: func(t T, seed uint64) StoreFixture {
		return NewMemoryFixture(seed, func(l store.FileSystem, path, who string) (store.Store, store.OpenResult, error) {
			under := l
			if layer != nil {
				l = layer(l)
			}
			if owner != "" {
				who = owner
			}
			f, found, err := store.OpenFile(l, store.Options{Path: path, Owner: who, MaxBytes: most})
			if err != nil && redo != nil && redo(under, path, err) {
				f, found, err = store.OpenFile(l, store.Options{Path: path, Owner: who, MaxBytes: most})
			}
			if err != nil {
				return nil, found, err
			}
			if wrap != nil {
				return wrap(f), found, nil
			}
			return f, found, nil
		}, func(text []byte) []byte { return store.WithFormat(text, store.Format+1) })
	}}
}

type unsynced struct{ store.FileSystem }

func (unsynced) Sync(string) error { return nil }

type unlocked struct{ store.FileSystem }

func (unlocked) Lock(string) (func() error, error) { return func() error { return nil }, nil }

// forgetful hides the file that records how far the store has come.
type forgetful struct{ store.FileSystem }

func (f forgetful) ReadFile(path string, most int) ([]byte, error) {
	if strings.HasSuffix(path, ".far") {
		return nil, fs.ErrNotExist
	}
	return f.FileSystem.ReadFile(path, most)
}

// halving commits a part of a batch that is over the size limit.
type halving struct{ store.Store }

func (h halving) Commit(b *store.Batch) error {
	if err := h.Store.Commit(b); !errors.Is(err, store.ErrFull) {
		return err
	}
	return put(h.Store, "a", "half")
}

type lossy struct{ store.Store }

func (l lossy) Each(prefix string, do func(string, []byte) error) error {
	return l.Store.Each(prefix, func(k string, v []byte) error {
		if len(v) == 0 {
			return nil // treats an empty value as missing
		}
		return do(k, v)
	})
}

// stubborn makes stores that cannot be opened when their data is corrupt.
func stubborn() StoreMaker {
	m := broken(nil, nil, nil, "")
	begin := m.Begin
	m.Begin = func(t T, seed uint64) StoreFixture {
		p := begin(t, seed)
		open := p.Open
		p.Open = func(owner string) (store.Store, store.OpenResult, error) {
			s, found, err := open(owner)
			if err == nil && found.Warning != "" {
				return nil, found, errors.Join(errors.New(found.Warning), s.Close())
			}
			return s, found, err
		}
		return p
	}
	return m
}

// The suite must report the violated clause of each faulty store, and none of a correct store.
func TestBrokenStoresAreNamed(t *testing.T) {
	wipe := func(which error) func(l store.FileSystem, path string, err error) bool {
		return func(l store.FileSystem, path string, err error) bool {
			return errors.Is(err, which) && l.Rename(path, path+".gone") == nil
		}
	}
	for want, m := range map[string]StoreMaker{
		"a batch is applied completely and in order":                        broken(nil, func(s store.Store) store.Store { return lossy{s} }, nil, ""),
		"a batch over the size limit is rejected completely":                broken(nil, func(s store.Store) store.Store { return halving{s} }, nil, ""),
		"acknowledged batches survive a crash":                              broken(func(l store.FileSystem) store.FileSystem { return unsynced{l} }, nil, nil, ""),
		"corrupt or foreign data gives one warning line and an empty store": stubborn(),
		"a newer format is rejected unchanged":                              broken(nil, nil, wipe(store.ErrNewerFormat), ""),
		"another owner's store is rejected unchanged":                       broken(nil, nil, nil, "anybody"),
		"a restored older copy is detected":                                 broken(func(l store.FileSystem) store.FileSystem { return forgetful{l} }, nil, nil, ""),
		"one process at a time can open the store":                          broken(func(l store.FileSystem) store.FileSystem { return unlocked{l} }, nil, nil, ""),
	} {
		names := Broken(t, StoreClauses, m)
		found := false
		for _, n := range names {
			found = found || n == want
		}
		if !found {
			t.Errorf("violation of %q not reported; reported: %q", want, names)
		}
	}
	if names := Broken(t, StoreClauses, broken(nil, nil, nil, "")); len(names) > 0 {
		t.Errorf("suite reported violations of a correct store: %q", names)
	}
}
