package catalog

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	pb "fieldrelay/api/fieldrelay/v1"
)

// itemRange holds the items of one range, sorted by kind and name, and the digest of their content. It must not be
// modified once it belongs to a snapshot.
type itemRange struct {
	items  []*pb.Item
	digest uint64 // XOR of the digests of all items in the range
}

// rangeIndex returns the index of the range of an item. The mapping is part of the protocol between replicas.
func rangeIndex(kind, name string) int {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(kind)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(name)
	return int(digest.Sum64() % RangeCount)
}

// itemDigest returns a digest of every field of an item, not only of its sequence: after a change of view, two replicas
// may have assigned the same sequence to different changes, one of which will be discarded.
func itemDigest(item *pb.Item) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var numbers [32]byte
	binary.LittleEndian.PutUint64(numbers[0:], uint64(len(item.GetKind())))
	binary.LittleEndian.PutUint64(numbers[8:], uint64(len(item.GetName())))
	binary.LittleEndian.PutUint64(numbers[16:], item.GetOrder())
	binary.LittleEndian.PutUint64(numbers[24:], item.GetSequence())
	_, _ = digest.Write(numbers[:])
	_, _ = digest.WriteString(item.GetKind())
	_, _ = digest.WriteString(item.GetName())
	_, _ = digest.Write(item.GetBody())
	return digest.Sum64()
}

// compareKey compares the kind and name of an item with a given kind and name.
func compareKey(item *pb.Item, kind, name string) int {
	if order := cmp.Compare(item.GetKind(), kind); order != 0 {
		return order
	}
	return cmp.Compare(item.GetName(), name)
}

// find returns the index of an item and true, or the index at which the item would be inserted and false.
func (r *itemRange) find(kind, name string) (int, bool) {
	return slices.BinarySearchFunc(r.items, name, func(item *pb.Item, name string) int {
		return compareKey(item, kind, name)
	})
}

func (r *itemRange) get(kind, name string) (*pb.Item, bool) {
	index, found := r.find(kind, name)
	if !found {
		return nil, false
	}
	return r.items[index], true
}

// ofKind returns the items of a kind. The slice shares memory with the range.
func (r *itemRange) ofKind(kind string) []*pb.Item {
	start, _ := r.find(kind, "")
	end := start
	for end < len(r.items) && r.items[end].GetKind() == kind {
		end++
	}
	return r.items[start:end]
}

func (r *itemRange) clone() *itemRange {
	return &itemRange{items: slices.Clone(r.items), digest: r.digest}
}

// The methods below may only be called on a range that belongs to no snapshot yet.

func (r *itemRange) upsert(item *pb.Item) {
	index, found := r.find(item.GetKind(), item.GetName())
	if found {
		r.digest ^= itemDigest(r.items[index])
		r.items[index] = item
	} else {
		r.items = slices.Insert(r.items, index, item)
	}
	r.digest ^= itemDigest(item)
}

func (r *itemRange) remove(kind, name string) {
	index, found := r.find(kind, name)
	if !found {
		return
	}
	r.digest ^= itemDigest(r.items[index])
	r.items = slices.Delete(r.items, index, index+1)
}

func (r *itemRange) removeOperatorItems() {
	r.items = slices.DeleteFunc(r.items, func(item *pb.Item) bool {
		if !isOperatorKind(item.GetKind()) {
			return false
		}
		r.digest ^= itemDigest(item)
		return true
	})
}
