package capacity

import (
	"cmp"
	"math"
	"slices"
)

// roundingError is the largest fraction of a load that may remain unallocated because of rounding.
const roundingError = 1e-9

// bin is the free capacity of the nodes of one region that serve the same models.
type bin struct {
	region string
	sample *Node
	free   Amount
}

// allocate distributes the loads, multiplied by a factor, over the nodes that have not failed. failed is indexed like
// nodes; nil means that no node has failed. The result is the worst shortage, or nil if all loads fit. Nodes and loads are
// of one group.
func allocate(nodes []Node, failed []bool, loads []Load, factor float64) *Shortage {
	bins := groupIntoBins(nodes, failed)
	var worst *Shortage
	for _, load := range mostConstrainedFirst(loads, bins) {
		unserved := 1.0
		for _, target := range eligibleBins(load, bins) {
			fraction := min(unserved, target.largestFraction(load.Required.Scale(factor)))
			target.free = target.free.Sub(load.Required.Scale(factor * fraction))
			unserved -= fraction
		}
		if unserved > roundingError && (worst == nil || unserved > worst.Fraction) {
			worst = newShortage(load, bins, unserved, factor)
		}
	}
	return worst
}

// groupIntoBins sums the capacity of the nodes by region and models. The bins are ordered by region, then models.
func groupIntoBins(nodes []Node, failed []bool) []*bin {
	var bins []*bin
	for index := range nodes {
		if failed != nil && failed[index] {
			continue
		}
		node := &nodes[index]
		found := slices.IndexFunc(bins, func(candidate *bin) bool {
			return candidate.region == node.Region && slices.Equal(candidate.sample.Models, node.Models)
		})
		if found < 0 {
			bins = append(bins, &bin{region: node.Region, sample: node})
			found = len(bins) - 1
		}
		bins[found].free = bins[found].free.Add(node.Capacity)
	}
	slices.SortFunc(bins, func(a, b *bin) int {
		return cmp.Or(cmp.Compare(a.region, b.region), slices.Compare(a.sample.Models, b.sample.Models))
	})
	return bins
}

// mostConstrainedFirst returns the loads with a non-zero requirement, those with the fewest eligible bins first. Loads with
// equally many bins keep their order.
func mostConstrainedFirst(loads []Load, bins []*bin) []*Load {
	ordered := make([]*Load, 0, len(loads))
	for index := range loads {
		if loads[index].Required != (Amount{}) {
			ordered = append(ordered, &loads[index])
		}
	}
	slices.SortStableFunc(ordered, func(a, b *Load) int {
		return cmp.Compare(len(eligibleBins(a, bins)), len(eligibleBins(b, bins)))
	})
	return ordered
}

// eligibleBins returns the bins that may serve a load, those of the clients' own region first.
func eligibleBins(load *Load, bins []*bin) []*bin {
	var own, others []*bin
	for _, candidate := range bins {
		switch {
		case !load.allowsRegion(candidate.region) || !candidate.sample.servesModel(load.Model):
		case candidate.region == load.Region:
			own = append(own, candidate)
		default:
			others = append(others, candidate)
		}
	}
	return append(own, others...)
}

// largestFraction returns the largest fraction, up to 1, of a required amount that fits into the free capacity.
func (b *bin) largestFraction(required Amount) float64 {
	fraction := 1.0
	for resource, amount := range required {
		if amount > 0 {
			fraction = min(fraction, b.free[resource]/amount)
		}
	}
	return fraction
}

// newShortage describes a load of which a fraction could not be allocated.
func newShortage(load *Load, bins []*bin, unserved, factor float64) *Shortage {
	var free Amount
	for _, candidate := range eligibleBins(load, bins) {
		free = free.Add(candidate.free)
	}
	resource := scarcest(free, load.Required)
	required := load.Required[resource] * factor
	return &Shortage{
		Region:   load.Region,
		Group:    load.Group,
		Model:    load.Model,
		Resource: resource,
		Required: required,
		Missing:  required * unserved,
		Fraction: unserved,
	}
}

// scarcest returns the required resource with the smallest ratio of free to required amount.
func scarcest(free, required Amount) Resource {
	found, least := Slots, math.Inf(1)
	for resource, amount := range required {
		if amount <= 0 {
			continue
		}
		if fraction := free[resource] / amount; fraction < least {
			found, least = Resource(resource), fraction
		}
	}
	return found
}
