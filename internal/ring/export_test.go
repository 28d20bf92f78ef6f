package ring

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// SetVersion rewrites the header of a file with another version of the format.
func SetVersion(t *testing.T, path string, version uint32) {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	require.NoError(t, err)
	encoded, _ := fileHeader{version: version, epoch: 1, nonce: 1}.appendTo(nil)
	_, err = file.WriteAt(encoded, 0)
	require.NoError(t, err)
	require.NoError(t, file.Close())
}

// SyncBy lets a folder sync by another function.
func (f *Folder) SyncBy(sync func(path string) (found bool, err error)) { f.sync = sync }
