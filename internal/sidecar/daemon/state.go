package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"fieldrelay/internal/sidecar/store"
)

// storedState is the state that a sidecar stores for the next process, in $TMPDIR, which a replacement process shares. No file
// is opened, created or locked before there is something to store.
type storedState struct {
	options     store.Options
	legacyFiles map[string]string // by key: the JSON file in which versions before the store kept the value
}

const (
	maxStoredBytes   = 4 << 20
	storeLockTimeout = 300 * time.Millisecond // wait for a lock that another process has; a client of the management address waits as long

	keySuspended       = "suspended" // names of servers suspended by hand
	keyFleetStatements = "words"     // the fleet's statements on servers
)

// newStoredState returns the stored state of the sidecar with a name, in a folder.
func newStoredState(dir, name string) *storedState {
	path := filepath.Join(dir, "fieldrelay-"+filepath.Base(name))
	return &storedState{options: store.Options{Path: path + ".kept", Owner: name, MaxBytes: maxStoredBytes, LockTimeout: storeLockTimeout},
		legacyFiles: map[string]string{keySuspended: path + ".suspended.json", keyFleetStatements: path + ".fleet.json"}}
}

// load decodes the value stored under a key into v. If none is stored, v is unchanged. After an error, which is meant for the
// operator, v must not be used.
func (k *storedState) load(key string, v any) error {
	if _, err := os.Stat(k.options.Path); err == nil {
		var text []byte
		ok := false
		found, err := store.Edit(store.OSFileSystem{}, k.options, func(s store.Store) error {
			text, ok = s.Get(key)
			return nil
		})
		switch {
		case err != nil:
			return err
		case found.Warning != "":
			return errors.New(found.Warning)
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

// save stores v under a key, replacing the value there, and removes the legacy file of the key.
func (k *storedState) save(key string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = store.Edit(store.OSFileSystem{}, k.options, func(s store.Store) error {
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
