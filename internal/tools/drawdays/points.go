package main

// point is a scenario that days are generated for: its entries are scheduled first, the crossings after them.
type point struct {
	name string
	draw func(*drawer, *day)
}

const (
	longPartitionS = 20.0
	afterSync      = 0.05 // seconds between the release of the fault budget and the next loss
	latestReleaseS = 3.0  // latest start of the release of the servers, in seconds
)

// allPoints lists all points, in the order of docs/design/control-review.md.
func allPoints() []point {
	return []point{
		{"cut", drawLongPartition},
		{"races", drawRaces},
		{"second-loss", drawSecondLoss},
		{"many-changes", drawManyChanges},
		{"servers", drawServers},
	}
}

// drawLongPartition cuts off a machine for twenty seconds while changes arrive. In some days the partition starts before
// the first request.
func drawLongPartition(d *drawer, into *day) {
	cuts := partitionVariants(span{longPartitionS, longPartitionS})
	cut := cuts[d.random.IntN(len(cuts))]
	start := d.between(span{0.5, 6})
	switch d.random.IntN(4) {
	case 0, 1:
		start = d.schedulePriorLoss(into, start)
	case 2:
		start = d.between(span{-d.site.leadS / 2, 0})
	}
	d.scheduleAt(into, cut, start)
	d.scheduleChanges(into, start, longPartitionS)
	if d.random.IntN(2) == 0 {
		away := variant{kind: "node_cut", how: d.oneOf("", "all"), fraction: half, forS: span{longPartitionS, longPartitionS}}
		d.scheduleAt(into, away, start+d.between(span{0, 1}))
	}
}

// schedulePriorLoss schedules another loss before the partition and returns the time at which the partition may start:
// right after a new machine has joined, or, if the budget allows both losses, during the election that a kill causes.
func (d *drawer) schedulePriorLoss(into *day, start float64) float64 {
	first := variant{kind: "replace_core", how: d.oneOf("", "planned", "oldest"), x: span{0.3, 0.3},
		takes: machineLoss, planned: true}
	if d.site.machines > 1 {
		first = variant{kind: "node_kill", on: "core", how: "power leader", forS: span{1, 3}, count: span{1, 1},
			takes: machineLoss}
	}
	entry := d.entry(first, startMargin)
	entry.Count = min(entry.Count, 1)
	if !d.budget.take(first.takes, startMargin, entry) {
		return start
	}
	into.add(entry)
	if d.site.machines > 1 {
		return startMargin + d.between(span{0.2, 2})
	}
	return d.budget.freeFrom(startMargin) + afterSync
}

// scheduleChanges schedules changes by the operator during the time span; in some days, acknowledgements are lost.
func (d *drawer) scheduleChanges(into *day, from, length float64) {
	storm := variant{kind: "config_storm", forS: span{length, length}, gapS: span{0.2, 0.8}, planned: true}
	races := variant{kind: "config_race", count: span{4, 12}, gapS: span{0.4, 1.5}, planned: true}
	evacuation := variant{kind: "evacuate", how: d.oneOf("", "warm"), forS: span{2, length / 2}, planned: true}
	lost := variant{kind: "ack_lost", forS: span{length / 2, length}, x: span{0.5, 0.9}}
	d.scheduleAt(into, []variant{storm, races}[d.random.IntN(2)], from+d.between(span{0, 1}))
	if d.random.IntN(2) == 0 {
		d.scheduleAt(into, evacuation, from+d.between(span{1, length / 2}))
	}
	if d.random.IntN(2) == 0 {
		d.scheduleAt(into, lost, from)
	}
}

// drawRaces schedules concurrent, frequent and repeated changes and evacuations of zones while machines are killed or
// restarted.
func drawRaces(d *drawer, into *day) {
	length := d.site.lengthS
	races := variant{kind: "config_race", count: span{5, 15}, gapS: span{0.2, 0.7}, planned: true}
	storm := variant{kind: "config_storm", forS: span{length / 3, length - 6}, gapS: span{0.1, 0.5}, planned: true}
	lost := variant{kind: "ack_lost", forS: span{length / 2, length - 4}, x: span{0.6, 0.9}}
	evacuation := variant{kind: "evacuate", how: d.oneOf("", "warm"), forS: span{2, 6}, planned: true}
	for _, entry := range []variant{races, storm, lost, evacuation, evacuation, races} {
		d.scheduleRandomly(into, entry, length/2)
	}
	rolls := rollVariants()
	d.scheduleRandomly(into, rolls[d.random.IntN(len(rolls))], length/2)
	kill := variant{kind: "node_kill", on: "core", count: oneOrMore, forS: brief, takes: machineLoss,
		how: joinWords(d.oneOf(targets...), d.oneOf(returns...))}
	d.scheduleRandomly(into, kill, length-endMargin)
	d.scheduleRandomly(into, kill, length-endMargin)
}

// drawSecondLoss schedules a loss whenever the fault budget is free again, throughout the day.
func drawSecondLoss(d *drawer, into *day) {
	losses := []variant{
		{kind: "after_ack_wipe", forS: span{0.2, 1}, count: oneOrMore, takes: machineLoss},
		{kind: "after_ack_wipe", how: "oldest", forS: span{0.2, 1}, count: oneOrMore, takes: machineLoss},
		{kind: "replace_core", x: span{0.3, 1}, takes: machineLoss, planned: true},
		{kind: "replace_core", how: "planned", x: span{0.3, 1}, takes: machineLoss, planned: true},
		{kind: "replace_core", how: "oldest", x: span{0.3, 1}, takes: machineLoss, planned: true},
		{kind: "after_ack_kill", how: "timed", forS: span{0.2, 1}, count: oneOrMore, takes: machineLoss},
	}
	storm := variant{kind: "config_storm", forS: span{15, 28}, gapS: span{0.3, 0.9}, planned: true}
	d.scheduleAt(into, storm, d.between(span{startMargin, 3}))
	d.scheduleAt(into, variant{kind: "big_config", count: span{100, 350}, planned: true}, startMargin)
	herd := variant{kind: "herd_kill", on: "core", how: d.oneOf("power", "taken", "taken all"), fraction: span{1, 1},
		forS: span{0.2, 0.8}}
	next := d.between(span{0.5, 4})
	for next < d.site.lengthS-endMargin {
		if !d.scheduleOneOf(into, losses, next) {
			next += d.site.syncS
			continue
		}
		if d.random.IntN(3) == 0 {
			d.scheduleAt(into, herd, next+d.between(span{0, 1}))
		}
		next = d.budget.freeFrom(next) + afterSync
	}
	into.Closing = &closing{Kind: "wipe_after_ack", How: d.oneOf("", "aimed", "timed", "taken", "oldest"),
		DownS: d.between(span{0.3, 1})}
}

// scheduleOneOf adds a random one of the variants that the fault budget allows at the time, and reports whether there is
// one.
func (d *drawer) scheduleOneOf(into *day, forms []variant, at float64) bool {
	for _, index := range d.random.Perm(len(forms)) {
		if d.scheduleAt(into, forms[index], at) {
			return true
		}
	}
	return false
}

// drawManyChanges schedules hundreds of changes during long outages of machines, and then a loss.
func drawManyChanges(d *drawer, into *day) {
	length := d.site.lengthS
	d.scheduleAt(into, variant{kind: "big_config", count: span{100, 1100}, planned: true}, startMargin)
	d.scheduleAt(into, variant{kind: "config_storm", forS: span{length * 0.6, length - 5}, gapS: span{0.06, 0.1},
		planned: true}, 1)
	long := span{length * 0.5, length * 0.65}
	away := []variant{
		{kind: "node_kill", on: "core", how: d.oneOf("", "power", "leader", "power leader meet"), forS: long,
			count: oneOrMore, takes: machineLoss},
		{kind: "node_freeze", on: "core", how: d.oneOf("", "leader"), forS: long, count: oneOrMore, takes: machineLoss},
		{kind: "disk_full", how: d.oneOf("", "leader"), forS: long, count: oneOrMore, takes: machineLoss},
		{kind: "herd_kill", on: "core", how: d.oneOf("", "power"), fraction: span{1, 1}, forS: span{4, 10}, takes: coreHerd},
		{kind: "replace_core", x: span{length * 0.3, length * 0.6}, takes: machineLoss, planned: true},
	}
	d.scheduleAt(into, away[d.random.IntN(len(away))], d.between(span{2, 4}))
	edge := []variant{
		{kind: "node_kill", fraction: half, forS: long},
		{kind: "node_cut", fraction: half, forS: long, how: d.oneOf("", "all")},
		{kind: "node_freeze", fraction: few, forS: long},
	}
	d.scheduleAt(into, edge[d.random.IntN(len(edge))], d.between(span{2, 4}))
	after := d.budget.freeFrom(0) + afterSync
	d.scheduleAt(into, variant{kind: "after_ack_wipe", how: d.oneOf("", "oldest"), forS: brief, count: oneOrMore,
		takes: machineLoss}, min(after, length-1))
}

// drawServers schedules several kinds of server faults at once during a release of the servers and planned restarts of
// machines.
func drawServers(d *drawer, into *day) {
	variants := serverVariants()
	for range 5 {
		chosen := variants[d.random.IntN(len(variants))]
		d.scheduleRandomly(into, chosen, d.site.lengthS*0.7)
		d.scheduleRandomly(into, chosen, d.site.lengthS*0.7)
	}
	d.scheduleRandomly(into, variant{kind: "release", fraction: most, x: span{1, 3}, gapS: span{0.4, 1.2}, planned: true}, latestReleaseS)
	rolls := rollVariants()
	d.scheduleRandomly(into, rolls[d.random.IntN(len(rolls))], d.site.lengthS/2)
	d.scheduleRandomly(into, variant{kind: "give_up", fraction: half, x: span{50, 400}, forS: span{5, 15}}, d.site.lengthS/2)
}
