package platform

import (
	"hash/fnv"
	"time"

	"fieldrelay/internal/sidecar/budget"
	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/relay"
	"fieldrelay/internal/sidecar/source/endpoints"
)

// update notifies the sink of a list or of a change to it, and updates the ids and the charge for listed entries.
func (a *Actor) update(l endpoints.List, stored bool) {
	a.generation = l.Generation
	m := relay.Members{Complete: l.Reset || stored, Stored: stored, Members: make([]relay.Member, 0, len(l.Instances))}
	if m.Complete {
		a.keepListed(l.Instances)
	}
	now := time.Now()
	for _, e := range l.Instances {
		entry := relay.Member{Name: e.ID, Addr: e.Addr, ListedAt: now}
		entry.ID, entry.Zone, entry.Cell = a.idOf(e.ID), e.Zone, e.Cell
		entry.State, entry.Since = e.State, e.Started
		m.Members = append(m.Members, entry)
		if e.State == logic.Gone { // if it is listed again, it gets the same id: a hash of its name
			delete(a.ids, e.ID)
			delete(a.usedIDs, entry.ID)
		}
	}
	charge := a.gate.ForceReserve(budget.Lists, int64(len(a.ids)*listedBytes))
	a.charge.Release()
	a.charge = charge
	a.sink.UpdateMembers(m)
}

// keepListed drops the ids of servers that a complete list does not name.
func (a *Actor) keepListed(all []endpoints.Instance) {
	previous := a.ids
	a.ids, a.usedIDs = make(map[string]uint64, len(all)), make(map[uint64]bool, len(all))
	for _, e := range all {
		if id, ok := previous[e.ID]; ok {
			a.ids[e.ID], a.usedIDs[id] = id, true
		}
	}
}

// idOf returns the id by which the decision module knows a server: a hash of the server's name, so that the id is the same
// after a restart, or the next unused id if two names collide.
func (a *Actor) idOf(name string) uint64 {
	if id, ok := a.ids[name]; ok {
		return id
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	id := h.Sum64()
	for a.usedIDs[id] {
		id++
	}
	a.ids[name], a.usedIDs[id] = id, true
	return id
}
