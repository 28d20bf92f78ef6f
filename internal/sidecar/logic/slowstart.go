package logic

// capacityFraction is the least fraction (0 to 1) of its full capacity that s has now. During slow start it
// grows linearly from Contract.SlowStartMinCapacity.
func (b *Balancer) capacityFraction(s *server) float64 {
	c, age := &b.cfg.Contract, b.now-s.Since
	if s.Since <= 0 || c.SlowStartWindow <= 0 || age >= c.SlowStartWindow {
		return 1
	}
	warmedUp := (1 - c.SlowStartMinCapacity) * float64(max(age, 0)) / float64(c.SlowStartWindow)
	return c.SlowStartMinCapacity + warmedUp
}

// grantSlowStartCredit gives each server of the subset that is in slow start a fraction of one request as
// credit: its fraction of the subset's capacity, times slowStartFactor. Each server is in about as many
// subsets as any other, so the sum over all sidecars is in proportion to its capacity. Credit is granted per
// request and not per send: with most of a fleet in slow start, each send costs a credit but would grant less
// than one, and credit would run out.
func (b *Balancer) grantSlowStartCredit() {
	size := min(b.subsetSize(), len(b.servers))
	var found [2]int        // number of servers found, by zoneSide
	var capacity [2]float64 // capacity of the subset, in servers, by zoneSide
	var warming []*server
	for _, s := range b.servers {
		side := b.zoneSide(s)
		if found[side] >= size || b.isExcluded(s) || b.now < s.ejectedUntil {
			continue
		}
		found[side]++
		capacity[side] += b.capacityFraction(s)
		if b.capacityFraction(s) < 1 {
			warming = append(warming, s)
		}
	}
	for _, s := range warming {
		part := b.capacityFraction(s) / max(capacity[b.zoneSide(s)], slowStartMinSubset*float64(size))
		s.slowStartCredit = min(s.slowStartCredit+slowStartFactor*part, slowStartMaxCredit)
	}
}
