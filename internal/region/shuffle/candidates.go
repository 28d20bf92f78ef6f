package shuffle

import "time"

// refill fills free slots with random candidates: first with candidates of the member's own region, up to
// ownRegionSlots, then with candidates of any region. If the view is empty, the recorded failures are cleared, because
// the fault may be this member's own.
func (v *View) refill(now time.Duration) {
	if len(v.neighbours) == 0 && v.pending.host == "" {
		clear(v.failedUntil)
	}
	if len(v.neighbours) >= ViewSize || len(v.candidates) == 0 {
		return
	}
	order := v.random.Perm(len(v.candidates))
	for _, i := range order {
		if v.countOwnRegion() >= ownRegionSlots {
			break
		}
		if v.candidates[i].Region == v.self.Region {
			v.insertIfFree(now, v.candidates[i])
		}
	}
	for _, i := range order {
		v.insertIfFree(now, v.candidates[i])
	}
}

// insertIfFree inserts a member if there is a free slot and the member is neither in the view nor the partner of the
// pending exchange.
func (v *View) insertIfFree(now time.Duration, member Neighbour) {
	if len(v.neighbours) >= ViewSize || member.Host == v.pending.host || v.find(member.Host) >= 0 {
		return
	}
	v.insert(now, member)
}

// receiveMembers records the members that a control machine knows as candidates, and refills free slots.
func (v *View) receiveMembers(now time.Duration, members []Neighbour) {
	candidates := make([]Neighbour, 0, min(len(members), maxCandidates))
	for _, member := range members {
		if len(candidates) == maxCandidates {
			break
		}
		if member.Host == v.self.Host || member.Address == "" {
			continue
		}
		candidates = append(candidates, member)
	}
	v.candidates = candidates
	v.refill(now)
}

// removeFailed removes a member that did not answer. The member is not inserted again for failureRetention, unless it
// initiates an exchange itself.
func (v *View) removeFailed(now time.Duration, host string) {
	if v.pending.host == host {
		v.pending = pendingExchange{}
	}
	if i := v.find(host); i >= 0 {
		v.remove(i)
	}
	if len(v.failedUntil) < maxFailures {
		v.failedUntil[host] = now + failureRetention
	}
	v.refill(now)
}

// expireFailures removes the recorded failures that are older than failureRetention.
func (v *View) expireFailures(now time.Duration) {
	for host, until := range v.failedUntil {
		if until <= now {
			delete(v.failedUntil, host)
		}
	}
}
