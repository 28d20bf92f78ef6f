package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"fieldrelay/internal/store"
)

// kept is what a sidecar leaves to the process after it: in $TMPDIR, which a process that replaces it shares. Nothing is
// opened, made or locked before there is something to keep.
type kept struct {
	options store.Options
	earlier map[string]string // key to the file in which programs before the store kept it, as JSON
}

const (
	keptMost = 4 << 20
	keptWait = 300 * time.Millisecond // for another process of this sidecar; a caller of the management address waits for it

	keySuspended = "suspended" // names suspended by hand
	keyWords     = "words"     // what the fleet says of execute nodes
)

// keptFor is what is kept in a folder for the sidecar of a name.
func keptFor(dir, name string) *kept {
	path := filepath.Join(dir, "fieldrelay-"+filepath.Base(name))
	return &kept{options: store.Options{Path: path + ".kept", Owner: name, Most: keptMost, Wait: keptWait},
		earlier: map[string]string{keySuspended: path + ".suspended.json", keyWords: path + ".fleet.json"}}
}

// read reads what was kept under a key into v; nothing kept leaves v as it is. The error is a line for the operator: what
// was kept is not used.
func (k *kept) read(key string, v any) error {
	if _, err := os.Stat(k.options.Path); err == nil {
		var text []byte
		ok := false
		found, err := store.Edit(store.Disk{}, k.options, func(s store.Store) error {
			text, ok = s.Get(key)
			return nil
		})
		switch {
		case err != nil:
			return err
		case found.Why != "":
			return errors.New(found.Why)
		case ok:
			return unmarshal(k.options.Path, text, v)
		}
	}
	text, err := os.ReadFile(k.earlier[key])
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	return unmarshal(k.earlier[key], text, v)
}

func unmarshal(path string, text []byte, v any) error {
	if err := json.Unmarshal(text, v); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// write keeps v under a key, in place of what was kept there before.
func (k *kept) write(key string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = store.Edit(store.Disk{}, k.options, func(s store.Store) error {
		if was, ok := s.Get(key); ok && string(was) == string(text) {
			return nil
		}
		var b store.Batch
		b.Put(key, text)
		return s.Commit(&b)
	})
	if err != nil {
		return err
	}
	if err := os.Remove(k.earlier[key]); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
