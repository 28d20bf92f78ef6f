package control

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"fieldrelay/internal/region/ring"
)

const (
	// ringFolder is the folder of the ring under the state folder. Rings that replace a corrupt one have a number
	// appended.
	ringFolder = "control"
	// maxRingFolders bounds the rings under a state folder, including the corrupt ones.
	maxRingFolders = 4
	ringFiles      = 2
	ringBytes      = 512 << 10
	// openBackoff is the delay before another attempt to open a ring.
	openBackoff = 200 * time.Millisecond
)

// RingsCorruptError is returned by Start when maxRingFolders rings are corrupt: the disk must be examined before
// another ring is created.
type RingsCorruptError struct {
	Folder string // folder of the last ring
	Err    error  // reason why the last ring cannot be read
}

// Error names the last ring, the number of rings before it, and the cause.
func (e *RingsCorruptError) Error() string {
	return fmt.Sprintf("%s and %d rings before it are corrupt: %v", e.Folder, maxRingFolders-1, e.Err)
}

// Unwrap returns the cause.
func (e *RingsCorruptError) Unwrap() error { return e.Err }

// openRing opens the ring in use, retrying while the disk fails. A corrupt ring is left as it is, and a new one is
// created beside it: the machine then starts like a machine that has lost its disk, with a new identity, which is not
// bound by promises of the old identity. The result replaced is true if the ring is not the first on its disk; the
// machine must then not bootstrap a cluster.
func openRing(ctx context.Context, options Options) (opened *ring.Ring, recovered *ring.Recovered, replaced bool, err error) {
	if options.Storage != nil {
		opened, recovered, err = openWithRetry(ctx, "", options)
		return opened, recovered, false, err
	}
	if options.Settings.StateDir == "" {
		return nil, nil, false, errors.New("open the ring: setting state-dir is empty, but the control role requires it")
	}
	number := currentRing(options.Settings.StateDir)
	for {
		folder := ringPath(options.Settings.StateDir, number)
		opened, recovered, err = openWithRetry(ctx, folder, options)
		if !isCorrupt(err) {
			return opened, recovered, number > 1, err
		}
		if number == maxRingFolders {
			return nil, nil, false, &RingsCorruptError{Folder: folder, Err: err}
		}
		number++
		options.Logger.Error("ring corrupt, starting as a new replica",
			zap.String("ring", folder),
			zap.String("new_ring", ringPath(options.Settings.StateDir, number)),
			zap.Error(err))
	}
}

// isCorrupt reports whether a ring has no readable state. A ring of another version does not count as corrupt.
func isCorrupt(err error) bool {
	var corrupt *ring.CorruptError
	return errors.As(err, &corrupt) && corrupt.Version == 0
}

// openWithRetry opens a ring, retrying while the disk fails. The error is a *ring.CorruptError, or the error of the
// last attempt before ctx ended.
func openWithRetry(ctx context.Context, folder string, options Options) (*ring.Ring, *ring.Recovered, error) {
	ringOptions := ring.Options{
		Files:     ringFiles,
		FileBytes: ringBytes,
		MaxBytes:  maxRingBytes(options.Settings),
		Storage:   options.Storage,
	}
	for {
		opened, recovered, err := ring.Open(folder, ringOptions)
		var corrupt *ring.CorruptError
		if err == nil || errors.As(err, &corrupt) {
			return opened, recovered, errors.Wrap(err, "open the ring")
		}
		options.Logger.Warn("opening the ring failed, retrying", zap.Duration("backoff", openBackoff), zap.Error(err))
		select {
		case <-ctx.Done():
			return nil, nil, errors.Wrap(err, "open the ring")
		case <-time.After(openBackoff):
		}
	}
}

// currentRing returns the number of the newest ring under a state folder, counted from 1; 1 also if there is none.
func currentRing(stateDir string) int {
	for number := maxRingFolders; number > 1; number-- {
		if _, err := os.Stat(ringPath(stateDir, number)); !errors.Is(err, fs.ErrNotExist) {
			return number
		}
	}
	return 1
}

func ringPath(stateDir string, number int) string {
	if number == 1 {
		return filepath.Join(stateDir, ringFolder)
	}
	return filepath.Join(stateDir, fmt.Sprintf("%s-%d", ringFolder, number))
}
