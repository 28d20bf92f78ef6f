package controlserver

import (
	"os"
	"reflect"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fieldrelay/internal/settings"
)

// settingsCheckInterval is the time between two looks at the settings file.
const settingsCheckInterval = time.Second

// settingsWatcher keeps the settings in force and follows the file that they came from.
type settingsWatcher struct {
	path    string // empty: no file is followed
	logger  *zap.Logger
	current atomic.Pointer[settings.Settings]

	modified  time.Time
	size      int64
	lastError string
}

func newSettingsWatcher(path string, initial *settings.Settings, logger *zap.Logger) *settingsWatcher {
	watch := &settingsWatcher{path: path, logger: logger}
	watch.current.Store(initial)
	return watch
}

// Current returns the settings in force.
func (w *settingsWatcher) Current() *settings.Settings { return w.current.Load() }

// stat tells the file's time of change and size; zero values if it cannot be read.
func (w *settingsWatcher) stat() (time.Time, int64) {
	info, err := os.Stat(w.path)
	if err != nil {
		return time.Time{}, 0
	}
	return info.ModTime(), info.Size()
}

// Check reads the file again if it looks changed, or in any case if forced, and reports whether other settings
// are in force now. A faulty file is logged once and changes nothing.
func (w *settingsWatcher) Check(forced bool) bool {
	if w.path == "" {
		return false
	}
	modified, size := w.stat()
	if !forced && modified.Equal(w.modified) && size == w.size {
		return false
	}
	w.modified, w.size = modified, size
	fresh, err := settings.Load(w.path)
	if err != nil {
		w.reportError(err)
		return false
	}
	w.lastError = ""
	if reflect.DeepEqual(fresh, w.Current()) {
		return false
	}
	w.current.Store(fresh)
	w.logger.Info("settings read again")
	return true
}

func (w *settingsWatcher) reportError(err error) {
	if err.Error() == w.lastError {
		return
	}
	w.lastError = err.Error()
	w.logger.Warn("the settings file is at fault; the old settings stay", zap.Error(err))
}
