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

// manyRoutes is news of so many routes.
func manyRoutes(count int) *pb.StateNews {
	change := &pb.Change{Sequence: 8, Generation: 3}
	for number := range count {
		change.Upserts = append(change.Upserts, &pb.Item{
			Kind: "routes",
			Name: fmt.Sprintf("r-%d", number),
			Body: fmt.Appendf(nil, `{"name":"r-%d","vhost":"h%d.example","deadline-ms":5000}`, number, number*7919),
		})
	}
	return &pb.StateNews{Changes: []*pb.Change{change}}
}

func TestNewsIsUnpackedAsItWas(t *testing.T) {
	var packer Packer
	news := manyRoutes(1400)
	packed := packer.Packed(Key{Base: 7, Sequence: 8}, func() *pb.StateNews { return news })
	require.Less(t, proto.Size(packed)*4, proto.Size(news))
	require.EqualValues(t, 7, packed.GetBase())
	require.EqualValues(t, 8, packed.GetSequence())
	back, err := Unpack(packed)
	require.NoError(t, err)
	require.True(t, proto.Equal(news, back))
}

func TestSmallNewsIsNotPacked(t *testing.T) {
	var packer Packer
	made := 0
	for range 3 {
		require.Nil(t, packer.Packed(Key{Base: 7, Sequence: 8}, func() *pb.StateNews {
			made++
			return manyRoutes(2)
		}))
	}
	require.Equal(t, 1, made, "that it is small is remembered")
}

func TestNewsIsPackedOnceForAll(t *testing.T) {
	var packer Packer
	var made atomic.Int64
	var group sync.WaitGroup
	for range 60 {
		group.Go(func() {
			packed := packer.Packed(Key{Base: 7, Sequence: 8}, func() *pb.StateNews {
				made.Add(1)
				return manyRoutes(300)
			})
			if packed == nil {
				t.Error("it is not packed")
			}
		})
	}
	group.Wait()
	require.EqualValues(t, 1, made.Load())
	require.EqualValues(t, 1, packer.Packs())
}

func TestWhatIsKeptIsBounded(t *testing.T) {
	var packer Packer
	for sequence := range uint64(100) {
		packer.Packed(Key{Sequence: sequence}, func() *pb.StateNews { return manyRoutes(3000) })
		require.LessOrEqual(t, len(packer.kept), maxKept)
		require.LessOrEqual(t, packer.bytes, maxKeptBytes)
	}
	made := false
	packer.Packed(Key{Sequence: 99}, func() *pb.StateNews { made = true; return nil })
	require.False(t, made, "the newest is kept")
}

func TestMalformedNewsIsRefused(t *testing.T) {
	var packer Packer
	whole := packer.Packed(Key{Sequence: 8}, func() *pb.StateNews { return manyRoutes(300) })
	for name, spoil := range map[string]func(*pb.PackedNews){
		"a size too small":   func(packed *pb.PackedNews) { packed.Size-- },
		"a size too large":   func(packed *pb.PackedNews) { packed.Size++ },
		"a size over bounds": func(packed *pb.PackedNews) { packed.Size = MaxSize + 1 },
		"cut short":          func(packed *pb.PackedNews) { packed.Deflated = packed.Deflated[:100] },
		"nothing":            func(packed *pb.PackedNews) { packed.Deflated = nil },
		"another format":     func(packed *pb.PackedNews) { packed.Deflated = []byte("not deflated at all") },
	} {
		t.Run(name, func(t *testing.T) {
			spoiled := proto.CloneOf(whole)
			spoil(spoiled)
			_, err := Unpack(spoiled)
			var refused *MalformedError
			require.ErrorAs(t, err, &refused)
		})
	}
}
