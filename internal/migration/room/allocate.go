package room

import (
	"cmp"
	"math"
	"slices"
)

// rounding is the part of a load that may be left over by rounding.
const roundingError = 1e-9

// bin is the room of the nodes of one region that hold the same models.
type bin struct {
	region string
	sample *Node
	free   Amount
}

// fit lays the loads, scaled, over the nodes that are not lost (by index; nil: none is) and returns the worst
// shortage, or nil if everything fits. Both are of one group.
func allocate(nodes []Node, lost []bool, loads []Load, scale float64) *Shortage {
	bins := groupIntoBins(nodes, lost)
	var worst *Shortage
	for _, load := range mostConstrainedFirst(loads, bins) {
		left := 1.0
		for _, target := range eligibleBins(load, bins) {
			part := min(left, target.largestFraction(load.Required.Scale(scale)))
			target.free = target.free.Sub(load.Required.Scale(scale * part))
			left -= part
		}
		if left > roundingError && (worst == nil || left > worst.Fraction) {
			worst = newShortage(load, bins, left, scale)
		}
	}
	return worst
}

func groupIntoBins(nodes []Node, lost []bool) []*bin {
	var bins []*bin
	for index := range nodes {
		if lost != nil && lost[index] {
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

// mostConstrainedFirst orders the loads that need anything: those that fewest bins may serve come first.
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

// eligibleBins gives the bins that may serve a load, those of its own region first.
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

// largestFraction is the largest part, up to the whole, of a need that fits into what is free.
func (b *bin) largestFraction(need Amount) float64 {
	part := 1.0
	for resource, wanted := range need {
		if wanted > 0 {
			part = min(part, b.free[resource]/wanted)
		}
	}
	return part
}

// scarcest is the resource of which the least is free for a need.
func scarcest(free, need Amount) Resource {
	found, least := Slots, math.Inf(1)
	for resource, wanted := range need {
		if wanted <= 0 {
			continue
		}
		if part := free[resource] / wanted; part < least {
			found, least = Resource(resource), part
		}
	}
	return found
}

func newShortage(load *Load, bins []*bin, left, scale float64) *Shortage {
	var free Amount
	for _, candidate := range eligibleBins(load, bins) {
		free = free.Add(candidate.free)
	}
	resource := scarcest(free, load.Required)
	need := load.Required[resource] * scale
	return &Shortage{
		Region:   load.Region,
		Group:    load.Group,
		Model:    load.Model,
		Resource: resource,
		Required: need,
		Missing:  need * left,
		Fraction: left,
	}
}
