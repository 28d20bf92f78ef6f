package ring_test

import (
	"bytes"
	"compress/gzip"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/ring"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// goldenFiles are the files of the golden ring. The file ring-0 was written twice and holds the third epoch.
var goldenFiles = []string{"ring-0", "ring-1"}

func goldenRecords() []ring.Record {
	return []ring.Record{
		{Kind: 1, Payload: []byte("first")},
		{Kind: 250, Payload: nil},
		{Kind: 3, Payload: bytes.Repeat([]byte("long "), 100)},
		{Kind: 4, Payload: []byte("last")},
	}
}

// writeGoldenRing writes three epochs to a folder, each by a separate writer with a known nonce.
func writeGoldenRing(t *testing.T, folder string) {
	t.Helper()
	nonce := uint64(0x1122334455667700)
	open := func() *ring.Ring {
		opened, _, err := ring.Open(folder, ring.Options{Files: 2, FileBytes: 4 << 10, Nonce: func() uint64 {
			nonce++
			return nonce
		}})
		require.NoError(t, err)
		return opened
	}
	for _, snapshot := range []string{"the first snapshot, longer than the third", "the second snapshot", "the third snapshot"} {
		opened := open()
		require.NoError(t, opened.Snapshot([]byte(snapshot)))
		require.NoError(t, opened.Append(goldenRecords()[:2]...))
		require.NoError(t, opened.Close())
	}
	opened := open()
	require.NoError(t, opened.Append(goldenRecords()[2:]...))
	require.NoError(t, opened.Close())
}

// unpackGoldenRing writes the golden ring to a temporary folder.
func unpackGoldenRing(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	for _, name := range goldenFiles {
		packed, err := os.Open(filepath.Join("testdata", "golden-"+name+".gz"))
		require.NoError(t, err)
		unpacked, err := gzip.NewReader(packed)
		require.NoError(t, err)
		content, err := io.ReadAll(unpacked)
		require.NoError(t, err)
		require.NoError(t, packed.Close())
		require.NoError(t, os.WriteFile(filepath.Join(folder, name), content, 0o600))
	}
	return folder
}

// Guards the on-disk format against unintended changes: the same writes must produce the bytes of the golden ring. The
// flag -update rewrites the golden ring.
func TestGoldenRingIsWrittenByteForByte(t *testing.T) {
	written := t.TempDir()
	writeGoldenRing(t, written)
	if *update {
		for _, name := range goldenFiles {
			content, err := os.ReadFile(filepath.Join(written, name))
			require.NoError(t, err)
			var packed bytes.Buffer
			packer := gzip.NewWriter(&packed)
			_, err = packer.Write(content)
			require.NoError(t, err)
			require.NoError(t, packer.Close())
			require.NoError(t, os.WriteFile(filepath.Join("testdata", "golden-"+name+".gz"), packed.Bytes(), 0o600))
		}
	}
	golden := unpackGoldenRing(t)
	for _, name := range goldenFiles {
		want, err := os.ReadFile(filepath.Join(golden, name))
		require.NoError(t, err)
		got, err := os.ReadFile(filepath.Join(written, name))
		require.NoError(t, err)
		require.True(t, bytes.Equal(want, got), "%s differs from the golden file", name)
	}
}

// Guards upgrades of a machine: the snapshot and the records that an earlier version of the program wrote are recovered
// in order, and further records can be appended to them.
func TestGoldenRingIsRecovered(t *testing.T) {
	folder := unpackGoldenRing(t)
	opened, recovered, err := ring.Open(folder, ring.Options{})
	require.NoError(t, err)
	require.False(t, recovered.Fresh)
	require.Equal(t, "the third snapshot", string(recovered.Snapshot))
	requireRecords(t, goldenRecords(), recovered.Records)
	stats := opened.Stats()
	require.EqualValues(t, 3, stats.Epoch)
	require.Equal(t, 4, stats.Records)
	more := ring.Record{Kind: 5, Payload: []byte("more")}
	require.NoError(t, opened.Append(more))
	require.NoError(t, opened.Close())

	opened, recovered, err = ring.Open(folder, ring.Options{})
	require.NoError(t, err)
	require.NoError(t, opened.Close())
	requireRecords(t, append(goldenRecords(), more), recovered.Records)
}

// Guards recovery from damaged files: a last record with an invalid checksum loses only that record; an invalid
// snapshot that records follow makes the ring corrupt; and if the newest file has no valid header, the file before it
// is recovered.
func TestGoldenRingTornIsRecoveredAsFarAsItIsWhole(t *testing.T) {
	folder := unpackGoldenRing(t)
	name := filepath.Join(folder, "ring-0")
	content, err := os.ReadFile(name)
	require.NoError(t, err)
	damage := func(text string) {
		offset := strings.Index(string(content), text)
		require.GreaterOrEqual(t, offset, 0)
		content[offset] ^= 1
		require.NoError(t, os.WriteFile(name, content, 0o600))
	}
	reopen := func() *ring.Recovered {
		opened, recovered, err := ring.Open(folder, ring.Options{})
		require.NoError(t, err)
		require.NoError(t, opened.Close())
		return recovered
	}
	damage("last")
	requireRecords(t, goldenRecords()[:3], reopen().Records)
	damage("the third snapshot")
	_, _, err = ring.Open(folder, ring.Options{})
	var corrupt *ring.CorruptError
	require.ErrorAs(t, err, &corrupt, "acknowledged records follow the snapshot, so an older state must not be recovered")
	damage("frelring")
	recovered := reopen()
	require.Equal(t, "the second snapshot", string(recovered.Snapshot))
	requireRecords(t, goldenRecords()[:2], recovered.Records)
}

func requireRecords(t *testing.T, want, got []ring.Record) {
	t.Helper()
	require.Len(t, got, len(want))
	for index := range want {
		require.Equal(t, want[index].Kind, got[index].Kind)
		require.Equal(t, string(want[index].Payload), string(got[index].Payload))
	}
}
