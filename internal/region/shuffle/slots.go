package shuffle

import "time"

// merge inserts received members and then evicts neighbours until the view fits: first the neighbours that were sent to
// the other side, which now has them, then the oldest neighbours. The slots reserved by region are preserved.
func (v *View) merge(now time.Duration, received, sent []Neighbour) {
	for _, member := range received {
		v.insert(now, member)
	}
	for len(v.neighbours) > ViewSize {
		v.remove(v.evictionIndex(sent))
	}
}

// insert adds a member, or updates its entry unless the existing entry is younger. The view's own member, members
// without an address and members that failed within failureRetention are ignored.
func (v *View) insert(now time.Duration, member Neighbour) {
	if member.Host == "" || member.Host == v.self.Host || member.Address == "" {
		return
	}
	if until, failed := v.failedUntil[member.Host]; failed && now < until {
		return
	}
	if i := v.find(member.Host); i >= 0 {
		if member.Age <= v.neighbours[i].Age {
			v.neighbours[i] = member
		}
		return
	}
	v.neighbours = append(v.neighbours, member)
}

// evictionIndex returns the index of the neighbour to evict. The view must hold more neighbours than it has slots.
func (v *View) evictionIndex(sent []Neighbour) int {
	for _, member := range sent {
		if i := v.find(member.Host); i >= 0 && v.mayEvict(i) {
			return i
		}
	}
	oldest := -1
	for i := range v.neighbours {
		if !v.mayEvict(i) {
			continue
		}
		if oldest < 0 || v.neighbours[i].Age > v.neighbours[oldest].Age {
			oldest = i
		}
	}
	// There are fewer reserved slots than slots, so either the member's own region or the other regions have
	// more neighbours than reserved slots.
	if oldest < 0 {
		panic("shuffle: no neighbour may be evicted: more slots are reserved than ViewSize")
	}
	return oldest
}

// hasSlotFor reports whether there is a slot for a member, either a free slot or a slot that is reserved for its
// region.
func (v *View) hasSlotFor(member Neighbour) bool {
	inOwnRegion := v.countOwnRegion()
	if member.Region == v.self.Region {
		return len(v.neighbours) < ViewSize || inOwnRegion < ownRegionSlots
	}
	return len(v.neighbours) < ViewSize || len(v.neighbours)-inOwnRegion < otherRegionSlots
}

// mayEvict reports whether a neighbour may be evicted without leaving slots reserved by region unfilled.
func (v *View) mayEvict(index int) bool {
	inOwnRegion := v.countOwnRegion()
	if v.neighbours[index].Region == v.self.Region {
		return inOwnRegion > ownRegionSlots
	}
	return len(v.neighbours)-inOwnRegion > otherRegionSlots
}

// countOwnRegion returns the number of neighbours in the member's own region.
func (v *View) countOwnRegion() int {
	count := 0
	for i := range v.neighbours {
		if v.neighbours[i].Region == v.self.Region {
			count++
		}
	}
	return count
}

// find returns the index of a host's entry, or -1 if there is none.
func (v *View) find(host string) int {
	for i := range v.neighbours {
		if v.neighbours[i].Host == host {
			return i
		}
	}
	return -1
}

// remove removes the entry at index. It does not preserve the order of the other entries.
func (v *View) remove(index int) {
	last := len(v.neighbours) - 1
	v.neighbours[index] = v.neighbours[last]
	v.neighbours[last] = Neighbour{}
	v.neighbours = v.neighbours[:last]
}
