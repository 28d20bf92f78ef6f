package packing

import (
	"bytes"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// The size that news tells of is not to be believed: memory is taken for what there is.
func TestASizeThatIsNotTrueTakesNoMemory(t *testing.T) {
	spoiled := &pb.PackedNews{Size: MaxSize, Deflated: bytes.Repeat([]byte{0}, 20)}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := Unpack(spoiled)
	runtime.ReadMemStats(&after)
	require.Error(t, err)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(1<<20))
}
