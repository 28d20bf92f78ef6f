package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	callhistory "fieldrelay/internal/testkit/history"
)

// verdict is what a history was found to hold.
type verdict struct {
	broken           []string
	plain, stretched lags // of the probes that had to follow acknowledged configurations, by the bound in force
	reads            int  // answered with a configuration
	calls, answered  int  // of applications
}

// lags are how late configurations came in force, as probes saw it.
type lags struct {
	probes  int
	longest time.Duration
}

func (l *lags) add(lag time.Duration) { l.probes, l.longest = l.probes+1, max(l.longest, lag) }

// judge looks through a history for rules that were broken.
type judge struct {
	history *history
	touch   touch
	orders  []*order // by generation
	verdict verdict
}

func newJudge(seen *history, asked touch) *judge {
	asked.troubles = seen.troubles
	orders := slices.Clone(seen.orders)
	slices.SortStableFunc(orders, func(a, b *order) int { return cmp.Compare(a.generation, b.generation) })
	return &judge{history: seen, touch: asked, orders: orders}
}

// run judges everything.
func (j *judge) run() verdict {
	for _, failure := range j.history.failures {
		j.broken("SEEN", "%s", failure)
	}
	j.answers()
	j.acknowledgedInTime()
	j.probes()
	j.regressions()
	j.reads()
	j.evacuations()
	j.calls()
	return j.verdict
}

func (j *judge) broken(rule, format string, arguments ...any) {
	j.verdict.broken = append(j.verdict.broken, rule+": "+fmt.Sprintf(format, arguments...))
}

// calls: what applications were answered keeps the rules of coordination.
func (j *judge) calls() {
	j.verdict.calls = len(j.history.calls)
	for _, call := range j.history.calls {
		if isClear(call) {
			j.verdict.answered++
		}
	}
	found := callhistory.Check(j.history.calls, callhistory.Options{Retention: j.touch.bounds.Retain()})
	for _, violation := range found.Violations {
		j.verdict.broken = append(j.verdict.broken, violation.String())
	}
}

// dead tells whether an order must never be in force: it was refused, is invalid, or lost against another one on the
// same base.
func (j *judge) dead(own *order) bool {
	if own.invalid || own.result == refused {
		return true
	}
	return own.result != acknowledged && slices.ContainsFunc(j.orders, func(other *order) bool {
		return other != own && other.base == own.base && other.result == acknowledged
	})
}

// answers: what is invalid is refused, of two orders on one base one is acknowledged at most, and only what is newer is
// a reason to refuse a valid one.
func (j *judge) answers() {
	byBase := make(map[int64]*order)
	for _, own := range j.orders {
		if own.result == acknowledged && own.invalid {
			j.broken("INVALID", "generation %d was acknowledged", own.generation)
		}
		if own.result == refused && !own.invalid && !j.overtaken(own) {
			j.broken("RACE", "generation %d on base %d was refused (%d) though nothing newer may be in force", own.generation, own.base, own.status)
		}
		if own.result != acknowledged {
			continue
		}
		if other := byBase[own.base]; other != nil {
			j.broken("RACE", "generations %d and %d on base %d were both acknowledged", other.generation, own.generation, own.base)
		}
		byBase[own.base] = own
	}
}

// overtaken tells whether something newer than an order's base may have been in force when it was refused.
func (j *judge) overtaken(own *order) bool {
	return slices.ContainsFunc(j.orders, func(other *order) bool {
		return other != own && other.generation > own.base && other.sentAt <= own.answeredAt && !j.dead(other)
	})
}

// acknowledgedInTime: in a calm time a valid order has a clear answer within ack-by-ms.
func (j *judge) acknowledgedInTime() {
	var end moment // of what was seen
	for _, one := range j.history.probes {
		end = max(end, one.answeredAt)
	}
	for _, own := range j.orders {
		limit := own.sentAt + j.touch.bounds.AckBy() + perRoute*time.Duration(len(own.routes))
		if own.answeredAt <= limit || own.base == 0 {
			continue
		}
		if j.touch.coreStable(own.sentAt) && j.touch.calm(own.sentAt, limit) && limit < end {
			j.broken("ACKS", "generation %d, sent at %s, has no answer within %s", own.generation, own.sentAt, limit-own.sentAt)
		}
	}
}

// perRoute is added to the time for an acknowledgement for each route.
const perRoute = 3 * time.Millisecond

// floor is the newest order that was acknowledged before a moment; nil if none was.
func (j *judge) floor(before moment) *order {
	for _, own := range slices.Backward(j.orders) {
		if own.result == acknowledged && own.answeredAt <= before {
			return own
		}
	}
	return nil
}

// definite tells whether a probe shows a configuration: a server ran it, or the proxy knew no route.
func (p *probe) definite() bool { return p.arrivedAt > 0 || p.status == http.StatusNotFound }

// shows is the oldest order from a generation on by which a probe may have been handled as it was; found is false if
// there is none. Generation 0 is the time before the first order.
func (j *judge) shows(own *probe, from int64) (generation int64, found bool) {
	if from == 0 && own.arrivedAt == 0 {
		return 0, true
	}
	for _, candidate := range j.orders {
		if candidate.generation >= from && candidate.sentAt <= own.answeredAt && candidate.table.allows(own) && !j.dead(candidate) {
			return candidate.generation, true
		}
	}
	return 0, false
}

// proper are the answers with 4xx of a proxy's own to a proper request: no route is known, or one of the promises.
var proper = []int{http.StatusNotFound, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests}

// probes: an acknowledged configuration is in force in time, and none that was refused ever is; when everything is in
// force again, every route is served.
func (j *judge) probes() {
	newest := j.floor(forever)
	for index := range j.history.probes {
		own := &j.history.probes[index]
		j.head(own)
		if j.isDenied(own) {
			j.broken("DENIED", "%s at %s: %s answered %d to a proper request", own.prefix, own.sentAt, own.edge, own.status)
		}
		if own.last && newest != nil && newest.table[own.prefix] != 0 && own.arrivedAt == 0 {
			j.broken("SERVED", "%s %s sent at %s: %d, the route is there", own.edge, own.prefix, own.sentAt, own.status)
		}
		if !own.definite() {
			continue
		}
		if _, found := j.shows(own, 0); !found {
			j.broken("NEVER", "%s", j.describe(own))
			continue
		}
		j.inForce(own)
	}
}

// isDenied tells whether a probe got an answer of the proxy's own that no configuration asks for.
func (j *judge) isDenied(own *probe) bool {
	if own.status < 400 || own.status >= 500 || own.arrivedAt > 0 || slices.Contains(proper, own.status) {
		return false
	}
	isTooLarge := func(candidate *order) bool { return own.head > candidate.maxHeader }
	return own.status != http.StatusRequestHeaderFieldsTooLarge || !slices.ContainsFunc(j.mayRule(own), isTooLarge)
}

// head: a head that no configuration which may be in force allows is refused.
func (j *judge) head(own *probe) {
	if own.head == 0 || !own.definite() {
		return
	}
	allows := func(candidate *order) bool { return own.head <= candidate.maxHeader }
	if ruling := j.mayRule(own); len(ruling) > 0 && !slices.ContainsFunc(ruling, allows) {
		j.broken("LIMIT", "%s sent at %s: %s took a head of %d bytes", own.prefix, own.sentAt, own.edge, own.head)
	}
}

// mayRule are the orders by which a probe may be handled: those that may be in force and are not older than what had to
// be in force at its machine when it was sent.
func (j *judge) mayRule(own *probe) []*order {
	least := int64(0)
	bound, asked := j.touch.bound(own.edge, own.sentAt, j.touch.bounds.ApplyWithin())
	if floor := j.floor(own.sentAt - bound); asked && floor != nil {
		least = floor.generation
	}
	var ruling []*order
	for _, candidate := range j.orders {
		if candidate.generation >= least && candidate.sentAt <= own.answeredAt && !j.dead(candidate) {
			ruling = append(ruling, candidate)
		}
	}
	return ruling
}

func (j *judge) inForce(own *probe) {
	apply := j.touch.bounds.ApplyWithin()
	bound, asked := j.touch.bound(own.edge, own.sentAt, apply)
	if !asked {
		return
	}
	lag, missed := j.lag(own)
	if bound == apply {
		j.verdict.plain.add(lag)
	} else {
		j.verdict.stretched.add(lag)
	}
	if lag > bound {
		j.broken("LATE", "%s; generation %d was acknowledged %s before (bound %s)", j.describe(own), missed, lag, bound)
	}
}

// lag is how long before a probe was sent the first configuration was acknowledged that it doesn't follow.
func (j *judge) lag(own *probe) (lag time.Duration, missed int64) {
	for _, candidate := range slices.Backward(j.orders) {
		if candidate.sentAt <= own.answeredAt && candidate.table.allows(own) && !j.dead(candidate) {
			break
		}
		if candidate.result == acknowledged && candidate.answeredAt <= own.sentAt {
			lag, missed = own.sentAt-candidate.answeredAt, candidate.generation
		}
	}
	return lag, missed
}

// describe tells what a probe met and the newest order that would have it so.
func (j *judge) describe(own *probe) string {
	newest := int64(-1)
	for _, candidate := range j.orders {
		if candidate.table.allows(own) && candidate.sentAt <= own.answeredAt {
			newest = candidate.generation
		}
	}
	return fmt.Sprintf("%s %s sent at %s: status %d, service %d, as of generation %d or older", own.edge, own.prefix,
		own.sentAt, own.status, own.service, newest)
}

// shown is a moment at which a life of a proxy had shown a generation.
type shown struct {
	at         moment
	generation int64
}

// regressions: within a life of a proxy nothing is handled as only an older configuration than one seen before allows.
func (j *judge) regressions() {
	bySending := slices.Clone(j.history.probes)
	slices.SortStableFunc(bySending, func(a, b probe) int { return cmp.Compare(a.sentAt, b.sentAt) })
	for _, own := range j.history.lives {
		if own.role == roleProxy {
			j.regressionsOf(slices.DeleteFunc(slices.Clone(bySending), func(one probe) bool {
				return one.edge != own.machine || !one.definite() || one.sentAt < own.from || one.answeredAt > own.until
			}))
		}
	}
}

func (j *judge) regressionsOf(probes []probe) {
	slack := j.touch.bounds.RevertSlack()
	var waiting []shown
	least := int64(0)
	for index := range probes {
		own := &probes[index]
		waiting = slices.DeleteFunc(waiting, func(before shown) bool {
			past := before.at+slack < own.sentAt
			if past {
				least = max(least, before.generation)
			}
			return past
		})
		generation, found := j.shows(own, least)
		if !found {
			j.broken("BACKWARDS", "%s; generation %d was seen before in this life", j.describe(own), least)
			continue
		}
		at := own.answeredAt
		if own.arrivedAt > 0 {
			at = own.arrivedAt
		}
		waiting = append(waiting, shown{at: at, generation: generation})
	}
}

// reads: any machine's answer is as new as what was acknowledged, is what was sent under its number, and the last
// answers are the newest.
func (j *judge) reads() {
	for _, own := range j.history.reads {
		if own.status != http.StatusOK {
			continue
		}
		j.verdict.reads++
		bound := j.touch.bounds.ApplyWithin()
		if own.last {
			bound = 0
		}
		if least := j.floor(own.sentAt - bound); least != nil && own.generation < least.generation {
			j.broken("READ", "%s at %s: generation %d, but %d was acknowledged %s before", own.machine, own.sentAt, own.generation,
				least.generation, own.sentAt-least.answeredAt)
		}
		if own.generation == 0 {
			continue
		}
		at, found := slices.BinarySearchFunc(j.orders, own.generation, func(o *order, g int64) int { return cmp.Compare(o.generation, g) })
		switch {
		case !found || j.dead(j.orders[at]):
			j.broken("READ", "%s at %s: generation %d must never be in force", own.machine, own.sentAt, own.generation)
		case j.orders[at].sum != own.sum:
			j.broken("READ", "%s at %s: generation %d differs from what was sent", own.machine, own.sentAt, own.generation)
		}
	}
}

// evacuations: nothing arrives in a zone that is evacuated.
func (j *judge) evacuations() {
	for index, begin := range j.history.evacuations {
		if !begin.begins || begin.answeredAt == forever {
			continue
		}
		ends := forever
		if index+1 < len(j.history.evacuations) {
			ends = j.history.evacuations[index+1].sentAt
		}
		for _, own := range j.history.probes {
			if own.zone != begin.zone || own.arrivedAt <= begin.answeredAt || own.arrivedAt >= ends {
				continue
			}
			bound, asked := j.touch.bound(own.edge, own.arrivedAt, j.touch.bounds.EvacuateWithin())
			if asked && own.arrivedAt > begin.answeredAt+bound {
				j.broken("EVAC", "%s %s arrived in %s at %s, %s after its evacuation was acknowledged", own.edge, own.prefix, own.zone,
					own.arrivedAt, own.arrivedAt-begin.answeredAt)
			}
		}
	}
}
