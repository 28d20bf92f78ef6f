package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	crossingsPerDay   = 4
	timesPerDay       = 2  // number of times that each crossing of a day is scheduled
	placementAttempts = 20 // times tried before an entry that takes budget is omitted
	startMargin       = 0.5
	endMargin         = 2.0 // seconds before the end of the day in which no crossing starts
	closingFraction   = 0.75
	maximumSeed       = 1 << 40
)

// limits are the values of a site that limit its days.
type limits struct {
	lengthS   float64
	leadS     float64 // seconds from the start of the machines to the first request
	syncS     float64 // seconds for which a machine still counts as lost after its return
	machines  int     // number of machines in the fault budget that may be lost at once
	zones     int     // number of zones that may be lost at once
	coreCount int
}

// drawer generates days for a site; the same seed generates the same days.
type drawer struct {
	random    *rand.Rand
	site      limits
	remaining map[string][]variant // shuffled variants still to be used as crossings, by point name
	budget    budget               // fault budget of the day being generated
}

func newDrawer(seed uint64, site limits) *drawer {
	return &drawer{random: rand.New(rand.NewPCG(seed, 0)), site: site, remaining: map[string][]variant{}}
}

// days generates perPoint days for each of the points.
func (d *drawer) days(chosen []point, perPoint int) []day {
	var drawn []day
	for number := range perPoint {
		for _, current := range chosen {
			drawn = append(drawn, d.day(current, number))
		}
	}
	return drawn
}

// day generates the entries of the point, then its next crossings.
func (d *drawer) day(current point, number int) day {
	d.budget = newBudget(d.site)
	drawn := day{
		Name:   fmt.Sprintf("drawn-%s-%03d", current.name, number),
		Slot:   "trouble",
		Seed:   1 + d.random.Int64N(maximumSeed),
		Plan:   []fault{},
		Faults: []fault{},
	}
	current.draw(d, &drawn)
	for range crossingsPerDay {
		crossing := d.nextCrossing(current.name)
		for range timesPerDay {
			d.scheduleRandomly(&drawn, crossing, d.site.lengthS-endMargin)
		}
	}
	if drawn.Closing == nil && d.random.Float64() < closingFraction {
		drawn.Closing = d.closing()
	}
	byTime := func(a, b fault) int { return int(math.Copysign(1, a.At-b.At)) }
	slices.SortStableFunc(drawn.Plan, byTime)
	slices.SortStableFunc(drawn.Faults, byTime)
	return drawn
}

// nextCrossing returns the variants in random order, each of them once before any is repeated.
func (d *drawer) nextCrossing(pointName string) variant {
	unused := d.remaining[pointName]
	if len(unused) == 0 {
		unused = allVariants()
		d.random.Shuffle(len(unused), func(i, j int) { unused[i], unused[j] = unused[j], unused[i] })
	}
	d.remaining[pointName] = unused[1:]
	return unused[0]
}

// scheduleRandomly adds the variant at a random time before latest. It omits the variant if the fault budget allows
// none of placementAttempts times.
func (d *drawer) scheduleRandomly(into *day, form variant, latest float64) {
	for range placementAttempts {
		at := d.between(span{startMargin, latest})
		if d.scheduleAt(into, form, at) {
			return
		}
	}
}

// scheduleAt adds the variant at the time if the fault budget allows it, and reports whether it did. A loss of several
// machines is reduced to one machine if the budget does not allow more.
func (d *drawer) scheduleAt(into *day, form variant, at float64) bool {
	entry := d.entry(form, at)
	if !d.budget.allowsRemoval(form.removes, entry) {
		return false
	}
	taken := d.budget.take(form.takes, at, entry)
	if !taken && entry.Count > 1 && form.takes == machineLoss {
		entry.Count = 1
		taken = d.budget.take(form.takes, at, entry)
	}
	if !taken {
		return false
	}
	d.budget.recordRemoval(form.removes, entry)
	into.add(entry)
	return true
}

// entry generates an entry with random values for the fields that the variant takes.
func (d *drawer) entry(form variant, at float64) fault {
	entry := fault{
		At: roundToHundredths(at), Kind: form.kind, How: form.how, On: form.on, planned: form.planned,
		ForS: d.drawn(form.forS), GapS: d.drawn(form.gapS), Fraction: d.drawn(form.fraction), X: d.drawn(form.x),
		Count: int(d.drawn(form.count)),
	}
	if form.takes == machineLoss && form.count != (span{}) {
		entry.Count = 1 + d.random.IntN(max(1, d.site.machines))
	}
	if form.kind == "release" || form.kind == "roll_term" {
		entry.X = math.Round(entry.X)
	}
	return entry
}

func (d *drawer) drawn(from span) float64 {
	if from == (span{}) {
		return 0
	}
	return d.between(from)
}

func (d *drawer) between(from span) float64 {
	return roundToHundredths(from.from + d.random.Float64()*(from.to-from.from))
}

func (d *drawer) oneOf(words ...string) string { return words[d.random.IntN(len(words))] }

func (d *drawer) closing() *closing {
	drawn := &closing{
		Kind:  d.oneOf("power_off_all", "wipe_after_ack", "kill_all", "wipe_after_ack"),
		DownS: d.between(span{0.3, 2}),
	}
	if drawn.Kind == "wipe_after_ack" {
		drawn.How = d.oneOf("", "aimed", "timed", "taken", "oldest")
	}
	return drawn
}

func roundToHundredths(value float64) float64 {
	const hundredths = 100
	return math.Round(value*hundredths) / hundredths
}
