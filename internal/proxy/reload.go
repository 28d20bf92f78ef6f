package proxy

import (
	"os"
	"time"

	"go.uber.org/zap"

	"fieldrelay/internal/settings"
)

// reloader follows the settings file, and loads it again when it has changed, with or without a signal. A file that
// can't be loaded is logged and ignored. It is not safe for concurrent use.
type reloader struct {
	path     string // empty: there is no file to follow
	modified time.Time
	size     int64
	logger   *zap.Logger
	apply    func(*settings.Settings)
}

func newReloader(path string, logger *zap.Logger, apply func(*settings.Settings)) *reloader {
	r := &reloader{path: path, logger: logger, apply: apply}
	r.hasChanged()
	return r
}

// hasChanged reports whether the file's time or size has changed since the last call.
func (r *reloader) hasChanged() bool {
	if r.path == "" {
		return false
	}
	info, err := os.Stat(r.path)
	if err != nil {
		return false
	}
	same := info.ModTime().Equal(r.modified) && info.Size() == r.size
	r.modified, r.size = info.ModTime(), info.Size()
	return !same
}

// reloadIfChanged loads the file again if it has changed.
func (r *reloader) reloadIfChanged() {
	if r.hasChanged() {
		r.reload()
	}
}

// reload loads the file again.
func (r *reloader) reload() {
	if r.path == "" {
		return
	}
	r.hasChanged()
	loaded, err := settings.Load(r.path)
	if err != nil {
		r.logger.Warn("settings reload failed, previous settings stay in force", zap.Error(err))
		return
	}
	r.apply(loaded)
	r.logger.Info("settings reloaded")
}
