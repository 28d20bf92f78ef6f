package ring_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fieldrelay/internal/region/ring"
	"fieldrelay/internal/region/ring/ringtest"
)

// harness drives a ring on a faulty disk, together with a model of the state that must be recovered. The state is a
// list of numbered entries: a snapshot holds all entries so far, a record one further entry.
type harness struct {
	t        *rapid.T
	random   *rand.Rand
	disk     *ringtest.Disk
	ring     *ring.Ring
	entries  []string   // entries whose append succeeded
	failed   [][]string // batches whose append failed after the last success, any of which may be recovered
	next     int
	maxEntry int
}

func newHarness(t *rapid.T) *harness {
	random := newRandom(rapid.Uint64().Draw(t, "seed"))
	h := &harness{t: t, random: random, disk: ringtest.NewDisk(random), entries: []string{}, maxEntry: 900}
	h.reopen()
	return h
}

// encodeEntries returns the payload of a snapshot of the entries.
func encodeEntries(entries []string) []byte {
	var buffer bytes.Buffer
	for _, entry := range entries {
		fmt.Fprintf(&buffer, "%d:%s", len(entry), entry)
	}
	return buffer.Bytes()
}

func decodeEntries(t require.TestingT, data []byte) []string {
	entries := []string{}
	for len(data) > 0 {
		colon := bytes.IndexByte(data, ':')
		require.Positive(t, colon)
		var length int
		_, err := fmt.Sscanf(string(data[:colon]), "%d", &length)
		require.NoError(t, err)
		data = data[colon+1:]
		entries = append(entries, string(data[:length]))
		data = data[length:]
	}
	return entries
}

// recoveredEntries lists the entries of the snapshot and of the records.
func recoveredEntries(t require.TestingT, recovered *ring.Recovered) []string {
	entries := decodeEntries(t, recovered.Snapshot)
	for _, record := range recovered.Records {
		entries = append(entries, string(record.Payload))
	}
	return entries
}

// newEntry returns an entry that differs from all others. Some entries have the same length as earlier ones.
func (h *harness) newEntry() string {
	h.next++
	length := h.random.IntN(h.maxEntry)
	if h.random.IntN(3) == 0 {
		length = 64
	}
	return fmt.Sprintf("%08d%s", h.next, bytes.Repeat([]byte{'x'}, length))
}

func (h *harness) append() {
	var batch []string
	var records []ring.Record
	for range 1 + h.random.IntN(3) {
		entry := h.newEntry()
		batch = append(batch, entry)
		records = append(records, ring.Record{Kind: 7, Payload: []byte(entry)})
	}
	if h.ring.Append(records...) != nil {
		h.failed = append(h.failed, batch)
		return
	}
	h.entries = append(h.entries, batch...)
	h.failed = nil
}

func (h *harness) snapshot() {
	if h.ring.Snapshot(encodeEntries(h.entries)) == nil {
		h.failed = nil
	}
}

// reopen opens the ring and checks the recovered state. If the faults of the disk prevent that, it ends them first.
func (h *harness) reopen() {
	opened, recovered, err := ring.Open("", smallRing(h.disk, h.random))
	if err != nil {
		var writeError *ring.WriteError
		require.ErrorAs(h.t, err, &writeError)
		h.disk.SetFaults(ringtest.Faults{})
		h.disk.SetFull(false)
		opened, recovered, err = ring.Open("", smallRing(h.disk, h.random))
	}
	require.NoError(h.t, err)
	h.ring = opened
	h.check(recovered)
}

// check requires exactly the entries whose append succeeded, optionally followed by a prefix of one batch that failed
// after them.
func (h *harness) check(recovered *ring.Recovered) {
	for _, record := range recovered.Records {
		require.Equal(h.t, uint8(7), record.Kind)
	}
	entries := recoveredEntries(h.t, recovered)
	require.Equal(h.t, recovered.Fresh, len(entries) == 0)
	require.GreaterOrEqual(h.t, len(entries), len(h.entries), "acknowledged entries were lost")
	require.Equal(h.t, h.entries, entries[:len(h.entries):len(h.entries)])
	surplus := entries[len(h.entries):]
	require.True(h.t, h.mayBeRecovered(surplus), "%d superseded entries were recovered", len(surplus))
	h.entries = entries
	h.failed = nil
}

// mayBeRecovered reports whether the entries are a prefix of a batch whose append failed, and so may be recovered.
func (h *harness) mayBeRecovered(surplus []string) bool {
	if len(surplus) == 0 {
		return true
	}
	for _, batch := range h.failed {
		if len(surplus) <= len(batch) && fmt.Sprint(batch[:len(surplus)]) == fmt.Sprint(surplus) {
			return true
		}
	}
	return false
}
