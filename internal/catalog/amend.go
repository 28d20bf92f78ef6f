package catalog

import (
	"maps"
	"slices"

	"fieldrelay/internal/jsonwalk"
)

// amend makes the difference that an amendment asks for: upserts first, then removals.
func (w *changeWriter) amend(object []byte, faults *InvalidError) {
	upserts := jsonwalk.Member(object, memberUpsert)
	if upserts != nil && !jsonwalk.IsObject(upserts) {
		faults.add("", memberUpsert, "is not an object")
		return
	}
	removals := parseRemovals(jsonwalk.Member(object, memberRemove), faults)
	var wanted document
	if upserts != nil {
		wanted = parseDocument(upserts, faults)
	}
	if len(faults.Faults) > 0 {
		return
	}
	for _, part := range wanted.sections {
		w.amendSection(part, removals[part.name])
	}
	for _, kind := range slices.Sorted(maps.Keys(removals)) {
		w.amendRemovals(kind, removals[kind])
	}
}

func (w *changeWriter) amendSection(part section, removed []string) {
	if !part.collection {
		w.amendSetting(part)
		return
	}
	removedNames := make(map[string]bool, len(removed))
	for _, name := range removed {
		removedNames[name] = true
	}
	if part.name == KindRoutes {
		w.submitted.add(part.entries)
	}
	w.upsertCollection(part.name)
	last := w.lastOrder(part.name)
	for _, wanted := range part.entries {
		if removedNames[wanted.name] {
			continue
		}
		order := last + orderGap
		if old, found := w.snapshot.Get(part.name, wanted.name); found {
			order = old.GetOrder()
		} else {
			last = order
		}
		w.upsert(part.name, wanted.name, order, wanted.body)
	}
}

// amendSetting puts a member in place as a whole. A collection that had its name ends.
func (w *changeWriter) amendSetting(part section) {
	w.upsert(KindSetting, part.name, w.settingOrder(part.name), part.body)
	if isCollection(part.name) {
		w.removeOthers(part.name, nil)
	}
}

// upsertCollection keeps the place of a collection among the members of the configuration.
func (w *changeWriter) upsertCollection(kind string) {
	w.upsert(KindSetting, kind, w.settingOrder(kind), emptyList)
}

func (w *changeWriter) settingOrder(name string) uint64 {
	if old, found := w.snapshot.Get(KindSetting, name); found {
		return old.GetOrder()
	}
	last := w.lastOrder(KindSetting)
	for _, item := range w.change.Upserts {
		if item.GetKind() == KindSetting {
			last = max(last, item.GetOrder())
		}
	}
	return last + orderGap
}

// lastOrder is the highest order among the items of a kind; 0 when there is none.
func (w *changeWriter) lastOrder(kind string) uint64 {
	items := w.snapshot.Items(kind)
	if len(items) == 0 {
		return 0
	}
	return items[len(items)-1].GetOrder()
}

func (w *changeWriter) amendRemovals(kind string, names []string) {
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if _, found := w.snapshot.Get(kind, name); found && !seen[name] {
			seen[name] = true
			w.remove(kind, name)
		}
	}
}
