package agent

import (
	"math"
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
)

const (
	// maxProbes bounds the control machines that are probed at a time: of five, only one may hold the agreed state.
	maxProbes = 4
	// probeHold is the longest wait for the agreed state that is asked of a control machine; then another one's turn
	// comes.
	probeHold = 300 * time.Millisecond
	// slowAnswer is how much longer an answer may take that has begun to come.
	slowAnswer = time.Second
	// probeTimeout ends a probe.
	probeTimeout = probeHold + 700*time.Millisecond
	// never is a time that doesn't come.
	never = time.Duration(math.MaxInt64)
)

// probes are the calls under way to control machines that could take the place of the current one. They carry no
// state, so that many agents may ask several machines at once.
type probes struct {
	addresses []string // in flight
	lacking   []string // asked in vain since the link was lost
	due       time.Duration
}

// end takes the end of a probe; the next one may begin at due.
func (p *probes) end(address string, due time.Duration) {
	p.addresses = slices.DeleteFunc(p.addresses, func(other string) bool { return other == address })
	p.due = due
}

// seeking tells whether the current control machine is not good enough.
func (l *link) seeking(now time.Duration) bool { return now >= l.seekingAt() }

// seekingAt is since when, or from when on, other control machines are to be probed.
func (l *link) seekingAt() time.Duration {
	switch {
	case l.long.id == 0:
		return never // nobody has been asked yet
	case !l.linked && l.inFlight && l.coming:
		return l.overdueAt() // whatever its machine holds is on its way
	case !l.linked:
		return 0
	case l.doubtful:
		return l.doubtSince + doubtPatience
	case l.inFlight:
		return l.overdueAt()
	}
	return never
}

// overdueAt is when the long poll under way should have been answered. An answer that is on its way gets longer: asked
// for elsewhere it would load the links once more.
func (l *link) overdueAt() time.Duration {
	hold := time.Duration(l.long.request.GetHoldMs()) * time.Millisecond
	overdue := l.long.started + hold + overdueAfter
	if l.coming {
		overdue += slowAnswer
	}
	return overdue
}

// probe is the probe that is due, nil if none is.
func (l *link) probe(now time.Duration, record *pb.AgentRecord, held *catalog.Snapshot) *watchCall {
	if now < l.probeAt(now) {
		return nil
	}
	address := l.probeTarget(now)
	if address == "" {
		l.probes.due = now + longestBackoff
		return nil
	}
	l.probes.addresses = append(l.probes.addresses, address)
	call := l.call(now, address, record, held)
	call.kind = watchProbe
	call.base = nil
	call.request.Digests = nil
	call.request.Probe = true
	call.request.HoldMs = uint32(probeHold / time.Millisecond)
	call.timeout = probeTimeout
	return &call
}

// probeTarget is the control machine to probe next, empty if there is none: one that wasn't asked in vain if possible.
func (l *link) probeTarget(now time.Duration) string {
	taken := append(slices.Clone(l.probes.addresses), l.current)
	if address := l.targets.chooseOther(now, slices.Concat(taken, l.probes.lacking)); address != "" {
		return address
	}
	l.probes.lacking = nil
	return l.targets.chooseOther(now, taken)
}

// probeAt is when the next probe may begin.
func (l *link) probeAt(now time.Duration) time.Duration {
	if len(l.probes.addresses) >= maxProbes {
		return never
	}
	return max(l.seekingAt(), l.probes.due)
}

// probed takes the answer to a probe: a machine that holds the agreed state becomes the current one if that is
// wanted still.
func (l *link) probed(now time.Duration, call watchCall, response *pb.WatchResponse, outcome watchOutcome) {
	l.probes.end(call.address, now)
	if !response.GetAuthoritative() {
		if !outcome.news { // else it had no time to come to hold the agreed state
			l.probes.lacking = append(l.probes.lacking, call.address)
		}
		return
	}
	if !l.seeking(now) || !l.targets.known(call.address) {
		return
	}
	if l.linked {
		l.targets.fail(now, l.current)
	}
	l.moveTo(now, call.address)
	l.probes.lacking = nil
	l.linked = true
	l.inFlight = false // a long poll to the machine that was the current one is given up
	l.failures = 0
	l.dial = shortestDial
	l.due = now
}
