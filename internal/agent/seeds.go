package agent

import (
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"fieldrelay/internal/settings"
)

// reloadInterval is the time between two looks at the settings file.
const reloadInterval = time.Second

// reloader follows the seeds in the settings file. It is not safe for concurrent use.
type reloader struct {
	path     string // empty: there is no file
	logger   *zap.Logger
	resolve  func(seed string) (string, error)
	seeds    []string // link addresses, as last read
	modified time.Time
	size     int64
	polledAt time.Duration
}

// newReloader follows the file at path, of which seeds were read.
func newReloader(path string, seeds []string, resolve func(string) (string, error), logger *zap.Logger) *reloader {
	r := &reloader{path: path, logger: logger, resolve: resolve, seeds: seeds}
	if information, err := os.Stat(path); err == nil {
		r.modified = information.ModTime()
		r.size = information.Size()
	}
	return r
}

// poll reads the file if it has changed, at most once in reloadInterval. It returns the link addresses of the seeds and
// whether they have changed.
func (r *reloader) poll(now time.Duration) ([]string, bool) {
	if r.path == "" || now-r.polledAt < reloadInterval {
		return nil, false
	}
	r.polledAt = now
	information, err := os.Stat(r.path)
	if err != nil || information.ModTime().Equal(r.modified) && information.Size() == r.size {
		return nil, false
	}
	r.modified = information.ModTime()
	r.size = information.Size()
	return r.reload()
}

// reload is poll without regard to whether the file has changed.
func (r *reloader) reload() ([]string, bool) {
	if r.path == "" {
		return nil, false
	}
	read, err := settings.Load(r.path)
	if err != nil {
		r.logger.Warn("settings reload failed", zap.Error(err))
		return nil, false
	}
	seeds := resolveSeeds(read.Seeds, r.resolve, r.logger)
	if slices.Equal(seeds, r.seeds) {
		return nil, false
	}
	r.seeds = seeds
	return seeds, true
}

// resolveSeeds turns addresses of the operator's API into those of the link service. Seeds that are no addresses are
// logged and left out.
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

// linkAddress returns what finds the link service of a seed: at the seed's host and the first port of the port range,
// which is the same on all machines.
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
