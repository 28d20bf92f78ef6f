package shuffle

import (
	"time"
)

// merge takes told members in and then drops surplus ones: those in sent first, then the oldest, but none that
// would leave too few of the own region or of the others.
func (v *View) merge(now time.Duration, received, sent []Neighbour) {
	for _, member := range received {
		v.insert(now, member)
	}
	for len(v.neighbours) > ViewSize {
		v.remove(v.evictionIndex(sent))
	}
}

// take adds a member or refreshes its entry.
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

// surplus is the index of the neighbour that is missed least. There are more neighbours than places.
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
	if oldest < 0 {
		panic("shuffle: more places reserved than there are")
	}
	return oldest
}

// wants tells whether there is a place for a member: a free one, or one that is reserved for its region.
func (v *View) hasRoomFor(member Neighbour) bool {
	own := v.countOwnRegion()
	if member.Region == v.self.Region {
		return len(v.neighbours) < ViewSize || own < ownRegionSlots
	}
	return len(v.neighbours) < ViewSize || len(v.neighbours)-own < otherRegionSlots
}

// expendable tells whether the rules on regions allow that a neighbour goes.
func (v *View) mayEvict(index int) bool {
	own := v.countOwnRegion()
	if v.neighbours[index].Region == v.self.Region {
		return own > ownRegionSlots
	}
	return len(v.neighbours)-own > otherRegionSlots
}

// countOwnRegion counts the neighbours of the own region.
func (v *View) countOwnRegion() int {
	count := 0
	for i := range v.neighbours {
		if v.neighbours[i].Region == v.self.Region {
			count++
		}
	}
	return count
}

// find is the index of a host's entry, -1 if there is none.
func (v *View) find(host string) int {
	for i := range v.neighbours {
		if v.neighbours[i].Host == host {
			return i
		}
	}
	return -1
}

// remove takes the entry at index out; the order of the rest isn't kept.
func (v *View) remove(index int) {
	last := len(v.neighbours) - 1
	v.neighbours[index] = v.neighbours[last]
	v.neighbours[last] = Neighbour{}
	v.neighbours = v.neighbours[:last]
}
