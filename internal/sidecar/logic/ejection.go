package logic

import (
	"math"
	"slices"
	"time"
)

// ejectThreshold is the number of consecutive failures that ejects a server: a run that is unlikely by
// chance. Where some attempts fail at all servers, as with an unreliable network, a busy sidecar soon sees a
// few consecutive failures at any server. A fixed threshold of three ejected four of six servers in this
// case and overloaded the other two.
func (b *Balancer) ejectThreshold() int {
	rates := []float64{0} // there may be no servers left
	for _, s := range b.servers {
		rates = append(rates, s.failureRate)
	}
	slices.Sort(rates)
	median := min(max(rates[len(rates)/2], 1e-3), 0.5) // hardly affected by a few faulty servers
	return max(minEjectFailures, int(math.Ceil(math.Log(ejectChance)/math.Log(median))))
}

// eject stops sends to a hung or failing server for a time that doubles with each ejection. Afterwards one
// attempt at a time probes the server. This is outlier ejection as in Envoy.
func (b *Balancer) eject(s *server) {
	if b.now < s.ejectedUntil {
		return
	}
	s.ejectedUntil, s.limit = b.now+time.Duration(s.ejectBackoff*float64(agingTime)), 1
	b.logf("server %d ejected for %.1fs: %d failures, errors %.2f", s.ID,
		(s.ejectedUntil - b.now).Seconds(), s.consecutiveFailures, s.faultRates[failure])
	s.ejectBackoff = min(2*s.ejectBackoff, maxEjectBackoff)
}
