package control

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"fieldrelay/internal/region/ring"
	"fieldrelay/internal/region/ring/ringtest"
)

// startWriter starts a writer on a ring whose files may have fileBytes, and returns the ring's disk.
func startWriter(t *testing.T, fileBytes int64) (*ringWriter, ring.Options) {
	t.Helper()
	options := ring.Options{
		Files: ringFiles, FileBytes: fileBytes, MaxBytes: ringFiles * fileBytes,
		Storage: ringtest.NewDisk(rand.New(rand.NewPCG(1, 1))),
	}
	opened, _, err := ring.Open("", options)
	require.NoError(t, err)
	writer := newRingWriter(opened, &counters{}, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	go writer.run(ctx)
	t.Cleanup(cancel)
	return writer, options
}

// nextResults waits for the next results of the writer.
func nextResults(writer *ringWriter) []Event {
	for {
		if events := writer.results.take(); len(events) > 0 {
			return events
		}
		<-writer.results.ready
	}
}

// Guards against a machine that writes nothing any more: a write for which the file had no room was tried again for ever,
// while the snapshot that makes room waited behind it.
func TestSnapshotReplacesRecordsThatDoNotFit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fileBytes, recordBytes = 4 << 10, 3 << 10
		writer, options := startWriter(t, fileBytes)
		large := ring.Record{Kind: recordRegister, Payload: make([]byte, recordBytes)}
		writer.queue.put(Persist{Token: 1, Records: []ring.Record{large}})
		require.Equal(t, []Event{Persisted{Token: 1}}, nextResults(writer))
		writer.queue.put(Persist{Token: 2, Records: []ring.Record{large}})
		require.Equal(t, []Event{WriteFailed{}}, nextResults(writer))
		writer.queue.put(Persist{Token: 3, Records: []ring.Record{large}, Snapshot: []byte("state")})
		writer.queue.put(Persist{Token: 4, Records: []ring.Record{{Kind: recordRegister, Payload: []byte("after")}}})
		require.Equal(t, []Event{Persisted{Token: 4}}, nextResults(writer))
		_, recovered, err := ring.Open("", options)
		require.NoError(t, err)
		assert.Equal(t, "state", string(recovered.Snapshot))
		require.Len(t, recovered.Records, 1)
		assert.Equal(t, "after", string(recovered.Records[0].Payload))
	})
}
