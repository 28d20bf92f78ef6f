package catalog

import (
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Limits of the size of a History.
const (
	HistoryMaxChanges = 256
	HistoryMaxBytes   = 2 << 20 // total size of the encoded changes
)

// History retains the last changes, for replicas that are a few changes behind. It is not safe for concurrent use. The
// zero value is a history that ends at sequence 0.
type History struct {
	changes []*pb.Change // consecutive changes, the newest last
	sizes   []int        // encoded size of each change, in bytes
	bytes   int          // encoded size of all changes
	last    uint64       // sequence at which the history ends
}

// NewHistory returns an empty history of a state at the given sequence.
func NewHistory(sequence uint64) *History { return &History{last: sequence} }

// Reset discards all changes; the history then ends at the given sequence, as after a repair.
func (h *History) Reset(sequence uint64) { *h = History{last: sequence} }

// Add appends a change. If the change does not follow the last one, all earlier changes are discarded.
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

// Since returns the changes after a sequence, oldest first, and whether the history reaches back to that sequence. It
// returns no changes and true for the sequence at which the history ends, and false for a later sequence. The caller
// owns the slice.
func (h *History) Since(sequence uint64) ([]*pb.Change, bool) {
	if sequence > h.last || h.last-sequence > uint64(len(h.changes)) {
		return nil, false
	}
	newer := h.changes[len(h.changes)-int(h.last-sequence):]
	return append([]*pb.Change(nil), newer...), true
}
