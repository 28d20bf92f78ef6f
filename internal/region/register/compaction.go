package register

import (
	"slices"
	"time"
)

// maxCompactedGroups is the maximum number of groups whose events are examined at one tick.
const maxCompactedGroups = 1024

// compactSome drops the events that are older than the retention time from up to maxCompactedGroups groups, and
// continues with the others at the next call. Without it, a group that is not written any more would keep its events.
func (r *Replica) compactSome(now time.Duration) {
	for range min(len(r.groups), maxCompactedGroups) {
		r.nextGroup %= len(r.groups)
		r.compact(now, r.groups[r.nextGroup])
		r.nextGroup++
	}
}

// compact drops the events that are older than the retention time.
func (r *Replica) compact(now time.Duration, found *acceptor) {
	old := 0
	for old < len(found.eventTimes) && now-found.eventTimes[old] > r.retention {
		old++
	}
	if old == 0 {
		return
	}
	group := found.value.GetGroup()
	found.value = groupValue(withoutEventsThrough(group, group.GetEvents()[old-1].GetRevision()))
	found.eventTimes = slices.Clone(found.eventTimes[old:])
	before := found.bytes
	found.bytes = valueBytes(found.value)
	r.bytes += found.bytes - before
}
