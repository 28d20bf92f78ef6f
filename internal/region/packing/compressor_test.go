package packing

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// manyRoutes returns an update that adds count routes.
func manyRoutes(count int) *pb.StateUpdate {
	change := &pb.Change{Sequence: 8, Generation: 3}
	for number := range count {
		change.Upserts = append(change.Upserts, &pb.Item{
			Kind: "routes",
			Name: fmt.Sprintf("r-%d", number),
			Body: fmt.Appendf(nil, `{"name":"r-%d","vhost":"h%d.example","deadline-ms":5000}`, number, number*7919),
		})
	}
	return &pb.StateUpdate{Changes: []*pb.Change{change}}
}

func TestCompressedUpdateDecompressesToItself(t *testing.T) {
	var compressor Compressor
	update := manyRoutes(1400)
	compressed := compressor.Compressed(Key{Base: 7, Sequence: 8}, func() *pb.StateUpdate { return update })
	require.Less(t, proto.Size(compressed)*4, proto.Size(update))
	require.EqualValues(t, 7, compressed.GetBase())
	require.EqualValues(t, 8, compressed.GetSequence())
	decompressed, err := Decompress(compressed)
	require.NoError(t, err)
	require.True(t, proto.Equal(update, decompressed))
}

func TestSmallUpdateIsNotCompressed(t *testing.T) {
	var compressor Compressor
	made := 0
	for range 3 {
		require.Nil(t, compressor.Compressed(Key{Base: 7, Sequence: 8}, func() *pb.StateUpdate {
			made++
			return manyRoutes(2)
		}))
	}
	require.Equal(t, 1, made, "the result for a small update must be cached")
}

func TestUpdateIsCompressedOnceForAll(t *testing.T) {
	var compressor Compressor
	var made atomic.Int64
	var group sync.WaitGroup
	for range 60 {
		group.Go(func() {
			compressed := compressor.Compressed(Key{Base: 7, Sequence: 8}, func() *pb.StateUpdate {
				made.Add(1)
				return manyRoutes(300)
			})
			if compressed == nil {
				t.Error("the update is not compressed")
			}
		})
	}
	group.Wait()
	require.EqualValues(t, 1, made.Load())
	require.EqualValues(t, 1, compressor.Compressions())
}

func TestCacheIsBounded(t *testing.T) {
	var compressor Compressor
	for sequence := range uint64(100) {
		compressor.Compressed(Key{Sequence: sequence}, func() *pb.StateUpdate { return manyRoutes(3000) })
		require.LessOrEqual(t, len(compressor.entries), maxEntries)
		require.LessOrEqual(t, compressor.bytes, maxCachedBytes)
	}
	made := false
	compressor.Compressed(Key{Sequence: 99}, func() *pb.StateUpdate { made = true; return nil })
	require.False(t, made, "the newest result must be cached")
}

func TestMalformedUpdateIsRejected(t *testing.T) {
	var compressor Compressor
	valid := compressor.Compressed(Key{Sequence: 8}, func() *pb.StateUpdate { return manyRoutes(300) })
	for name, corrupt := range map[string]func(*pb.CompressedUpdate){
		"a size too small":    func(compressed *pb.CompressedUpdate) { compressed.Size-- },
		"a size too large":    func(compressed *pb.CompressedUpdate) { compressed.Size++ },
		"a size over MaxSize": func(compressed *pb.CompressedUpdate) { compressed.Size = MaxSize + 1 },
		"truncated":           func(compressed *pb.CompressedUpdate) { compressed.Deflated = compressed.Deflated[:100] },
		"no data":             func(compressed *pb.CompressedUpdate) { compressed.Deflated = nil },
		"another format":      func(compressed *pb.CompressedUpdate) { compressed.Deflated = []byte("not deflated at all") },
	} {
		t.Run(name, func(t *testing.T) {
			corrupted := proto.CloneOf(valid)
			corrupt(corrupted)
			_, err := Decompress(corrupted)
			var rejected *MalformedError
			require.ErrorAs(t, err, &rejected)
		})
	}
}
