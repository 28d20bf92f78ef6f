package capacity

import "slices"

// Load is the demand on a group by the clients of one region.
type Load struct {
	Region      string // region of the clients
	Group       Group
	Model       string   // requested model; empty: any
	HomeRegions []string // regions that may serve it; empty: any
	Required    Amount   // amount of each resource, in its unit
	// CachedPrefill is the rate, in prompt tokens a second, that needs no prefill because the prefix is cached on a
	// server. It is not part of Required. When a server departs, the other servers must prefill what it had cached.
	CachedPrefill float64
}

// allowsRegion reports whether a region may serve the load.
func (l *Load) allowsRegion(region string) bool {
	return len(l.HomeRegions) == 0 || slices.Contains(l.HomeRegions, region)
}
