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
	// Begin makes a new place for one store, which the functions below are then given.
	Begin func(t T, seed uint64) StoreFixture
	// Most is how many bytes of keys and values a store takes.
	Most int
}

// StoreFixture is where one store is, and what can be done to it.
type StoreFixture struct {
	Open func(owner string) (store.Store, store.OpenResult, error)
	// Kill ends the process that has it open at a point drawn by the place, and comes back once it is dead; work is what the
	// process does meanwhile, to its end or to the first error. Afterwards the store can be opened again. nil: what is in it
	// ends with the process, and the clauses on that do not apply.
	Kill func(work func(s store.Store) error) error
	// Corrupt changes the bytes that are kept; false: nothing is kept. nil: they cannot be reached.
	Corrupt func(change func([]byte) []byte) bool
	// Bytes are those that are kept.
	Bytes func() []byte
	// SetNewerFormat has the kept bytes say that they are of a later format. nil: they cannot.
	SetNewerFormat func()
	// DetectsRollback tells that an older copy that is put back must be recognised.
	DetectsRollback bool
}

const (
	storeOwner = "fleet/s1"
	crashes    = 60 // of each place
	crashRuns  = 4
)

// StoreClauses are what every store promises.
var StoreClauses = []Clause[StoreMaker]{
	{"a batch is done whole and in order", storeBatches},
	{"a batch over the bound is refused whole", storeBound},
	{"what was acknowledged is there after a crash", storeCrashes},
	{"torn or foreign bytes are one clear line and a blank store", storeTorn},
	{"a later format is refused untouched", storeLater},
	{"another owner's store is refused untouched", storeOwners},
	{"an older copy put back is recognised", storeRollback},
	{"one process has it at a time", storeBusy},
}

func open(p StoreFixture) (store.Store, error) {
	s, found, err := p.Open(storeOwner)
	if err == nil && found.Warning != "" {
		err = errors.New("told: " + found.Warning)
	}
	return s, err
}

// filled opens a store, puts pairs into it and closes it.
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
	defer func() { _ = s.Close() }() // Commit has kept what counts
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
		return errors.Join(fmt.Errorf("holds %q", got), err)
	}
	n := 0
	if err := s.Each("e/", func(string, []byte) error { n++; return nil }); err != nil || n != 2 {
		return errors.Join(fmt.Errorf("%d keys under e/", n), err)
	}
	v, ok := s.Get("a")
	if !ok || string(v) != "2" {
		return fmt.Errorf("a is %q, %v", v, ok)
	}
	v[0] = '9'
	if v, _ := s.Get("a"); string(v) != "2" {
		return errors.New("what it gave was not a copy")
	}
	if _, ok := s.Get("never"); ok {
		return errors.New("a key that was never there")
	}
	if err := put(s, "", "x"); err == nil {
		return errors.New("took an empty key")
	}
	return nil
}

func storeBound(t T, m StoreMaker) error {
	s, err := open(m.Begin(t, 2))
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }() // Commit has kept what counts
	if err := put(s, "a", "1"); err != nil {
		return err
	}
	if err := put(s, "a", "2", "big", string(make([]byte, m.Most))); !errors.Is(err, store.ErrFull) {
		return errors.Join(errors.New("a batch over the bound was not refused as one"), err)
	}
	if got, _ := dump(s); got != "a=1 " {
		return fmt.Errorf("holds %q after a batch that was refused", got)
	}
	for i := range 50 { // what was replaced is not counted
		if err := put(s, "a", string(make([]byte, m.Most/2)), "b", strconv.Itoa(i)); err != nil {
			return fmt.Errorf("batch %d within the bound: %w", i, err)
		}
	}
	return nil
}

// storeCrashes lets processes count two keys up together, kills them at drawn points, and looks at what the next one finds.
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
				return fmt.Errorf("after change %d of %d: %w", acked, tried, err)
			}
			a, okA := s.Get("a")
			b, okB := s.Get("b")
			got, _ := strconv.Atoi(string(a))
			switch {
			case string(a) != string(b) || okA != okB:
				err = fmt.Errorf("half a batch: a is %q, b is %q", a, b)
			case got < acked:
				err = fmt.Errorf("change %d is there, %d was acknowledged", got, acked)
			case got > tried:
				err = fmt.Errorf("change %d is there, %d was the last one tried", got, tried)
			case got < read:
				err = fmt.Errorf("change %d is there, %d was read before", got, read)
			}
			acked, tried, read = got, got, got
			if err := errors.Join(err, s.Close()); err != nil {
				return err
			}
		}
	}
	return nil
}

// corruptions are what may happen to kept bytes.
var corruptions = map[string]func([]byte) []byte{
	"cut in the middle":   func(b []byte) []byte { return b[:len(b)/2] },
	"cut to nothing":      func([]byte) []byte { return nil },
	"a few bytes":         func([]byte) []byte { return []byte("abc") },
	"of a stranger":       func(b []byte) []byte { return bytes.Repeat([]byte("{\"what\": \"is this\"}\n"), 1+len(b)/20) },
	"zeros":               func(b []byte) []byte { return make([]byte, len(b)) },
	"a flipped value":     func(b []byte) []byte { return flip(b, []byte("quite-a-value")) },
	"the end overwritten": func(b []byte) []byte { return append(b[:len(b)*3/4:len(b)*3/4], make([]byte, len(b)-len(b)*3/4)...) },
}

// flip changes one bit of each place where a text stands.
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
			return errors.New("nothing is kept")
		}
		s, found, err := p.Open(storeOwner)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		got, err := dump(s)
		switch {
		case err != nil:
			err = fmt.Errorf("%s: %w", name, err)
		case got == "a=quite-a-value b=quite-a-value c=quite-a-value " && found.Warning == "": // nothing of it had been lost
		case got != "":
			err = fmt.Errorf("%s: half a store: %q", name, got)
		case !found.Empty || found.Warning == "" || bytes.ContainsRune([]byte(found.Warning), '\n'):
			err = fmt.Errorf("%s: told %+v", name, found)
		default:
			err = put(s, "a", "new")
		}
		if err := errors.Join(err, s.Close()); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// refused opens a store that must not be had, and looks that nothing of it changed.
func refused(p StoreFixture, owner string, want error) error {
	before := p.Bytes()
	if s, _, err := p.Open(owner); !errors.Is(err, want) {
		if err == nil {
			return errors.Join(errors.New("opened"), s.Close())
		}
		return fmt.Errorf("refused for another reason: %w", err)
	}
	if !bytes.Equal(before, p.Bytes()) {
		return errors.New("it was changed")
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
	defer func() { _ = s.Close() }() // Commit has kept what counts
	if got, err := dump(s); err != nil || got != "a=1 " {
		return errors.Join(fmt.Errorf("holds %q afterwards", got), err)
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
	defer func() { _ = s.Close() }() // Commit has kept what counts
	if v, ok := s.Get("a"); ok || found.Warning == "" {
		return fmt.Errorf("the copy's %q was taken, told %q", v, found.Warning)
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
			return errors.Join(errors.New("opened twice"), other.Close())
		}
		return fmt.Errorf("refused for another reason: %w", err)
	}
	if err := s.Close(); err != nil {
		return err
	}
	if s, err = open(p); err != nil {
		return err
	}
	return s.Close()
}
