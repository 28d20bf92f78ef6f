package contract

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"

	"fieldrelay/internal/sidecar/store"
)

// StoreMaker opens stores.
type StoreMaker struct {
	// Begin returns a fixture for one new store.
	Begin func(t T, seed uint64) StoreFixture
	// Most is the maximum size of a store: bytes of keys and values.
	Most int
}

// StoreFixture gives access to the stored data of one store.
type StoreFixture struct {
	Open func(owner string) (store.Store, store.OpenResult, error)
	// Kill opens the store in a process that runs work, and kills this process at a point that the fixture draws; it returns
	// once the process is dead. work runs to its end or to its first error. Afterwards the store can be opened again. nil: the
	// contents end with the process, and the clauses about crashes do not apply.
	Kill func(work func(s store.Store) error) error
	// Corrupt changes the stored bytes; false: there are none. nil: the stored bytes are not accessible.
	Corrupt func(change func([]byte) []byte) bool
	// Bytes returns the stored bytes.
	Bytes func() []byte
	// SetNewerFormat makes the stored bytes declare a newer format. nil: not supported.
	SetNewerFormat func()
	// DetectsRollback reports whether the store must detect that an older copy of its data was restored.
	DetectsRollback bool
}

const (
	storeOwner = "fleet/s1"
	crashes    = 60 // number of crashes of each fixture
	crashRuns  = 4
)

// StoreClauses are the requirements on every store.
var StoreClauses = []Clause[StoreMaker]{
	{"a batch is applied completely and in order", storeBatches},
	{"a batch over the size limit is rejected completely", storeBound},
	{"acknowledged batches survive a crash", storeCrashes},
	{"corrupt or foreign data gives one warning line and an empty store", storeTorn},
	{"a newer format is rejected unchanged", storeLater},
	{"another owner's store is rejected unchanged", storeOwners},
	{"a restored older copy is detected", storeRollback},
	{"one process at a time can open the store", storeBusy},
}

func open(p StoreFixture) (store.Store, error) {
	s, found, err := p.Open(storeOwner)
	if err == nil && found.Warning != "" {
		err = errors.New("opening the store gave a warning: " + found.Warning)
	}
	return s, err
}

// filled opens a store, commits the pairs of keys and values, and closes the store.
func filled(p StoreFixture, pairs ...string) error {
	s, err := open(p)
	if err != nil {
		return err
	}
	return errors.Join(put(s, pairs...), s.Close())
}

func put(s store.Store, pairs ...string) error {
	var b store.Batch
	for i := 0; i < len(pairs); i += 2 {
		b.Put(pairs[i], []byte(pairs[i+1]))
	}
	return s.Commit(&b)
}

func dump(s store.Store) (string, error) {
	var text bytes.Buffer
	err := s.Each("", func(k string, v []byte) error {
		fmt.Fprintf(&text, "%s=%s ", k, v)
		return nil
	})
	return text.String(), err
}

func storeBatches(t T, m StoreMaker) error {
	s, err := open(m.Begin(t, 1))
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }() // the data was already committed
	var b store.Batch
	b.Put("a", []byte("1"))
	b.Put("e/1", []byte("x"))
	b.Put("e/2", []byte("y"))
	b.Put("e/3", []byte("z"))
	b.Put("a", []byte("2"))
	b.DeleteRange("e/1", "e/3")
	b.Put("e/2", []byte(""))
	b.Delete("never")
	if err := s.Commit(&b); err != nil {
		return err
	}
	if got, err := dump(s); err != nil || got != "a=2 e/2= e/3=z " {
		return errors.Join(fmt.Errorf("store holds %q", got), err)
	}
	n := 0
	if err := s.Each("e/", func(string, []byte) error { n++; return nil }); err != nil || n != 2 {
		return errors.Join(fmt.Errorf("method Each found %d keys under e/, expected 2", n), err)
	}
	v, ok := s.Get("a")
	if !ok || string(v) != "2" {
		return fmt.Errorf("method Get of key a returned %q, %v", v, ok)
	}
	v[0] = '9'
	if v, _ := s.Get("a"); string(v) != "2" {
		return errors.New("method Get returned the stored value itself, not a copy")
	}
	if _, ok := s.Get("never"); ok {
		return errors.New("method Get found a key that was never stored")
	}
	if err := put(s, "", "x"); err == nil {
		return errors.New("method Commit accepted an empty key")
	}
	return nil
}

func storeBound(t T, m StoreMaker) error {
	s, err := open(m.Begin(t, 2))
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }() // the data was already committed
	if err := put(s, "a", "1"); err != nil {
		return err
	}
	if err := put(s, "a", "2", "big", string(make([]byte, m.Most))); !errors.Is(err, store.ErrFull) {
		return errors.Join(errors.New("method Commit did not reject a batch over the size limit with ErrFull"), err)
	}
	if got, _ := dump(s); got != "a=1 " {
		return fmt.Errorf("store holds %q after a rejected batch", got)
	}
	for i := range 50 { // replaced values do not count towards the size limit
		if err := put(s, "a", string(make([]byte, m.Most/2)), "b", strconv.Itoa(i)); err != nil {
			return fmt.Errorf("batch %d within the size limit: %w", i, err)
		}
	}
	return nil
}

// storeCrashes has processes increment two keys in the same batches, kills them at drawn points, and checks what the next
// process finds.
func storeCrashes(t T, m StoreMaker) error {
	for run := range uint64(crashRuns) {
		p := m.Begin(t, 100+run)
		if p.Kill == nil {
			return nil
		}
		rng := rand.New(rand.NewPCG(run, 7))
		acked, tried, read := 0, 0, 0
		for range crashes {
			err := p.Kill(func(s store.Store) error {
				for range 1 + rng.IntN(6) {
					tried++
					n := strconv.Itoa(tried)
					if err := put(s, "a", n, "b", n); err != nil {
						return err
					}
					acked = tried
				}
				return nil
			})
			if err != nil {
				return err
			}
			s, err := open(p)
			if err != nil {
				return fmt.Errorf("opening the store after a crash, %d changes acknowledged of %d tried: %w", acked, tried, err)
			}
			a, okA := s.Get("a")
			b, okB := s.Get("b")
			got, _ := strconv.Atoi(string(a))
			switch {
			case string(a) != string(b) || okA != okB:
				err = fmt.Errorf("batch applied in part: a is %q, b is %q", a, b)
			case got < acked:
				err = fmt.Errorf("store holds change %d, but change %d was acknowledged", got, acked)
			case got > tried:
				err = fmt.Errorf("store holds change %d, but change %d was the last one tried", got, tried)
			case got < read:
				err = fmt.Errorf("store holds change %d, but change %d was read earlier", got, read)
			}
			acked, tried, read = got, got, got
			if err := errors.Join(err, s.Close()); err != nil {
				return err
			}
		}
	}
	return nil
}

// corruptions are the changes of stored bytes that a store must withstand, by name.
var corruptions = map[string]func([]byte) []byte{
	"cut in the middle":   func(b []byte) []byte { return b[:len(b)/2] },
	"cut to nothing":      func([]byte) []byte { return nil },
	"a few bytes":         func([]byte) []byte { return []byte("abc") },
	"of a stranger":       func(b []byte) []byte { return bytes.Repeat([]byte("{\"what\": \"is this\"}\n"), 1+len(b)/20) },
	"zeros":               func(b []byte) []byte { return make([]byte, len(b)) },
	"a flipped value":     func(b []byte) []byte { return flip(b, []byte("quite-a-value")) },
	"the end overwritten": func(b []byte) []byte { return append(b[:len(b)*3/4:len(b)*3/4], make([]byte, len(b)-len(b)*3/4)...) },
}

// flip changes one bit in each occurrence of a text.
func flip(b, what []byte) []byte {
	for at := 0; ; {
		i := bytes.Index(b[at:], what)
		if i < 0 {
			return b
		}
		b[at+i+3] ^= 4
		at += i + len(what)
	}
}

func storeTorn(t T, m StoreMaker) error {
	for name, change := range corruptions {
		p := m.Begin(t, 3)
		if p.Corrupt == nil {
			return nil
		}
		s, err := open(p)
		if err != nil {
			return err
		}
		if err := errors.Join(put(s, "a", "quite-a-value", "b", "quite-a-value"), put(s, "c", "quite-a-value"), s.Close()); err != nil {
			return err
		}
		if !p.Corrupt(change) {
			return errors.New("the store left no bytes to corrupt")
		}
		s, found, err := p.Open(storeOwner)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		got, err := dump(s)
		switch {
		case err != nil:
			err = fmt.Errorf("%s: %w", name, err)
		case got == "a=quite-a-value b=quite-a-value c=quite-a-value " && found.Warning == "": // the change lost no data
		case got != "":
			err = fmt.Errorf("%s: store holds a part of its data: %q", name, got)
		case !found.Empty || found.Warning == "" || bytes.ContainsRune([]byte(found.Warning), '\n'):
			err = fmt.Errorf("%s: opening the store returned %+v, expected an empty store and a warning of one line", name, found)
		default:
			err = put(s, "a", "new")
		}
		if err := errors.Join(err, s.Close()); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// refused checks that opening a store fails with the wanted error and leaves the stored bytes unchanged.
func refused(p StoreFixture, owner string, want error) error {
	before := p.Bytes()
	if s, _, err := p.Open(owner); !errors.Is(err, want) {
		if err == nil {
			return errors.Join(errors.New("a store that must be rejected was opened"), s.Close())
		}
		return fmt.Errorf("store rejected with an unexpected error: %w", err)
	}
	if !bytes.Equal(before, p.Bytes()) {
		return errors.New("opening changed the stored bytes of a rejected store")
	}
	return nil
}

func storeLater(t T, m StoreMaker) error {
	p := m.Begin(t, 4)
	if p.SetNewerFormat == nil {
		return nil
	}
	if err := filled(p, "a", "1"); err != nil {
		return err
	}
	p.SetNewerFormat()
	return refused(p, storeOwner, store.ErrNewerFormat)
}

func storeOwners(t T, m StoreMaker) error {
	p := m.Begin(t, 5)
	if p.Bytes == nil {
		return nil
	}
	if err := filled(p, "a", "1"); err != nil {
		return err
	}
	if err := refused(p, "fleet/s2", store.ErrOwner); err != nil {
		return err
	}
	s, err := open(p)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }() // the data was already committed
	if got, err := dump(s); err != nil || got != "a=1 " {
		return errors.Join(fmt.Errorf("store holds %q after another owner tried to open it", got), err)
	}
	return nil
}

func storeRollback(t T, m StoreMaker) error {
	p := m.Begin(t, 6)
	if !p.DetectsRollback {
		return nil
	}
	if err := filled(p, "a", "1"); err != nil {
		return err
	}
	copied := p.Bytes()
	if err := errors.Join(filled(p, "a", "2"), filled(p, "a", "3")); err != nil {
		return err
	}
	p.Corrupt(func([]byte) []byte { return copied })
	s, found, err := p.Open(storeOwner)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }() // the data was already committed
	if v, ok := s.Get("a"); ok || found.Warning == "" {
		return fmt.Errorf("store accepted the value %q of an older copy, warning %q", v, found.Warning)
	}
	return put(s, "a", "4")
}

func storeBusy(t T, m StoreMaker) error {
	p := m.Begin(t, 7)
	if p.Bytes == nil {
		return nil
	}
	s, err := open(p)
	if err != nil {
		return err
	}
	if err := put(s, "a", "1"); err != nil {
		return err
	}
	if other, _, err := p.Open(storeOwner); !errors.Is(err, store.ErrBusy) {
		if err == nil {
			return errors.Join(errors.New("store was opened twice at the same time"), other.Close())
		}
		return fmt.Errorf("store rejected with an unexpected error: %w", err)
	}
	if err := s.Close(); err != nil {
		return err
	}
	if s, err = open(p); err != nil {
		return err
	}
	return s.Close()
}
