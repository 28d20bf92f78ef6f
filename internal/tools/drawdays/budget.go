package main

// budget keeps the spans of a day in which machines that count are lost, so that no draw takes more of them at
// once than the site promises to bear. What is lost counts until syncS after it is back.
type budget struct {
	site            limits
	spans           []lossSpan
	removedFraction map[removal]float64 // share of the servers or of the edge machines
}

type lossSpan struct {
	from, to float64
	machines int
}

// maxRemovedFraction is the share of the servers, or of the edge machines, that may leave for good in a day.
const maxRemovedFraction = 0.4

// rollStepS is about how long a machine that is told to end and started again is away, in seconds.
const rollStepS = 1.5

func newBudget(site limits) budget {
	return budget{site: site, removedFraction: map[removal]float64{}}
}

// allowsRemoval reports whether what the entry takes away for good leaves enough.
func (b *budget) allowsRemoval(leaves removal, entry fault) bool {
	return leaves == removesNone || b.removedFraction[leaves]+entry.Fraction <= maxRemovedFraction
}

// recordRemoval books what the entry takes away for good.
func (b *budget) recordRemoval(leaves removal, entry fault) {
	b.removedFraction[leaves] += entry.Fraction
}

// take books the entry if the budget allows it, and reports whether it did.
func (b *budget) take(takes loss, at float64, entry fault) bool {
	if takes == noLoss {
		return true
	}
	if takes == zoneLoss && b.site.zones == 0 {
		return false
	}
	wanted := lossSpan{from: at, to: at + b.away(takes, entry) + b.site.syncS, machines: b.machines(takes, entry)}
	if b.lostDuring(wanted)+wanted.machines > b.site.machines {
		return false
	}
	b.spans = append(b.spans, wanted)
	return true
}

// away returns how long the machines of the entry are away, in seconds.
func (b *budget) away(takes loss, entry fault) float64 {
	if takes == coreRoll {
		return entry.Fraction * float64(b.site.coreCount) * (entry.GapS + rollStepS)
	}
	if entry.Kind == "replace_core" {
		return entry.X
	}
	return entry.ForS
}

// machines returns how much of the budget of machines the entry takes. The loss of a zone takes all of it, as it
// may not fall together with another one; so does one that hits all machines.
func (b *budget) machines(takes loss, entry fault) int {
	if takes == machineLoss {
		return max(1, entry.Count)
	}
	return b.site.machines
}

// lostDuring returns the most machines that are lost at some moment of the span.
func (b *budget) lostDuring(wanted lossSpan) int {
	worst := 0
	for _, start := range append([]lossSpan{wanted}, b.spans...) {
		if start.from >= wanted.from && start.from < wanted.to {
			worst = max(worst, b.lostAt(start.from))
		}
	}
	return worst
}

func (b *budget) lostAt(moment float64) int {
	lost := 0
	for _, span := range b.spans {
		if span.from <= moment && moment < span.to {
			lost += span.machines
		}
	}
	return lost
}

// freeFrom returns the first moment, not before the given one, from which a machine may be lost again.
func (b *budget) freeFrom(moment float64) float64 {
	free := moment
	for _, span := range b.spans {
		free = max(free, span.to)
	}
	return free
}
