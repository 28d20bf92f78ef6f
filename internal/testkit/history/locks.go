package history

import (
	"cmp"
	"slices"
	"time"
)

// checkLocks requires that no two callers take themselves for the holder of a lock at one moment, and that fences rise from
// holder to holder.
func (c *checker) checkLocks(calls []*Call) {
	names, parts := partition(calls, nameOf)
	for _, name := range names {
		c.checkMutualExclusion(name, parts[name])
		c.checkFences(name, parts[name])
	}
}

// holdInterval is a time during which a caller takes itself for the holder.
type holdInterval struct {
	caller   string
	from, to time.Duration
	calls    []*Call // that began it, and that set its end
}

// checkMutualExclusion finds holds of two callers that overlap.
func (c *checker) checkMutualExclusion(name string, calls []*Call) {
	callers, parts := partition(calls, func(call *Call) string { return call.Caller })
	var holds []holdInterval
	for _, caller := range callers {
		holds = append(holds, holdIntervalsOf(caller, parts[caller])...)
	}
	slices.SortStableFunc(holds, func(a, b holdInterval) int { return cmp.Compare(a.from, b.from) })
	for index, first := range holds {
		for _, second := range holds[index+1:] {
			if second.from >= first.to {
				break
			}
			if second.caller != first.caller {
				c.report(RuleOne, slices.Concat(first.calls, second.calls), "%s and %s both hold %s at %v",
					first.caller, second.caller, name, second.from)
			}
		}
	}
}

// holdIntervalsOf are the holds of one caller: from an answer, until as long as it asked for after it sent the call that
// succeeded last, until it sends the release, or until it learns that it has lost the lock.
func holdIntervalsOf(caller string, calls []*Call) []holdInterval {
	var holds []holdInterval
	var current *holdInterval
	end := func(at time.Duration) {
		if current == nil {
			return
		}
		current.to = min(current.to, at)
		if current.to > current.from {
			holds = append(holds, *current)
		}
		current = nil
	}
	for _, moment := range momentsOf(calls) {
		call := moment.call
		if current != nil && moment.at >= current.to {
			end(moment.at)
		}
		until := call.Sent + call.Hold
		switch {
		case call.Kind == Release && moment.isSending:
			end(moment.at)
		case moment.isSending || call.Kind == Release:
		case call.Outcome == Held:
			end(moment.at)
		case call.Outcome != OK:
		case current != nil:
			current.to = until
			current.calls = []*Call{current.calls[0], call}
		case call.Kind == Acquire:
			current = &holdInterval{caller: caller, from: moment.at, to: until, calls: []*Call{call}}
		}
	}
	if current != nil {
		end(current.to)
	}
	return holds
}

// moment is when a call is sent, or answered.
type moment struct {
	at        time.Duration
	isSending bool
	call      *Call
}

// momentsOf are the moments of calls in order.
func momentsOf(calls []*Call) []moment {
	var moments []moment
	for _, call := range calls {
		moments = append(moments, moment{at: call.Sent, isSending: true, call: call})
		if call.Outcome != Unclear {
			moments = append(moments, moment{at: call.Answered, call: call})
		}
	}
	slices.SortStableFunc(moments, func(a, b moment) int { return cmp.Compare(a.at, b.at) })
	return moments
}

// checkFences requires that the fence of a holder is its own, and above all that others obtained before its call was sent;
// and that a renewal by a fence fails once it was sent after another caller had a higher one.
func (c *checker) checkFences(name string, calls []*Call) {
	acquired := make(map[uint64]*Call)
	var grants []*Call
	for _, call := range calls {
		if call.Kind != Acquire || call.Outcome != OK {
			continue
		}
		if other := acquired[call.Fence]; other != nil && other.Caller != call.Caller {
			c.report(RuleOne, []*Call{other, call}, "fence %d of %s goes to two holders", call.Fence, name)
		}
		acquired[call.Fence] = call
		grants = append(grants, call)
	}
	for _, call := range calls {
		isGrant := call.Outcome == OK && (call.Kind == Acquire || call.Kind == Renew)
		if !isGrant {
			continue
		}
		for _, before := range grants {
			if before.isBefore(call) && !mayFollow(call, before) {
				c.report(ruleOf(call, RuleOne), []*Call{before, call}, "fence %d of %s is granted after %d was given to %s",
					call.Fence, name, before.Fence, before.Caller)
				break
			}
		}
	}
}

// mayFollow reports whether a fence may be granted after an earlier acquisition.
func mayFollow(call, before *Call) bool {
	if call.Caller == before.Caller {
		return call.Kind == Renew || call.Fence >= before.Fence
	}
	return call.Fence > before.Fence
}
