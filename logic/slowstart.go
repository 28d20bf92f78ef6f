package logic

// capacityFraction is the share of its full capacity that s has at the least.
func (b *Balancer) capacityFraction(s *server) float64 {
	c, age := &b.cfg.Contract, b.now-s.Since
	if s.Since <= 0 || c.SlowStartWindow <= 0 || age >= c.SlowStartWindow {
		return 1
	}
	return c.SlowStartMinCapacity + (1-c.SlowStartMinCapacity)*float64(max(age, 0))/float64(c.SlowStartWindow)
}

// earn gives the cold servers of the subset, and no others, their parts of a request that came in. The sum
// over all sidecars keeps the rule: each server is in as many subsets as any other. Sends would not do as a
// measure: with most of a fleet cold, each would allow less than one.
func (b *Balancer) grantSlowStartCredit() {
	width := min(b.subsetSize(), len(b.servers))
	var met [2]int
	var able [2]float64 // what the subset can do, in servers
	var cold []*server
	for _, s := range b.servers {
		zone := b.zoneSide(s)
		if met[zone] >= width || b.isExcluded(s) || b.now < s.ejectedUntil {
			continue
		}
		met[zone]++
		able[zone] += b.capacityFraction(s)
		if b.capacityFraction(s) < 1 {
			cold = append(cold, s)
		}
	}
	for _, s := range cold {
		part := b.capacityFraction(s) / max(able[b.zoneSide(s)], slowStartMinSubset*float64(width))
		s.slowStartCredit = min(s.slowStartCredit+slowStartShare*part, slowStartMaxCredit)
	}
}
