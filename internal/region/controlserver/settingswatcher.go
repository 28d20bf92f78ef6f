package controlserver

import (
	"os"
	"reflect"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fieldrelay/internal/region/settings"
)

// settingsCheckInterval is the interval at which the settings file is checked for changes.
const settingsCheckInterval = time.Second

// settingsWatcher has the settings in force and reloads the file from which they were read. Current is safe for
// concurrent use; Check must be called by one goroutine at a time.
type settingsWatcher struct {
	path    string // path of the settings file; empty: no file is watched
	logger  *zap.Logger
	current atomic.Pointer[settings.Settings]

	// State of the file when it was last read.
	modified  time.Time
	size      int64
	lastError string // error of the last load; empty if the file was valid
}

func newSettingsWatcher(path string, initial *settings.Settings, logger *zap.Logger) *settingsWatcher {
	watcher := &settingsWatcher{path: path, logger: logger}
	watcher.current.Store(initial)
	return watcher
}

// Current returns the settings in force.
func (w *settingsWatcher) Current() *settings.Settings { return w.current.Load() }

// stat returns the file's modification time and size; zero values if it cannot be read.
func (w *settingsWatcher) stat() (time.Time, int64) {
	info, err := os.Stat(w.path)
	if err != nil {
		return time.Time{}, 0
	}
	return info.ModTime(), info.Size()
}

// Check reloads the file if its modification time or size has changed, or if forced is set, and reports whether the
// settings in force have changed. If the file is invalid, an error is logged once and the settings stay in force.
func (w *settingsWatcher) Check(forced bool) bool {
	if w.path == "" {
		return false
	}
	modified, size := w.stat()
	if !forced && modified.Equal(w.modified) && size == w.size {
		return false
	}
	w.modified, w.size = modified, size
	loaded, err := settings.Load(w.path)
	if err != nil {
		w.reportError(err)
		return false
	}
	w.lastError = ""
	if reflect.DeepEqual(loaded, w.Current()) {
		return false
	}
	w.current.Store(loaded)
	w.logger.Info("settings reloaded")
	return true
}

func (w *settingsWatcher) reportError(err error) {
	if err.Error() == w.lastError {
		return
	}
	w.lastError = err.Error()
	w.logger.Warn("settings reload failed, previous settings stay in force", zap.Error(err))
}
