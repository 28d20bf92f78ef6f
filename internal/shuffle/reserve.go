package shuffle

import (
	"time"
)

// refill fills free places from the members told by control: first those reserved for the own region. When every
// member has failed, failures are forgotten: the fault may have been here.
func (v *View) refill(now time.Duration) {
	if len(v.neighbours) == 0 && v.pending.host == "" {
		clear(v.failedUntil)
	}
	if len(v.neighbours) >= ViewSize || len(v.reserve) == 0 {
		return
	}
	order := v.random.Perm(len(v.reserve))
	for _, i := range order {
		if v.countOwnRegion() >= ownRegionSlots {
			break
		}
		if v.reserve[i].Region == v.self.Region {
			v.insertIfFree(now, v.reserve[i])
		}
	}
	for _, i := range order {
		v.insertIfFree(now, v.reserve[i])
	}
}

// insertIfFree takes a member in while there is a free place.
func (v *View) insertIfFree(now time.Duration, member Neighbour) {
	if len(v.neighbours) >= ViewSize || member.Host == v.pending.host || v.find(member.Host) >= 0 {
		return
	}
	v.insert(now, member)
}

// known remembers the members told by control and fills free places with them.
func (v *View) receiveMembers(now time.Duration, members []Neighbour) {
	reserve := make([]Neighbour, 0, min(len(members), maxReserve))
	for _, member := range members {
		if len(reserve) == maxReserve {
			break
		}
		if member.Host == v.self.Host || member.Address == "" {
			continue
		}
		reserve = append(reserve, member)
	}
	v.reserve = reserve
	v.refill(now)
}

// failed drops a member that didn't answer.
func (v *View) removeFailed(now time.Duration, host string) {
	if v.pending.host == host {
		v.pending = pendingExchange{}
	}
	for i := range v.neighbours {
		if v.neighbours[i].Host == host {
			v.remove(i)
			break
		}
	}
	if len(v.failedUntil) < maxFailures {
		v.failedUntil[host] = now + failureRetention
	}
	v.refill(now)
}

// expireFailures forgets failures that are old.
func (v *View) expireFailures(now time.Duration) {
	for host, until := range v.failedUntil {
		if until <= now {
			delete(v.failedUntil, host)
		}
	}
}
