package catalog

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	pb "fieldrelay/api/fieldrelay/v1"
)

// orderKind tells the orders on the configuration apart in their digests.
type orderKind string

const (
	orderReplace orderKind = "replace"
	orderAmend   orderKind = "amend"
)

// prepare checks an order in the sequence that its answers depend on: built on the current generation or taken
// before, readable, valid.
func prepare(snapshot *Snapshot, kind orderKind, base uint64, body []byte) (*pb.Change, error) {
	if base != snapshot.Generation() {
		return nil, snapshot.answerStale(kind, base, body)
	}
	object, err := parseObject(body)
	if err != nil {
		return nil, err
	}
	faults := &InvalidError{}
	writer := newChangeWriter(snapshot, parseGeneration(object, snapshot.Generation(), faults))
	if kind == orderAmend {
		writer.amend(object, faults)
	} else {
		writer.replace(parseDocument(object, faults))
	}
	if err := faults.orNil(); err != nil {
		return nil, err
	}
	return writer.finish(digestOrder(kind, base, body))
}

// answerStale answers an order on another generation than the current one. It is a repeat if it is the very order
// that was taken on that generation, and has lost for good if another one was or the generation was never in
// force.
func (s *Snapshot) answerStale(kind orderKind, base uint64, body []byte) error {
	if !s.executed.covers(base) {
		return &ExecutionUnknownError{Base: base, Oldest: s.executed.baseGeneration}
	}
	if order, found := s.executed.executedOn(base); found && order.digest == digestOrder(kind, base, body) {
		return &AlreadyExecutedError{Generation: order.generation}
	}
	return &ConflictError{Base: base, Current: s.generation}
}

// digestOrder is the start of the SHA-256 of an order with the generation that it builds on.
func digestOrder(kind orderKind, base uint64, body []byte) orderDigest {
	digest := sha256.New()
	digest.Write([]byte(kind))
	var number [9]byte // after a 0 that ends the kind
	binary.BigEndian.PutUint64(number[1:], base)
	digest.Write(number[:])
	digest.Write(body)
	var sum [sha256.Size]byte
	return orderDigest(digest.Sum(sum[:0])[:orderDigestBytes])
}

// changeWriter collects the difference between the snapshot and the configuration that an order asks for.
type changeWriter struct {
	snapshot  *Snapshot
	change    *pb.Change
	submitted submittedRoutes
}

func newChangeWriter(snapshot *Snapshot, generation uint64) *changeWriter {
	return &changeWriter{
		snapshot: snapshot,
		change:   &pb.Change{Sequence: snapshot.Sequence() + 1, Generation: generation},
	}
}

// finish checks the configuration that results and notes the order that makes the change.
func (w *changeWriter) finish(digest orderDigest) (*pb.Change, error) {
	next, err := w.snapshot.Apply(w.change)
	if err != nil {
		return nil, err
	}
	faults := &InvalidError{}
	validate(w.snapshot, next, w.submitted, faults)
	if err := faults.orNil(); err != nil {
		return nil, err
	}
	w.change.Taken = digest[:]
	return w.change, nil
}

// upsert writes an item, unless the snapshot holds it just so. The body is copied: an item must not keep the
// whole order in memory.
func (w *changeWriter) upsert(kind, name string, order uint64, body []byte) {
	old, found := w.snapshot.Get(kind, name)
	if found && old.GetOrder() == order && bytes.Equal(old.GetBody(), body) {
		return
	}
	w.change.Upserts = append(w.change.Upserts, &pb.Item{
		Kind:     kind,
		Name:     name,
		Order:    order,
		Sequence: w.change.Sequence,
		Body:     bytes.Clone(body),
	})
}

func (w *changeWriter) remove(kind, name string) {
	w.change.Removals = append(w.change.Removals, &pb.ItemKey{Kind: kind, Name: name})
}

// replace makes the difference between the snapshot and a whole configuration.
func (w *changeWriter) replace(wanted document) {
	w.submitted.all = true
	keep := make(map[string]map[string]bool)
	settings := make([]entry, 0, len(wanted.sections))
	for _, part := range wanted.sections {
		if !part.collection {
			settings = append(settings, entry{name: part.name, body: part.body})
			continue
		}
		settings = append(settings, entry{name: part.name, body: emptyList})
		keep[part.name] = w.replaceCollection(part.name, part.entries)
	}
	keep[KindSetting] = w.replaceCollection(KindSetting, settings)
	for _, kind := range w.snapshot.Kinds() {
		if isOperatorKind(kind) {
			w.removeOthers(kind, keep[kind])
		}
	}
}

// replaceCollection writes the items of a collection and returns their names.
func (w *changeWriter) replaceCollection(kind string, entries []entry) map[string]bool {
	names := make(map[string]bool, len(entries))
	orders := w.assignOrders(kind, entries)
	for index, wanted := range entries {
		names[wanted.name] = true
		w.upsert(kind, wanted.name, orders[index], wanted.body)
	}
	return names
}

// removeOthers removes the items of a kind that are not among the names, which may be nil.
func (w *changeWriter) removeOthers(kind string, names map[string]bool) {
	for _, item := range w.snapshot.Items(kind) {
		if !names[item.GetName()] {
			w.remove(kind, item.GetName())
		}
	}
}

// orderGap lies between the orders of items that are appended: others fit in between later without new orders
// for all that follow.
const orderGap = 1 << 16

// assignOrders gives rising orders to a list and keeps those that its items have where they rise already, so
// that a change of a few items in a long list stays small.
func (w *changeWriter) assignOrders(kind string, entries []entry) []uint64 {
	orders := make([]uint64, len(entries))
	lastKnown := -1
	for index, wanted := range entries {
		if old, found := w.snapshot.Get(kind, wanted.name); found {
			orders[index] = old.GetOrder()
			lastKnown = index
		}
	}
	previous := uint64(0)
	for index := range orders {
		if orders[index] <= previous {
			orders[index] = nextOrder(previous, index > lastKnown)
		}
		previous = orders[index]
	}
	return orders
}

func nextOrder(previous uint64, isAppended bool) uint64 {
	if isAppended {
		return previous + orderGap
	}
	return previous + 1
}
