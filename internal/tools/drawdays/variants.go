package main

// span is a range of values to draw from; the zero span leaves the field out.
type span struct{ from, to float64 }

// loss is the part of the fault budget that an entry takes.
type loss int

const (
	noLoss      loss = iota
	machineLoss      // machines that count towards the fault budget, down or cut off
	zoneLoss         // a whole zone
	coreRoll         // machines that count towards the fault budget, one after another, by planned restarts
	coreHerd         // all machines that count towards the fault budget at once, with their disks intact
)

// removal is the group of targets of which the entry permanently removes a fraction.
type removal int

const (
	removesNone removal = iota
	removesServers
	removesEdges // machines that don't count towards the fault budget
)

// variant is one kind of fault or planned operation in one of its forms, with the fields that it takes.
type variant struct {
	kind     string
	how      string
	on       string
	forS     span
	gapS     span
	fraction span
	count    span
	x        span
	takes    loss
	removes  removal // group of targets that is permanently removed
	planned  bool
}

// Words of the form of an entry that affects machines: the machine that is affected, and what happens at its return.
var (
	targets = []string{"", "leader", "reader", "seed", "turn"}
	returns = []string{"", "meet", "race", "hard", "drain", "meet drain", "race hard"}
)

var (
	half      = span{from: 0.3, to: 0.7}
	few       = span{from: 0.1, to: 0.35}
	most      = span{from: 0.5, to: 1}
	seconds   = span{from: 2, to: 7}
	brief     = span{from: 0.2, to: 2}
	oneOrMore = span{from: 1, to: 1} // entry draws a count up to the site's budget
)

// allVariants lists every kind of fault and planned operation in every form that the bench defines for it.
func allVariants() []variant {
	var all []variant
	for _, part := range [][]variant{serverVariants(), trafficVariants(), edgeVariants(), coreVariants(),
		diskVariants(), zoneVariants(), orderVariants(), rollVariants()} {
		all = append(all, part...)
	}
	return all
}

// withForms returns a copy of the variant for each form.
func withForms(base variant, forms ...string) []variant {
	var made []variant
	for _, form := range forms {
		copied := base
		copied.how = joinWords(base.how, form)
		made = append(made, copied)
	}
	return made
}

func joinWords(first, second string) string {
	if first == "" || second == "" {
		return first + second
	}
	return first + " " + second
}

func serverVariants() []variant {
	var all []variant
	all = append(all, withForms(variant{kind: "srv_crash", fraction: few, forS: seconds},
		"", "dark", "dark across", "all")...)
	all = append(all, variant{kind: "srv_crash", how: "gone", fraction: few, removes: removesServers})
	all = append(all, withForms(variant{kind: "srv_grey", fraction: few, forS: seconds, x: span{0.2, 0.6}},
		"errors", "shed", "busy", "hang", "reset", "mute", "errors one_zone", "mute one_zone", "reset across")...)
	all = append(all, variant{kind: "srv_grey", how: "slow", fraction: few, forS: seconds, x: span{4, 10}})
	all = append(all, withForms(variant{kind: "srv_lying_health", fraction: few, forS: seconds},
		"errors", "hang", "reset", "bad")...)
	all = append(all, variant{kind: "srv_flap", fraction: few, forS: seconds, gapS: span{0.4, 1.6}})
	all = append(all, withForms(variant{kind: "answer_lost", fraction: most, forS: seconds, x: span{0.03, 0.2}},
		"", "reset")...)
	all = append(all, withForms(variant{kind: "garble", fraction: most, forS: seconds, x: span{0.02, 0.15}},
		"", "extra", "late", "extra late", "unframed", "early", "early unframed", "extra unframed")...)
	all = append(all, variant{kind: "srv_slow", fraction: few, forS: seconds, x: span{2, 6}})
	all = append(all, withForms(variant{kind: "srv_cut", fraction: few, forS: seconds, x: span{0.2, 0.6}},
		"", "fronts", "one_way", "reset", "fronts one_way")...)
	all = append(all, withForms(variant{kind: "replace_with_reuse", fraction: few, removes: removesServers}, "", "drain", "dark")...)
	all = append(all, variant{kind: "idle_race", fraction: half, forS: seconds, x: span{100, 600}})
	return append(all, fleetVariants()...)
}

// fleetVariants are changes of the set or version of the servers.
func fleetVariants() []variant {
	var all []variant
	all = append(all, variant{kind: "release", fraction: most, x: span{1, 3}, gapS: span{0.4, 1.2}, planned: true})
	all = append(all, variant{kind: "scale_out", fraction: few, gapS: span{0.5, 3}, planned: true})
	all = append(all, variant{kind: "scale_in", fraction: few, removes: removesServers, planned: true})
	all = append(all, variant{kind: "scale_in", how: "spot", fraction: few, x: span{0.5, 2}})
	return all
}

func trafficVariants() []variant {
	return []variant{
		{kind: "burst", x: span{1.3, 2}, forS: seconds},
		{kind: "shift", fraction: half, forS: seconds},
		{kind: "retry_abuse", fraction: few, x: span{1, 3}, forS: seconds},
		{kind: "give_up", fraction: half, x: span{50, 400}, forS: seconds},
	}
}

// edgeVariants affect machines that don't count towards the fault budget.
func edgeVariants() []variant {
	var all []variant
	all = append(all, withForms(variant{kind: "node_kill", fraction: half, forS: seconds}, "", "power", "turn")...)
	all = append(all, withForms(variant{kind: "node_cut", fraction: half, forS: seconds}, "", "all", "servers", "reset")...)
	all = append(all, variant{kind: "node_freeze", fraction: few, forS: seconds})
	all = append(all, variant{kind: "node_slow", fraction: few, forS: seconds, x: span{2, 6}})
	all = append(all, withForms(variant{kind: "herd_kill", fraction: most, forS: brief}, "", "power")...)
	all = append(all, withForms(variant{kind: "clock_step", fraction: most, forS: seconds, x: span{500, 60000}},
		"ahead", "back")...)
	all = append(all, variant{kind: "reset_conns", fraction: half, x: half})
	all = append(all, variant{kind: "hup", fraction: most, gapS: span{0.5, 2}, planned: true})
	all = append(all, variant{kind: "add_nodes", planned: true})
	all = append(all, variant{kind: "seed_turnover", planned: true})
	return all
}

func coreVariants() []variant {
	kill := variant{kind: "node_kill", on: "core", count: oneOrMore, forS: span{0.3, 4}, takes: machineLoss}
	freeze := variant{kind: "node_freeze", on: "core", count: oneOrMore, forS: span{0.6, 4}, takes: machineLoss}
	slow := variant{kind: "node_slow", on: "core", count: oneOrMore, forS: seconds, x: span{2, 6}, takes: machineLoss}
	ackKill := variant{kind: "after_ack_kill", count: oneOrMore, forS: brief, takes: machineLoss}
	wipe := variant{kind: "after_ack_wipe", count: oneOrMore, forS: brief, takes: machineLoss}
	replace := variant{kind: "replace_core", x: span{0.3, 3}, takes: machineLoss, planned: true}
	herd := variant{kind: "herd_kill", on: "core", fraction: span{1, 1}, forS: brief, takes: coreHerd}

	var all []variant
	all = append(all, withForms(kill, "", "power", "power leader", "reader", "seed", "turn", "leader race",
		"leader race hard", "power meet drain", "leader meet hard")...)
	all = append(all, withForms(freeze, "", "leader", "leader race", "leader meet drain", "reader hard")...)
	all = append(all, slow)
	all = append(all, withForms(ackKill, "", "kill", "timed", "taken", "taken gone")...)
	all = append(all, withForms(wipe, "", "oldest")...)
	all = append(all, withForms(replace, "", "planned", "oldest", "planned oldest")...)
	all = append(all, withForms(herd, "", "power", "taken", "taken all")...)
	return append(all, partitionVariants(span{1, 5})...)
}

// partitionVariants returns every form of a partition that cuts off machines that count towards the fault budget, for a
// time within the span.
func partitionVariants(lasting span) []variant {
	cut := variant{kind: "core_cut", count: oneOrMore, forS: lasting, takes: machineLoss}
	return withForms(cut, "", "all", "near", "oldest", "one_way", "seeds", "both", "lure", "reset", "refuse",
		"leader", "leader race", "leader one_way race hard", "all leader meet drain", "near one_way turn",
		"reader reset meet", "seed refuse", "lure leader", "both leader race", "all one_way leader hard",
		"seeds leader meet", "near reset hard")
}

func diskVariants() []variant {
	full := variant{kind: "disk_full", count: oneOrMore, forS: seconds, takes: machineLoss}
	stall := variant{kind: "disk_stall", count: oneOrMore, forS: span{0.8, 4}, takes: machineLoss}
	slow := variant{kind: "disk_slow", count: oneOrMore, forS: seconds, x: span{10, 60}, takes: machineLoss}
	var all []variant
	for _, base := range []variant{full, stall, slow} {
		all = append(all, withForms(base, "", "leader", "leader race")...)
	}
	return all
}

func zoneVariants() []variant {
	var all []variant
	all = append(all, variant{kind: "zone_loss", forS: span{0.5, 4}, takes: zoneLoss})
	all = append(all, withForms(variant{kind: "zone_cut", forS: span{1, 5}, takes: zoneLoss}, "", "reset")...)
	all = append(all, withForms(variant{kind: "cold_return", forS: seconds}, "", "dark")...)
	return all
}

// orderVariants are the operator's changes, and faults of their acknowledgements.
func orderVariants() []variant {
	var all []variant
	change := variant{kind: "config_change", planned: true}
	bad := variant{kind: "bad_config", count: span{1, 4}, gapS: span{0.2, 1}, planned: true}
	evacuate := variant{kind: "evacuate", forS: span{2, 8}, planned: true}
	all = append(all, withForms(change, "route", "weights", "timeout", "tenant", "quota", "idle")...)
	all = append(all, withForms(bad, "cut_short", "unknown_service", "same_place", "no_weight", "no_timeout",
		"old_version", "same_version", "stale_match", "shared_key")...)
	all = append(all, withForms(evacuate, "", "warm")...)
	all = append(all, variant{kind: "config_storm", forS: span{3, 8}, gapS: span{0.08, 0.4}, planned: true})
	all = append(all, variant{kind: "config_race", count: span{2, 8}, gapS: span{0.2, 0.8}, planned: true})
	all = append(all, variant{kind: "big_config", count: span{100, 350}, planned: true})
	all = append(all, variant{kind: "ack_lost", forS: span{3, 8}, x: span{0.5, 0.9}})
	return all
}

// rollVariants are planned restarts. In the bench, a planned restart never permanently removes a machine that counts
// towards the fault budget; only replace_core replaces such machines.
func rollVariants() []variant {
	var all []variant
	edge := variant{kind: "roll_term", fraction: most, x: span{1, 2}, gapS: span{0.4, 1.3}, planned: true}
	core := variant{kind: "roll_term", on: "core", fraction: span{0.4, 1}, x: span{1, 1}, gapS: span{0.5, 2},
		takes: coreRoll, planned: true}
	all = append(all, withForms(edge, "", "busy")...)
	all = append(all, withForms(core, "", "busy")...)
	removed := edge
	removed.how, removed.fraction, removed.removes = "remove", few, removesEdges
	return append(all, removed)
}
