package main

// budget records the time spans of a day in which machines that count towards the fault budget are lost, so that no
// generated entry makes the site lose more of them at once than it claims to tolerate. A machine counts as lost until
// syncS after its return.
type budget struct {
	site    limits
	spans   []lossSpan
	removed map[removal]float64 // fraction of the servers or of the edge machines removed so far in the day
}

type lossSpan struct {
	from, to float64
	machines int
}

// maxRemovedFraction is the maximum fraction of the servers, and of the edge machines, that a day may remove
// permanently.
const maxRemovedFraction = 0.4

// rollStepS is the approximate downtime of a machine in a planned restart, in seconds.
const rollStepS = 1.5

func newBudget(site limits) budget {
	return budget{site: site, removed: map[removal]float64{}}
}

// allowsRemoval reports whether the fraction removed permanently stays within maxRemovedFraction with the entry.
func (b *budget) allowsRemoval(leaves removal, entry fault) bool {
	return leaves == removesNone || b.removed[leaves]+entry.Fraction <= maxRemovedFraction
}

// recordRemoval records the fraction that the entry removes permanently.
func (b *budget) recordRemoval(leaves removal, entry fault) { b.removed[leaves] += entry.Fraction }

// take reserves budget for the entry if enough is free, and reports whether it did.
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

// away returns the downtime of the machines that the entry affects, in seconds.
func (b *budget) away(takes loss, entry fault) float64 {
	if takes == coreRoll {
		return entry.Fraction * float64(b.site.coreCount) * (entry.GapS + rollStepS)
	}
	if entry.Kind == "replace_core" {
		return entry.X
	}
	return entry.ForS
}

// machines returns the number of machines of the budget that the entry takes. The loss of a zone takes the whole
// budget because it must not coincide with another loss; an entry that affects all machines takes it too.
func (b *budget) machines(takes loss, entry fault) int {
	if takes == machineLoss {
		return max(1, entry.Count)
	}
	return b.site.machines
}

// lostDuring returns the maximum number of machines lost at the same time during the span.
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

// freeFrom returns the earliest time, not before the given one, from which the whole budget is free.
func (b *budget) freeFrom(moment float64) float64 {
	free := moment
	for _, span := range b.spans {
		free = max(free, span.to)
	}
	return free
}
