package ring_test

import (
	"bytes"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fieldrelay/internal/region/ring"
	"fieldrelay/internal/region/ring/ringtest"
)

// smallRing returns options with small files, so that rotation and growth are frequent.
func smallRing(disk *ringtest.Disk, random *rand.Rand) ring.Options {
	return ring.Options{Files: 3, FileBytes: 4 << 10, MaxBytes: 3 << 20, Storage: disk, Nonce: random.Uint64}
}

// openRing opens a ring, which must succeed.
func openRing(t *testing.T, options ring.Options) (*ring.Ring, *ring.Recovered) {
	t.Helper()
	opened, recovered, err := ring.Open("", options)
	require.NoError(t, err)
	return opened, recovered
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func TestRecoveryAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		steps := rapid.SliceOfN(rapid.IntRange(0, 19), 1, 80).Draw(t, "steps")
		for _, step := range steps {
			switch {
			case step < 9:
				h.append()
			case step < 12:
				h.snapshot()
			case step == 12:
				h.disk.PowerLoss()
				h.reopen()
			case step == 13:
				h.disk.Kill()
				h.reopen()
			case step == 14:
				h.disk.SetFaults(ringtest.Faults{Write: 0.3, Sync: 0.3})
			case step == 15:
				h.disk.SetFaults(ringtest.Faults{Sync: 0.6})
			case step == 16:
				h.disk.SetFull(true)
			case step == 17:
				h.disk.SetFull(false)
			case step >= 18:
				h.disk.SetFaults(ringtest.Faults{})
			}
		}
		h.disk.PowerLoss()
		h.reopen()
	})
}

func TestEveryInstantOfPowerLoss(t *testing.T) {
	// The disk loses power at the n-th access of a fixed sequence, for every n.
	const accesses = 60
	for seed := range uint64(6) {
		for instant := range accesses {
			losePowerAt(t, seed, instant)
		}
	}
}

// losePowerAt appends and snapshots until the disk loses power at an access, and checks the recovered state.
func losePowerAt(t *testing.T, seed uint64, instant int) {
	t.Helper()
	random := newRandom(seed)
	disk := ringtest.NewDisk(random)
	opened, _ := openRing(t, smallRing(disk, random))
	count := 0
	disk.OnAccess(func(string) {
		if count == instant {
			disk.PowerLoss()
		}
		count++
	})
	acknowledged := []string{}
	for index := range 30 {
		entry := fmt.Sprintf("%08d%s", index, bytes.Repeat([]byte{'y'}, index*20))
		if opened.Append(ring.Record{Kind: 1, Payload: []byte(entry)}) == nil {
			acknowledged = append(acknowledged, entry)
		}
		if index%7 == 6 {
			_ = opened.Snapshot(encodeEntries(acknowledged))
		}
	}
	disk.OnAccess(nil)
	disk.PowerLoss()
	_, recovered := openRing(t, smallRing(disk, random))
	entries := recoveredEntries(t, recovered)
	require.GreaterOrEqual(t, len(entries), len(acknowledged))
	require.Equal(t, acknowledged, entries[:len(acknowledged):len(acknowledged)], "seed %d, instant %d", seed, instant)
	require.LessOrEqual(t, len(entries), len(acknowledged)+1)
}

// TestFailedSnapshotDoesNotHideLaterRecords guards against a snapshot whose write failed but that is on disk
// nevertheless: records appended after the failure must be recovered.
func TestFailedSnapshotDoesNotHideLaterRecords(t *testing.T) {
	for seed := range uint64(200) {
		random := newRandom(seed)
		disk := ringtest.NewDisk(random)
		opened, _ := openRing(t, smallRing(disk, random))
		require.NoError(t, opened.Append(ring.Record{Kind: 1, Payload: []byte("a")}))
		disk.SetFaults(ringtest.Faults{Sync: 1})
		require.Error(t, opened.Snapshot([]byte("snapshot of a")))
		disk.SetFaults(ringtest.Faults{})
		require.NoError(t, opened.Append(ring.Record{Kind: 1, Payload: []byte("b")}))
		disk.PowerLoss()
		_, recovered := openRing(t, smallRing(disk, random))
		require.Len(t, recovered.Records, 2)
		require.Equal(t, "b", string(recovered.Records[1].Payload))
	}
}

// TestRemainsOfAFailedBatch guards against the recovery of a record of a failed batch: a shorter batch with the same
// bytes is appended over it, and the rest of the failed batch must stay invalid.
func TestRemainsOfAFailedBatch(t *testing.T) {
	random := newRandom(3)
	disk := ringtest.NewDisk(random)
	opened, _ := openRing(t, smallRing(disk, random))
	first := ring.Record{Kind: 1, Payload: []byte("first")}
	second := ring.Record{Kind: 1, Payload: []byte("second")}
	require.NoError(t, opened.Append(ring.Record{Kind: 1, Payload: []byte("before")}))
	disk.SetFaults(ringtest.Faults{Sync: 1})
	require.Error(t, opened.Append(first, second))
	disk.SetFaults(ringtest.Faults{})
	require.NoError(t, opened.Append(first))
	disk.Kill()
	_, recovered := openRing(t, smallRing(disk, random))
	require.Len(t, recovered.Records, 2, "the second record of the failed batch must not come back")
}

// TestRemainsOfALostBatch guards against the recovery of a part of a batch that a power failure interrupted: its end
// may be on disk without its beginning. After the same beginning is appended again, the end must not be recovered with
// it.
func TestRemainsOfALostBatch(t *testing.T) {
	beginning := ring.Record{Kind: 1, Payload: bytes.Repeat([]byte{'b'}, 700)}
	end := ring.Record{Kind: 1, Payload: bytes.Repeat([]byte{'e'}, 700)}
	lost := 0
	for seed := range uint64(300) {
		random := newRandom(seed)
		disk := ringtest.NewDisk(random)
		opened, _ := openRing(t, smallRing(disk, random))
		require.NoError(t, opened.Append(ring.Record{Kind: 1, Payload: []byte("before")}))
		disk.SetFaults(ringtest.Faults{Sync: 1})
		require.Error(t, opened.Append(beginning, end))
		disk.SetFaults(ringtest.Faults{})
		disk.PowerLoss()
		opened, recovered := openRing(t, smallRing(disk, random))
		if len(recovered.Records) > 1 {
			continue
		}
		lost++
		require.NoError(t, opened.Append(beginning))
		disk.Kill()
		_, recovered = openRing(t, smallRing(disk, random))
		require.Len(t, recovered.Records, 2, "seed %d", seed)
	}
	require.Positive(t, lost)
}

func TestFullDiskRefusesAndRecovers(t *testing.T) {
	random := newRandom(4)
	disk := ringtest.NewDisk(random)
	opened, recovered := openRing(t, smallRing(disk, random))
	require.True(t, recovered.Fresh)
	disk.SetFull(true)
	var writeError *ring.WriteError
	require.ErrorAs(t, opened.Append(ring.Record{Kind: 1}), &writeError)
	require.ErrorIs(t, writeError, syscall.ENOSPC)
	require.ErrorAs(t, opened.Snapshot([]byte("s")), &writeError)
	disk.SetFull(false)
	require.NoError(t, opened.Append(ring.Record{Kind: 1, Payload: []byte("kept")}))
	require.Equal(t, 1, opened.Stats().Records)
	disk.Wipe()
	require.Error(t, opened.Append(ring.Record{Kind: 1}))
	_, recovered = openRing(t, smallRing(disk, random))
	require.True(t, recovered.Fresh)
}

func TestBounds(t *testing.T) {
	random := newRandom(5)
	options := ring.Options{Files: 2, FileBytes: 4 << 10, MaxBytes: 64 << 10, Storage: ringtest.NewDisk(random)}
	opened, _ := openRing(t, options)
	var tooLarge *ring.TooLargeError
	require.ErrorAs(t, opened.Snapshot(make([]byte, 40<<10)), &tooLarge)
	require.EqualValues(t, 32<<10, tooLarge.Limit)
	require.NoError(t, opened.Snapshot(make([]byte, 20<<10)))
	require.False(t, opened.NeedsSnapshot())
	appended := 0
	for opened.Append(ring.Record{Kind: 1, Payload: make([]byte, 1<<10)}) == nil {
		appended++
	}
	require.Equal(t, 11, appended)
	require.NoError(t, opened.Snapshot(make([]byte, 1<<10)), "a snapshot makes room again")
	require.NoError(t, opened.Append(ring.Record{Kind: 1, Payload: make([]byte, 2<<10)}))
	require.True(t, opened.NeedsSnapshot())
	require.NoError(t, opened.Close())
	require.ErrorIs(t, opened.Append(ring.Record{}), ring.ErrClosed)
	require.ErrorIs(t, opened.Snapshot(nil), ring.ErrClosed)
}

func TestCorruptFiles(t *testing.T) {
	random := newRandom(6)
	disk := ringtest.NewDisk(random)
	options := smallRing(disk, random)
	opened, _ := openRing(t, options)
	for _, payload := range []string{"one", "two", "three"} {
		require.NoError(t, opened.Snapshot([]byte(payload)))
	}
	// The newest snapshot may be torn, but not its predecessor: if both are invalid, the oldest must not be recovered.
	for _, name := range []string{"ring-2", "ring-1"} {
		_, recovered := openRing(t, options)
		require.False(t, recovered.Fresh)
		file, err := disk.Open(name, false)
		require.NoError(t, err)
		_, err = file.WriteAt([]byte("!!!"), 60)
		require.NoError(t, err)
	}
	var corrupt *ring.CorruptError
	_, _, err := ring.Open("", options)
	require.ErrorAs(t, err, &corrupt)
	report, err := ring.CheckStorage(disk)
	require.NoError(t, err)
	require.ErrorAs(t, report.Failure, &corrupt)
	require.Nil(t, report.Recovered)
	require.Len(t, report.Files, 3)
	require.True(t, report.Files[2].SnapshotValid)
}

func TestAnyFlippedByteIsNoticed(t *testing.T) {
	for seed := range uint64(300) {
		random := newRandom(seed)
		disk := ringtest.NewDisk(random)
		options := smallRing(disk, random)
		opened, _ := openRing(t, options)
		want := []string{"alpha", "beta", "gamma"}
		for _, entry := range want {
			require.NoError(t, opened.Append(ring.Record{Kind: 1, Payload: []byte(entry)}))
		}
		require.True(t, disk.Corrupt("ring-0"))
		_, recovered, err := ring.Open("", options)
		if err != nil {
			var corrupt *ring.CorruptError
			require.ErrorAs(t, err, &corrupt)
			continue
		}
		for index, record := range recovered.Records {
			require.Equal(t, want[index], string(record.Payload))
		}
	}
}

// TestDamagedSnapshotDoesNotBringBackTheOneBefore guards against the recovery of an older snapshot after a corruption
// of the newest one: records were acknowledged after the newest, so recovery must fail. Damage to the bytes that locate
// the snapshot (the file's header and the frame's epoch, sequence and length) is not covered: the snapshot then looks
// like one that was never completed.
func TestDamagedSnapshotDoesNotBringBackTheOneBefore(t *testing.T) {
	const frame = 40 // offset of the snapshot's frame
	for offset := int64(frame); offset < frame+32+4; offset++ {
		if offset >= frame+8 && offset < frame+20 {
			continue
		}
		random := newRandom(uint64(offset))
		disk := ringtest.NewDisk(random)
		options := smallRing(disk, random)
		opened, _ := openRing(t, options)
		for _, payload := range []string{"older", "newer"} {
			require.NoError(t, opened.Snapshot([]byte(payload)))
			require.NoError(t, opened.Append(ring.Record{Kind: 1, Payload: []byte("behind " + payload)}))
		}
		file, err := disk.Open("ring-1", false)
		require.NoError(t, err)
		var was [1]byte
		_, err = file.ReadAt(was[:], offset)
		require.NoError(t, err)
		_, err = file.WriteAt([]byte{was[0] ^ 0x55}, offset)
		require.NoError(t, err)
		_, _, err = ring.Open("", options)
		var corrupt *ring.CorruptError
		require.ErrorAs(t, err, &corrupt, "offset %d", offset)
		require.Zero(t, corrupt.Version)
	}
}

func TestFolderAndCheck(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	opened, recovered, err := ring.Open(dir, ring.Options{})
	require.NoError(t, err)
	require.True(t, recovered.Fresh)
	report, err := ring.Check(dir)
	require.NoError(t, err)
	require.True(t, report.Recovered.Fresh)
	require.NoError(t, opened.Append(ring.Record{Kind: 3, Payload: []byte("one")}))
	require.NoError(t, opened.Snapshot([]byte("snapshot")))
	require.NoError(t, opened.Append(ring.Record{Kind: 4, Payload: []byte("two")}, ring.Record{Kind: 5}))
	require.NoError(t, opened.Close())

	info, err := os.Stat(filepath.Join(dir, "ring-1"))
	require.NoError(t, err)
	require.EqualValues(t, ring.DefaultFileBytes, info.Size())
	report, err = ring.Check(dir)
	require.NoError(t, err)
	require.Len(t, report.Files, 2)
	newest := report.Files[0]
	require.Equal(t, "ring-1", newest.Name)
	require.True(t, newest.Current)
	require.False(t, report.Files[1].Current)
	require.Equal(t, uint64(2), newest.Epoch)
	require.Equal(t, []ring.RecordReport{{Sequence: 1, Kind: 4, Bytes: 3}, {Sequence: 2, Kind: 5}}, newest.Records)
	require.Equal(t, ring.EndingClean, newest.Ending)

	file, err := os.OpenFile(filepath.Join(dir, "ring-1"), os.O_RDWR, 0)
	require.NoError(t, err)
	last := make([]byte, 1)
	_, err = file.ReadAt(last, newest.End-1)
	require.NoError(t, err)
	last[0] = ^last[0] // a fixed byte could equal the present one, which belongs to the random nonce
	_, err = file.WriteAt(last, newest.End-1)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	report, err = ring.Check(dir)
	require.NoError(t, err)
	require.Equal(t, ring.EndingTorn, report.Files[0].Ending)
	require.Equal(t, "torn", report.Files[0].Ending.String())

	reopened, recovered, err := ring.Open(dir, ring.Options{})
	require.NoError(t, err)
	require.Equal(t, "snapshot", string(recovered.Snapshot))
	require.Equal(t, []ring.Record{{Kind: 4, Payload: []byte("two")}}, recovered.Records)
	require.NoError(t, reopened.Append(ring.Record{Kind: 6, Payload: []byte("three")}))
	require.NoError(t, reopened.Close())
	_, recovered, err = ring.Open(dir, ring.Options{})
	require.NoError(t, err)
	require.Len(t, recovered.Records, 2)
}

func TestUnknownVersionIsNotOverwritten(t *testing.T) {
	dir := t.TempDir()
	opened, _, err := ring.Open(dir, ring.Options{})
	require.NoError(t, err)
	require.NoError(t, opened.Append(ring.Record{Kind: 1}))
	require.NoError(t, opened.Close())
	ring.SetVersion(t, filepath.Join(dir, "ring-0"), 2)
	var corrupt *ring.CorruptError
	_, _, err = ring.Open(dir, ring.Options{})
	require.ErrorAs(t, err, &corrupt)
	require.EqualValues(t, 2, corrupt.Version)
	report, err := ring.Check(dir)
	require.NoError(t, err)
	require.ErrorAs(t, report.Failure, &corrupt)
}

func TestMissingFolder(t *testing.T) {
	_, err := ring.NewFolder(filepath.Join(t.TempDir(), "none")).Open("ring-0", false)
	require.ErrorIs(t, err, fs.ErrNotExist)
}

// TestNewFolderIsDurableWithItsFiles guards against the loss of a new folder at a power failure: the folder and
// its parent are synced before the first append returns, and the parent is not synced again after that.
func TestNewFolderIsDurableWithItsFiles(t *testing.T) {
	state := t.TempDir()
	path := filepath.Join(state, "control")
	var synced []string
	var fault error
	folder := ring.NewFolder(path)
	folder.SetSync(func(path string) (found bool, err error) {
		if _, err := os.Stat(path); err != nil {
			return false, nil
		}
		synced = append(synced, path)
		return true, fault
	})
	opened, _ := openRing(t, ring.Options{Storage: folder})
	require.Empty(t, synced, "the folder does not exist yet")

	fault = syscall.EIO
	var writeError *ring.WriteError
	require.ErrorAs(t, opened.Append(ring.Record{Kind: 1}), &writeError)
	fault, synced = nil, nil
	require.NoError(t, opened.Append(ring.Record{Kind: 1}))
	require.Equal(t, []string{path, state}, synced)
	require.NoError(t, opened.Append(ring.Record{Kind: 1}))
	require.NoError(t, opened.Snapshot([]byte("s")))
	require.Equal(t, []string{path, state, path}, synced)
	require.NoError(t, opened.Close())

	// A restarted process does not know whether the one before it synced the parent.
	again := ring.NewFolder(path)
	synced = nil
	again.SetSync(func(path string) (found bool, err error) {
		synced = append(synced, path)
		return true, nil
	})
	openRing(t, ring.Options{Storage: again})
	require.Equal(t, []string{path, state}, synced)
}
