package bolt_test

import (
	"bytes"
	"compress/gzip"
	"flag"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/sidecar/store"
	"fieldrelay/internal/sidecar/store/bolt"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const goldenOwner = "fleet/member"

// goldenValues are the values of the golden file. Its keys are those of a voter's store.
var goldenValues = map[string]string{
	"voter":                  "\x00\x00\x00\x00\x00\x00\x00\x07",
	"era":                    "\x00\x00\x00\x00\x00\x00\x00\x02",
	"hard":                   "hard state",
	"empty":                  "",
	"entry/000000000000000a": "ten",
	"entry/000000000000000b": "eleven, again",
}

func writeGolden(t *testing.T, path string) {
	t.Helper()
	opened, found, err := bolt.Open(options(path, goldenOwner), nil)
	require.NoError(t, err)
	require.True(t, found.Empty)
	var first, second store.Batch
	for _, key := range []string{"entry/0000000000000001", "entry/0000000000000009", "entry/000000000000000b", "gone"} {
		first.Put(key, []byte("early"))
	}
	require.NoError(t, opened.Commit(&first))
	second.DeleteRange("entry/", "entry/000000000000000a")
	second.Delete("gone")
	for key, value := range goldenValues {
		second.Put(key, []byte(value))
	}
	require.NoError(t, opened.Commit(&second))
	require.NoError(t, opened.Close())
}

// Guards a voter's state over an upgrade of the program: a file of an earlier program opens for its owner with all values, accepts
// another batch, and is refused to another owner. The bytes of the file are not compared, since bbolt determines them. With -update
// the file is rewritten.
func TestGoldenFileIsReadBack(t *testing.T) {
	golden := filepath.Join("testdata", "golden.db.gz")
	if *update {
		path := filepath.Join(t.TempDir(), "voter.db")
		writeGolden(t, path)
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		var buffer bytes.Buffer
		packer := gzip.NewWriter(&buffer)
		_, err = packer.Write(content)
		require.NoError(t, err)
		require.NoError(t, packer.Close())
		require.NoError(t, os.WriteFile(golden, buffer.Bytes(), 0o600))
	}
	file, err := os.Open(golden)
	require.NoError(t, err)
	unpacked, err := gzip.NewReader(file)
	require.NoError(t, err)
	content, err := io.ReadAll(unpacked)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	path := filepath.Join(t.TempDir(), "voter.db")
	require.NoError(t, os.WriteFile(path, content, 0o600))

	_, _, err = bolt.Open(options(path, "fleet/another"), nil)
	require.ErrorIs(t, err, store.ErrOwner)
	opened, found, err := bolt.Open(options(path, goldenOwner), nil)
	require.NoError(t, err)
	require.False(t, found.Empty)
	require.Empty(t, found.Warning)
	values := make(map[string]string)
	require.NoError(t, opened.Each("", func(key string, value []byte) error {
		values[key] = string(value)
		return nil
	}))
	require.Equal(t, goldenValues, values)
	var more store.Batch
	more.Put("entry/000000000000000c", []byte("twelve"))
	require.NoError(t, opened.Commit(&more))
	require.NoError(t, opened.Close())
	opened, _, err = bolt.Open(options(path, goldenOwner), nil)
	require.NoError(t, err)
	value, ok := opened.Get("entry/000000000000000c")
	require.True(t, ok)
	require.Equal(t, "twelve", string(value))
	require.NoError(t, opened.Close())
}
