package catalog

import (
	"maps"
	"slices"

	"fieldrelay/internal/region/jsonwalk"
)

// amend writes the change that an amendment requests: first its upserts, then its removals.
func (w *changeWriter) amend(object []byte, faults *InvalidError) {
	upserts := jsonwalk.Member(object, memberUpsert)
	if upserts != nil && !jsonwalk.IsObject(upserts) {
		faults.add("", memberUpsert, "is not an object")
		return
	}
	removals := parseRemovals(jsonwalk.Member(object, memberRemove), faults)
	var target document
	if upserts != nil {
		target = parseDocument(upserts, faults)
	}
	if len(faults.Faults) > 0 {
		return
	}
	for _, section := range target.sections {
		w.amendSection(section, removals[section.name])
	}
	for _, kind := range slices.Sorted(maps.Keys(removals)) {
		w.amendRemovals(kind, removals[kind])
	}
}

// amendSection upserts a setting, or the entries of a collection that the amendment does not remove as well.
func (w *changeWriter) amendSection(upserts section, removed []string) {
	if !upserts.collection {
		w.amendSetting(upserts)
		return
	}
	removedNames := make(map[string]bool, len(removed))
	for _, name := range removed {
		removedNames[name] = true
	}
	if upserts.name == KindRoutes {
		w.submitted.add(upserts.entries)
	}
	w.upsertCollection(upserts.name)
	last := w.lastOrder(upserts.name)
	for _, requested := range upserts.entries {
		if removedNames[requested.name] {
			continue
		}
		order := last + orderGap
		if old, found := w.snapshot.Get(upserts.name, requested.name); found {
			order = old.GetOrder()
		} else {
			last = order
		}
		w.upsert(upserts.name, requested.name, order, requested.body)
	}
}

// amendSetting replaces a member as a whole. If the member was a collection, its items are removed.
func (w *changeWriter) amendSetting(setting section) {
	w.upsert(KindSetting, setting.name, w.settingOrder(setting.name), setting.body)
	if isCollection(setting.name) {
		w.removeOthers(setting.name, nil)
	}
}

// upsertCollection upserts the item that keeps the position of a collection among the members of the configuration.
func (w *changeWriter) upsertCollection(kind string) {
	w.upsert(KindSetting, kind, w.settingOrder(kind), emptyList)
}

// settingOrder returns the sort key of a member: the present sort key, or for a new member a sort key after those of
// all other members.
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

// lastOrder returns the highest sort key among the items of a kind, or 0 if there are none.
func (w *changeWriter) lastOrder(kind string) uint64 {
	items := w.snapshot.Items(kind)
	if len(items) == 0 {
		return 0
	}
	return items[len(items)-1].GetOrder()
}

// amendRemovals removes the named items of a kind. Names of no item and repeated names are ignored.
func (w *changeWriter) amendRemovals(kind string, names []string) {
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if _, found := w.snapshot.Get(kind, name); found && !seen[name] {
			seen[name] = true
			w.remove(kind, name)
		}
	}
}
