package proxy

import (
	"os"
	"time"

	"go.uber.org/zap"

	"fieldrelay/internal/settings"
)

// reloader follows the settings file: it is read again when it has changed, with or without a signal. A file
// that is at fault is told and ignored.
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

// changed tells whether the file is another one than at the last look.
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

// look reads the file again if it has changed.
func (r *reloader) reloadIfChanged() {
	if r.hasChanged() {
		r.reload()
	}
}

// read reads the file again.
func (r *reloader) reload() {
	if r.path == "" {
		return
	}
	r.hasChanged()
	loaded, err := settings.Load(r.path)
	if err != nil {
		r.logger.Warn("settings ignored", zap.Error(err))
		return
	}
	r.apply(loaded)
	r.logger.Info("settings read again")
}
