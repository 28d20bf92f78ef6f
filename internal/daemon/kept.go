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
type storedState struct {
	options     store.Options
	legacyFiles map[string]string // key to the file in which programs before the store kept it, as JSON
}

const (
	maxStoredBytes   = 4 << 20
	storeLockTimeout = 300 * time.Millisecond // for another process of this sidecar; a caller of the management address waits for it

	keySuspended       = "suspended" // names suspended by hand
	keyFleetStatements = "words"     // what the fleet says of execute nodes
)

// newStoredState is what is kept in a folder for the sidecar of a name.
func newStoredState(dir, name string) *storedState {
	path := filepath.Join(dir, "fieldrelay-"+filepath.Base(name))
	return &storedState{options: store.Options{Path: path + ".kept", Owner: name, Most: maxStoredBytes, Wait: storeLockTimeout},
		legacyFiles: map[string]string{keySuspended: path + ".suspended.json", keyFleetStatements: path + ".fleet.json"}}
}

// read reads what was kept under a key into v; nothing kept leaves v as it is. The error is a line for the operator: what
// was kept is not used.
func (k *storedState) load(key string, v any) error {
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
	text, err := os.ReadFile(k.legacyFiles[key])
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	return unmarshal(k.legacyFiles[key], text, v)
}

func unmarshal(path string, text []byte, v any) error {
	if err := json.Unmarshal(text, v); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// write keeps v under a key, in place of what was kept there before.
func (k *storedState) save(key string, v any) error {
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
	if err := os.Remove(k.legacyFiles[key]); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
