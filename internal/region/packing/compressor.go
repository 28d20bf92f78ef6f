package packing

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

const (
	// maxEntries bounds the number of entries in the cache.
	maxEntries = 8
	// maxCachedBytes bounds the total compressed size of the entries in bytes. A single entry is cached whatever its
	// size.
	maxCachedBytes = 1 << 20
)

// Key identifies an update by the replicas that it applies to. All updates with the same key are equal.
type Key struct {
	Base     uint64 // sequence of the replica before the update
	Sequence uint64 // sequence of the replica after the update
	Digests  uint64 // DigestsKey of the replica's digests, if the update is a repair in response to digests
	Complete bool   // the update is a repair of all ranges, which applies to any earlier replica
}

// DigestsKey returns a hash of the digests that a repair responds to, or 0 if there are none.
func DigestsKey(digests *pb.RangeDigests) uint64 {
	if digests == nil {
		return 0
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(digests)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(encoded)
}

// Compressor compresses each update once, however many callers request it concurrently, and caches the most recently
// used results. The zero value is ready to use. It is safe for concurrent use.
type Compressor struct {
	mutex        sync.Mutex
	entries      []entry // ordered by last use, least recent first
	bytes        int     // total compressed size of the entries
	compressions uint64
}

// entry is the cached result for a key.
type entry struct {
	key        Key
	compressed *pb.CompressedUpdate // compressed update; nil if the encoded update is smaller than MinSize
}

// Compressed returns the compressed update for a key, or nil if the encoded update is smaller than MinSize. It calls
// makeUpdate, while holding the lock, only if no result is cached. The result is shared and must not be modified.
func (c *Compressor) Compressed(key Key, makeUpdate func() *pb.StateUpdate) *pb.CompressedUpdate {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if index := slices.IndexFunc(c.entries, func(cached entry) bool { return cached.key == key }); index >= 0 {
		found := c.entries[index]
		c.entries = append(slices.Delete(c.entries, index, index+1), found)
		return found.compressed
	}
	created := entry{key: key}
	if encoded, err := proto.Marshal(makeUpdate()); err == nil && len(encoded) >= MinSize {
		created.compressed = compress(key, encoded)
		c.compressions++
	}
	c.add(created)
	return created.compressed
}

// Compressions returns the number of updates compressed so far.
func (c *Compressor) Compressions() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.compressions
}

// add caches an entry, and evicts the least recently used entries while a bound is exceeded.
func (c *Compressor) add(created entry) {
	c.entries = append(c.entries, created)
	c.bytes += len(created.compressed.GetDeflated())
	for len(c.entries) > 1 && (len(c.entries) > maxEntries || c.bytes > maxCachedBytes) {
		c.bytes -= len(c.entries[0].compressed.GetDeflated())
		c.entries = slices.Delete(c.entries, 0, 1)
	}
}

// CompressResponse replaces the changes or the repair in a control machine's response to an agent by their compressed
// form, if they are large enough and the agent accepts compressed updates.
func (c *Compressor) CompressResponse(request *pb.WatchRequest, response *pb.WatchResponse) {
	if !request.GetAcceptsCompressed() || len(response.GetChanges()) == 0 && response.GetRepair() == nil {
		return
	}
	key := Key{Base: request.GetSequence(), Sequence: response.GetSequence()}
	if response.GetRepair() != nil {
		key.Complete = request.GetDigests() == nil
		key.Digests = DigestsKey(request.GetDigests())
	}
	compressed := c.Compressed(key, func() *pb.StateUpdate {
		return &pb.StateUpdate{Changes: response.GetChanges(), Repair: response.GetRepair()}
	})
	if compressed == nil {
		return
	}
	response.Compressed = compressed
	response.Changes = nil
	response.Repair = nil
}
