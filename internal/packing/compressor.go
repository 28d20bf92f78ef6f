package packing

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

const (
	// maxKept bounds how many pieces of news a Packer remembers.
	maxKept = 8
	// maxKeptBytes bounds their size in bytes, packed.
	maxKeptBytes = 1 << 20
)

// Key tells what a piece of news brings up to date. The news of one key is always the same.
type Key struct {
	Base     uint64 // sequence of the copy that lacks it
	Sequence uint64 // of the copy that has taken it
	Digests  uint64 // DigestsKey of the copy's digests if the news is a repair that answers them
	Whole    bool   // a repair of all ranges, which any earlier copy may take
}

// DigestsKey stands for the digests that a repair answers.
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

// Packer packs each piece of news once, however many ask for it at the same time. It is safe for concurrent use.
type Packer struct {
	mutex sync.Mutex
	kept  []keptNews // the one used last at the end
	bytes int
	packs uint64
}

// keptNews is what became of a key.
type keptNews struct {
	key    Key
	packed *pb.PackedNews // nil: not worth it
}

// Packed is the news of a key, packed; nil if it is too small for that. The news is only made if it isn't kept.
func (p *Packer) Packed(key Key, news func() *pb.StateNews) *pb.PackedNews {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if place := slices.IndexFunc(p.kept, func(kept keptNews) bool { return kept.key == key }); place >= 0 {
		found := p.kept[place]
		p.kept = append(slices.Delete(p.kept, place, place+1), found)
		return found.packed
	}
	made := keptNews{key: key}
	if encoded, err := proto.Marshal(news()); err == nil && len(encoded) >= MinSize {
		made.packed = pack(key, encoded)
		p.packs++
	}
	p.keep(made)
	return made.packed
}

// Packs is the number of pieces that were packed.
func (p *Packer) Packs() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.packs
}

func (p *Packer) keep(made keptNews) {
	p.kept = append(p.kept, made)
	p.bytes += len(made.packed.GetDeflated())
	for len(p.kept) > 1 && (len(p.kept) > maxKept || p.bytes > maxKeptBytes) {
		p.bytes -= len(p.kept[0].packed.GetDeflated())
		p.kept = slices.Delete(p.kept, 0, 1)
	}
}

// PackAnswer puts the changes or the repair of a control machine's answer to an agent in packed form, if they are large
// and the agent takes that.
func (p *Packer) PackAnswer(request *pb.WatchRequest, answer *pb.WatchResponse) {
	if !request.GetTakesPacked() || len(answer.GetChanges()) == 0 && answer.GetRepair() == nil {
		return
	}
	key := Key{Base: request.GetSequence(), Sequence: answer.GetSequence()}
	if answer.GetRepair() != nil {
		key.Whole = request.GetDigests() == nil
		key.Digests = DigestsKey(request.GetDigests())
	}
	packed := p.Packed(key, func() *pb.StateNews {
		return &pb.StateNews{Changes: answer.GetChanges(), Repair: answer.GetRepair()}
	})
	if packed == nil {
		return
	}
	answer.Packed = packed
	answer.Changes = nil
	answer.Repair = nil
}
