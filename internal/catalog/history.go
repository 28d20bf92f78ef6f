package catalog

import (
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Bounds of a History.
const (
	HistoryMaxChanges = 256
	HistoryMaxBytes   = 2 << 20 // of encoded changes
)

// History keeps the last changes for copies that lag a little. It is not safe for concurrent use. The zero
// value is a history that ends at sequence 0.
type History struct {
	changes []*pb.Change // consecutive, the newest last
	sizes   []int        // of each change, in bytes
	bytes   int
	last    uint64 // sequence up to which the history reaches
}

// NewHistory returns an empty history of a state at the given sequence.
func NewHistory(sequence uint64) *History { return &History{last: sequence} }

// Reset forgets everything and lets the history end at the given sequence, as after a repair.
func (h *History) Reset(sequence uint64) { *h = History{last: sequence} }

// Last is the sequence up to which the history reaches.
func (h *History) Last() uint64 { return h.last }

// Add appends a change. If it does not follow the last one, everything before it is forgotten.
func (h *History) Add(change *pb.Change) {
	if change.GetSequence() != h.last+1 {
		h.Reset(change.GetSequence() - 1)
	}
	size := proto.Size(change)
	h.changes = append(h.changes, change)
	h.sizes = append(h.sizes, size)
	h.bytes += size
	h.last = change.GetSequence()
	for len(h.changes) > HistoryMaxChanges || h.bytes > HistoryMaxBytes {
		h.discardOldest()
	}
}

func (h *History) discardOldest() {
	h.bytes -= h.sizes[0]
	h.changes[0] = nil
	h.changes = h.changes[1:]
	h.sizes = h.sizes[1:]
}

// Since returns the changes that follow a sequence, oldest first, and whether the history reaches back that
// far. The sequence of the newest change gives no changes and true; a later one gives false. The slice is the
// caller's own.
func (h *History) Since(sequence uint64) ([]*pb.Change, bool) {
	if sequence > h.last || h.last-sequence > uint64(len(h.changes)) {
		return nil, false
	}
	newer := h.changes[len(h.changes)-int(h.last-sequence):]
	return append([]*pb.Change(nil), newer...), true
}
