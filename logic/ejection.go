package logic

import (
	"math"
	"slices"
	"time"
)

// run is how many failures in a row tell that a server is at fault. Where attempts fail now and then at all,
// as when connections break on the way, a busy sidecar soon sees a few in a row anywhere: four of six servers
// were ejected for that, and the others overrun.
func (b *Balancer) ejectThreshold() int {
	shares := []float64{0} // the list may have gone meanwhile
	for _, s := range b.servers {
		shares = append(shares, s.failureShare)
	}
	slices.Sort(shares)
	usual := min(max(shares[len(shares)/2], 1e-3), 0.5) // of the middle one: a few at fault do not move it
	return max(minEjectFailures, int(math.Ceil(math.Log(ejectChance)/math.Log(usual))))
}

// eject rests a hung or failing server for a while that doubles, then tries it with one attempt at a time.
func (b *Balancer) eject(s *server) {
	if b.now < s.ejectedUntil {
		return
	}
	s.ejectedUntil, s.limit = b.now+time.Duration(s.ejectBackoff*float64(agingTime)), 1
	b.logf("server %d ejected for %.1fs: %d failures, errors %.2f", s.ID,
		(s.ejectedUntil - b.now).Seconds(), s.failuresInRow, s.faultShares[failure])
	s.ejectBackoff = min(2*s.ejectBackoff, maxEjectBackoff)
}
