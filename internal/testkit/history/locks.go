package history

import (
	"cmp"
	"slices"
	"time"
)

// checkLocks requires mutual exclusion (no two callers consider themselves the holder of a lock at the same time) and that
// fencing tokens increase from holder to holder.
func (c *checker) checkLocks(calls []*Call) {
	names, parts := partition(calls, nameOf)
	for _, name := range names {
		c.checkMutualExclusion(name, parts[name])
		c.checkFences(name, parts[name])
	}
}

// holdInterval is an interval during which a caller considers itself the holder of a lock.
type holdInterval struct {
	caller   string
	from, to time.Duration
	calls    []*Call // the call that began the interval, and the last one that set its end, if that is another
}

// checkMutualExclusion reports overlapping hold intervals of different callers.
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
				c.report(RuleOne, slices.Concat(first.calls, second.calls), "%s and %s both hold lock %s at %v",
					first.caller, second.caller, name, second.from)
			}
		}
	}
}

// holdIntervalsOf returns the hold intervals of one caller. An interval starts when a successful acquisition is answered. It
// ends when the duration requested by the last successful call has passed since that call was sent, when the caller sends
// the release, or when the caller learns that it has lost the lock, whichever comes first.
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

// moment is the sending or the answer of a call.
type moment struct {
	at        time.Duration
	isSending bool
	call      *Call
}

// momentsOf returns the sendings and answers of calls in order of time.
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

// checkFences requires that the fencing token of a holder is unique to it and higher than all tokens that other callers
// obtained before its call was sent, and that a renewal fails if it was sent after another caller had obtained a higher
// token.
func (c *checker) checkFences(name string, calls []*Call) {
	acquired := make(map[uint64]*Call)
	var grants []*Call
	for _, call := range calls {
		if call.Kind != Acquire || call.Outcome != OK {
			continue
		}
		if other := acquired[call.Fence]; other != nil && other.Caller != call.Caller {
			c.report(RuleOne, []*Call{other, call}, "fencing token %d of lock %s was granted to two holders", call.Fence, name)
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
				c.report(ruleOf(call, RuleOne), []*Call{before, call}, "fencing token %d of lock %s was granted after token %d had been granted to %s",
					call.Fence, name, before.Fence, before.Caller)
				break
			}
		}
	}
}

// mayFollow reports whether the fencing token of a call may be granted after an earlier acquisition.
func mayFollow(call, before *Call) bool {
	if call.Caller == before.Caller {
		return call.Kind == Renew || call.Fence >= before.Fence
	}
	return call.Fence > before.Fence
}
