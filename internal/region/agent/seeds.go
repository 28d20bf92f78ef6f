package agent

import (
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"fieldrelay/internal/region/settings"
)

// settingsCheckInterval is the time between two checks of the settings file.
const settingsCheckInterval = time.Second

// seedsWatcher watches the seeds in the settings file. It is not safe for concurrent use.
type seedsWatcher struct {
	path     string // path of the settings file; empty: there is no file
	logger   *zap.Logger
	resolve  func(seed string) (string, error)
	seeds    []string      // link addresses of the seeds as last read
	modified time.Time     // modification time of the file when it was last read
	size     int64         // size of the file when it was last read
	polledAt time.Duration // time of the last check of the file
}

// newSeedsWatcher returns a watcher of the file at path, from which the link addresses in seeds were read.
func newSeedsWatcher(path string, seeds []string, resolve func(string) (string, error), logger *zap.Logger) *seedsWatcher {
	w := &seedsWatcher{path: path, logger: logger, resolve: resolve, seeds: seeds}
	if information, err := os.Stat(path); err == nil {
		w.modified = information.ModTime()
		w.size = information.Size()
	}
	return w
}

// poll checks the file at most once in settingsCheckInterval, and reads it if it has changed. It returns the link
// addresses of the seeds and true if they have changed.
func (w *seedsWatcher) poll(now time.Duration) ([]string, bool) {
	if w.path == "" || now-w.polledAt < settingsCheckInterval {
		return nil, false
	}
	w.polledAt = now
	information, err := os.Stat(w.path)
	if err != nil || information.ModTime().Equal(w.modified) && information.Size() == w.size {
		return nil, false
	}
	w.modified = information.ModTime()
	w.size = information.Size()
	return w.reload()
}

// reload is like poll, but reads the file at once, whether it has changed or not.
func (w *seedsWatcher) reload() ([]string, bool) {
	if w.path == "" {
		return nil, false
	}
	read, err := settings.Load(w.path)
	if err != nil {
		w.logger.Warn("settings reload failed", zap.Error(err))
		return nil, false
	}
	seeds := resolveSeeds(read.Seeds, w.resolve, w.logger)
	if slices.Equal(seeds, w.seeds) {
		return nil, false
	}
	w.seeds = seeds
	return seeds, true
}

// resolveSeeds converts addresses of the operator API to addresses of the link service. Seeds that cannot be resolved
// are logged and left out.
func resolveSeeds(seeds []string, resolve func(string) (string, error), logger *zap.Logger) []string {
	addresses := make([]string, 0, len(seeds))
	for _, seed := range seeds {
		address, err := resolve(seed)
		if err != nil {
			logger.Warn("seed ignored", zap.Error(err))
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

// linkAddress returns a function that maps a seed to the address of its link service. The address has the host of the
// seed and the first port of the port range, which is the same on all machines.
func linkAddress(firstPort int) func(seed string) (string, error) {
	port := strconv.Itoa(firstPort)
	return func(seed string) (string, error) {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			return "", errors.Wrapf(err, "resolve seed %q", seed)
		}
		return net.JoinHostPort(host, port), nil
	}
}
