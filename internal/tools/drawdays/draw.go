package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	crossingsPerDay   = 4
	timesPerDay       = 2  // how often a crossing is tried in a day
	placementAttempts = 20 // places tried before an entry that takes budget is left out
	startMargin       = 0.5
	endMargin         = 2.0 // seconds before the end in which no entry starts
	closingFraction   = 0.75
	maximumSeed       = 1 << 40
)

// limits are the figures of a site that bound its days.
type limits struct {
	lengthS   float64
	leadS     float64 // from the start of the machines to the first request
	syncS     float64 // how long a machine counts as lost after it is back
	machines  int     // of those that count, that may be lost at once
	zones     int     // that may be lost at once
	coreCount int
}

// drawer draws days for a site; the same seed gives the same days.
type drawer struct {
	random *rand.Rand
	site   limits
	decks  map[string][]variant // what is still to be crossed, by point
	budget budget               // of the day being drawn
}

func newDrawer(seed uint64, site limits) *drawer {
	return &drawer{random: rand.New(rand.NewPCG(seed, 0)), site: site, decks: map[string][]variant{}}
}

// days draws the number of days for each of the points.
func (d *drawer) days(chosen []point, perPoint int) []day {
	var drawn []day
	for number := range perPoint {
		for _, current := range chosen {
			drawn = append(drawn, d.day(current, number))
		}
	}
	return drawn
}

// day draws the entries of a point, and then the next crossings that are due for it.
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

// nextCrossing deals the variants in a random order, each once before any comes again.
func (d *drawer) nextCrossing(pointName string) variant {
	deck := d.decks[pointName]
	if len(deck) == 0 {
		deck = allVariants()
		d.random.Shuffle(len(deck), func(i, j int) { deck[i], deck[j] = deck[j], deck[i] })
	}
	d.decks[pointName] = deck[1:]
	return deck[0]
}

// scheduleRandomly adds the variant at a random time before the latest, if the fault budget leaves one.
func (d *drawer) scheduleRandomly(into *day, form variant, latest float64) {
	for range placementAttempts {
		at := d.between(span{startMargin, latest})
		if d.scheduleAt(into, form, at) {
			return
		}
	}
}

// scheduleAt adds the variant at the time and reports whether the fault budget allows it.
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

// entry draws the fields that the variant takes.
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

// roundToHundredths keeps hundredths.
func roundToHundredths(value float64) float64 {
	const hundredths = 100
	return math.Round(value*hundredths) / hundredths
}
