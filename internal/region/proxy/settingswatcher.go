package proxy

import (
	"os"
	"time"

	"go.uber.org/zap"

	"fieldrelay/internal/region/settings"
)

// settingsWatcher reloads the settings file on request or when the file has changed. If the file can't be loaded, the
// error is logged and the previous settings stay in force. A settingsWatcher is not safe for concurrent use.
type settingsWatcher struct {
	path     string    // path of the settings file; empty if there is none
	modified time.Time // modification time of the file at the last check
	size     int64     // size of the file at the last check, in bytes
	logger   *zap.Logger
	apply    func(*settings.Settings)
}

func newSettingsWatcher(path string, logger *zap.Logger, apply func(*settings.Settings)) *settingsWatcher {
	w := &settingsWatcher{path: path, logger: logger, apply: apply}
	w.hasChanged()
	return w
}

// hasChanged reports whether the file's modification time or size has changed since the last call.
func (w *settingsWatcher) hasChanged() bool {
	if w.path == "" {
		return false
	}
	info, err := os.Stat(w.path)
	if err != nil {
		return false
	}
	same := info.ModTime().Equal(w.modified) && info.Size() == w.size
	w.modified, w.size = info.ModTime(), info.Size()
	return !same
}

func (w *settingsWatcher) reloadIfChanged() {
	if w.hasChanged() {
		w.reload()
	}
}

// reload loads the file and applies its settings.
func (w *settingsWatcher) reload() {
	if w.path == "" {
		return
	}
	w.hasChanged()
	loaded, err := settings.Load(w.path)
	if err != nil {
		w.logger.Warn("settings reload failed, previous settings stay in force", zap.Error(err))
		return
	}
	w.apply(loaded)
	w.logger.Info("settings reloaded")
}
