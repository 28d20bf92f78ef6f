package catalog

import (
	"bytes"

	pb "fieldrelay/api/fieldrelay/v1"
)

// changeWriter builds the change from a snapshot to the configuration that an order requests.
type changeWriter struct {
	snapshot  *Snapshot       // state before the change
	change    *pb.Change      // change as written so far
	submitted submittedRoutes // routes that the order submits
}

// newChangeWriter returns a writer of the change from a snapshot to the configuration with a generation.
func newChangeWriter(snapshot *Snapshot, generation uint64) *changeWriter {
	return &changeWriter{
		snapshot: snapshot,
		change:   &pb.Change{Sequence: snapshot.Sequence() + 1, Generation: generation},
	}
}

// finish validates the resulting configuration and completes the change with the digest of its order.
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
	if err := checkSize(w.snapshot, next); err != nil {
		return nil, err
	}
	w.change.OrderDigest = digest[:]
	return w.change, nil
}

// upsert writes an item, unless the snapshot has an equal item. The body is copied, so that an item does not keep the
// body of the whole order in memory.
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

// replace writes the change from the snapshot to a whole configuration.
func (w *changeWriter) replace(target document) {
	w.submitted.all = true
	keep := make(map[string]map[string]bool)
	settings := make([]entry, 0, len(target.sections))
	for _, section := range target.sections {
		if !section.collection {
			settings = append(settings, entry{name: section.name, body: section.body})
			continue
		}
		settings = append(settings, entry{name: section.name, body: emptyList})
		keep[section.name] = w.replaceCollection(section.name, section.entries)
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
	for index, requested := range entries {
		names[requested.name] = true
		w.upsert(kind, requested.name, orders[index], requested.body)
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

// orderGap is the distance between the sort keys of appended items. Items can later be inserted between them without
// new sort keys for all items that follow.
const orderGap = 1 << 16

// assignOrders assigns ascending sort keys to the entries of a list. It keeps the present keys where they ascend, so
// that a change of a few items in a long list stays small.
func (w *changeWriter) assignOrders(kind string, entries []entry) []uint64 {
	orders := make([]uint64, len(entries))
	lastKnown := -1
	for index, requested := range entries {
		if old, found := w.snapshot.Get(kind, requested.name); found {
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

// nextOrder returns the sort key after another sort key, with a gap in between for appended items.
func nextOrder(previous uint64, isAppended bool) uint64 {
	if isAppended {
		return previous + orderGap
	}
	return previous + 1
}
