package ring

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// SetVersion rewrites the header of a file with another format version.
func SetVersion(t *testing.T, path string, version uint32) {
	t.Helper()
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	require.NoError(t, err)
	encoded, _ := fileHeader{version: version, epoch: 1, nonce: 1}.appendTo(nil)
	_, err = file.WriteAt(encoded, 0)
	require.NoError(t, err)
	require.NoError(t, file.Close())
}

// SetSync replaces the function that syncs a folder.
func (f *Folder) SetSync(sync func(path string) (found bool, err error)) { f.sync = sync }

// Stats describes the current file of a ring.
type Stats struct {
	Epoch         uint64 // number of files written so far
	Records       int    // number of records after the snapshot
	SnapshotBytes int64
	RecordBytes   int64
}

// Stats returns the statistics of the current file.
func (r *Ring) Stats() Stats {
	stats := Stats{
		Epoch:         r.current.epoch,
		SnapshotBytes: r.current.snapshotBytes,
		RecordBytes:   r.current.end - r.current.snapshotBytes,
	}
	if r.current.sequence > 0 {
		stats.Records = int(r.current.sequence) - 1
	}
	return stats
}
