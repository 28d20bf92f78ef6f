package packing

import (
	"bytes"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Guards against allocating memory for a declared size that the compressed data cannot expand to.
func TestFalseDeclaredSizeAllocatesNoMemory(t *testing.T) {
	compressed := &pb.CompressedUpdate{Size: MaxSize, Deflated: bytes.Repeat([]byte{0}, 20)}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := Decompress(compressed)
	runtime.ReadMemStats(&after)
	require.Error(t, err)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(1<<20))
}
