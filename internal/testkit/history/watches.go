package history

import (
	"maps"
	"slices"
)

// checkWatches requires that the events of a watch have increasing revisions and skip no put, that a watch without a start
// revision does not return an outdated one, and that a watch can resume.
func (g *group) checkWatches() {
	revisions := slices.Sorted(maps.Keys(g.byRevision))
	earlier := newHighest(g.calls, observedRevision)
	for _, call := range g.calls {
		switch {
		case call.Kind != Watch:
		case call.Outcome == Compacted:
			g.checkCompacted(call)
		case call.Outcome != OK:
		case call.After == 0:
			if before := earlier.before(call); before != nil && call.Revision < observedRevision(before) {
				g.checker.report(ruleOf(call, RuleStale), []*Call{before, call}, "revision %d of group %s is below %d, which was observed before the call was sent",
					call.Revision, g.name, observedRevision(before))
			}
		default:
			g.checkRise(call)
			g.checkComplete(call, revisions)
		}
	}
}

func (g *group) checkRise(call *Call) {
	last := call.After
	for _, event := range call.Events {
		if event.Revision <= last || event.Revision > call.Revision {
			g.checker.report(RuleOrder, []*Call{call}, "event revision %d in a watch of group %s is not above the previous revision %d, or is above the returned revision %d",
				event.Revision, g.name, last, call.Revision)
			return
		}
		last = event.Revision
	}
	if call.Revision < call.After {
		g.checker.report(RuleOrder, []*Call{call}, "a watch of group %s went back from revision %d to %d", g.name, call.After, call.Revision)
	}
}

// checkComplete requires that a watch reports each observed put between its start revision and its returned revision.
func (g *group) checkComplete(call *Call, revisions []uint64) {
	first, _ := slices.BinarySearch(revisions, call.After+1)
	for _, revision := range revisions[first:] {
		if revision > call.Revision {
			return
		}
		isReported := slices.ContainsFunc(call.Events, func(event Event) bool { return event.Revision == revision })
		if !isReported {
			g.checker.report(ruleOf(call, RuleOrder), []*Call{g.byRevision[revision].observedBy, call}, "a watch of group %s from revision %d to %d skipped revision %d",
				g.name, call.After, call.Revision, revision)
			return
		}
	}
}

// checkCompacted requires that a watch can resume from a revision until the retention time has passed since the answer that
// returned it.
func (g *group) checkCompacted(call *Call) {
	for _, given := range g.calls {
		isGiven := given.Kind == Watch && given.Outcome == OK && given.Caller == call.Caller && given.Revision == call.After
		if isGiven && given.isBefore(call) && call.Answered-given.Answered < g.checker.options.Retention {
			g.checker.report(RuleLost, []*Call{given, call}, "revision %d of group %s was not retained for %v", call.After, g.name, g.checker.options.Retention)
			return
		}
	}
}
