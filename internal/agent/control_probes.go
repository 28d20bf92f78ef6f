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
	// probeWait is the longest wait for the agreed state that is asked of a control machine; then another one's turn
	// comes.
	probeWait = 300 * time.Millisecond
	// slowResponseAllowance is how much longer an answer may take that has begun to come.
	slowResponseAllowance = time.Second
	// probeTimeout ends a probe.
	probeTimeout = probeWait + 700*time.Millisecond
	// never is a time that doesn't come.
	never = time.Duration(math.MaxInt64)
)

// probes are the calls under way to control machines that could take the place of the current one. They carry no
// state, so that many agents may ask several machines at once.
type probes struct {
	inFlight         []string // in flight
	nonAuthoritative []string // asked in vain since the link was lost
	nextStart        time.Duration
}

// end takes the end of a probe; the next one may begin at due.
func (p *probes) finish(address string, nextStart time.Duration) {
	p.inFlight = slices.DeleteFunc(p.inFlight, func(other string) bool { return other == address })
	p.nextStart = nextStart
}

// seeking tells whether the current control machine is not good enough.
func (l *controlLink) isProbing(now time.Duration) bool { return now >= l.probingSince() }

// probingSince is since when, or from when on, other control machines are to be probed.
func (l *controlLink) probingSince() time.Duration {
	switch {
	case l.longPoll.id == 0:
		return never // nobody has been asked yet
	case !l.established && l.inFlight && l.responding:
		return l.overdueAt() // whatever its machine holds is on its way
	case !l.established:
		return 0
	case l.nonAuthoritative:
		return l.nonAuthoritativeSince + nonAuthoritativeProbeDelay
	case l.inFlight:
		return l.overdueAt()
	}
	return never
}

// overdueAt is when the long poll under way should have been answered. An answer that is on its way gets longer: asked
// for elsewhere it would load the links once more.
func (l *controlLink) overdueAt() time.Duration {
	wait := time.Duration(l.longPoll.request.GetHoldMs()) * time.Millisecond
	overdue := l.longPoll.started + wait + overdueMargin
	if l.responding {
		overdue += slowResponseAllowance
	}
	return overdue
}

// probe is the probe that is due, nil if none is.
func (l *controlLink) nextProbe(now time.Duration, record *pb.AgentRecord, state *catalog.Snapshot) *watchCall {
	if now < l.nextProbeDue(now) {
		return nil
	}
	address := l.chooseProbeTarget(now)
	if address == "" {
		l.probes.nextStart = now + maxBackoff
		return nil
	}
	l.probes.inFlight = append(l.probes.inFlight, address)
	call := l.newCall(now, address, record, state)
	call.kind = watchProbe
	call.base = nil
	call.request.Digests = nil
	call.request.Probe = true
	call.request.HoldMs = uint32(probeWait / time.Millisecond)
	call.timeout = probeTimeout
	return &call
}

// chooseProbeTarget is the control machine to probe next, empty if there is none: one that wasn't asked in vain if possible.
func (l *controlLink) chooseProbeTarget(now time.Duration) string {
	excluded := append(slices.Clone(l.probes.inFlight), l.current)
	if address := l.endpoints.chooseExcept(now, slices.Concat(excluded, l.probes.nonAuthoritative)); address != "" {
		return address
	}
	l.probes.nonAuthoritative = nil
	return l.endpoints.chooseExcept(now, excluded)
}

// nextProbeDue is when the next probe may begin.
func (l *controlLink) nextProbeDue(now time.Duration) time.Duration {
	if len(l.probes.inFlight) >= maxProbes {
		return never
	}
	return max(l.probingSince(), l.probes.nextStart)
}

// probed takes the answer to a probe: a machine that holds the agreed state becomes the current one if that is
// wanted still.
func (l *controlLink) handleProbeResponse(now time.Duration, call watchCall, response *pb.WatchResponse, outcome watchOutcome) {
	l.probes.finish(call.address, now)
	if !response.GetAuthoritative() {
		if !outcome.updated { // else it had no time to come to hold the agreed state
			l.probes.nonAuthoritative = append(l.probes.nonAuthoritative, call.address)
		}
		return
	}
	if !l.isProbing(now) || !l.endpoints.known(call.address) {
		return
	}
	if l.established {
		l.endpoints.recordFailure(now, l.current)
	}
	l.switchTo(now, call.address)
	l.probes.nonAuthoritative = nil
	l.established = true
	l.inFlight = false // a long poll to the machine that was the current one is given up
	l.consecutiveFailures = 0
	l.dialTimeout = minDialTimeout
	l.nextLongPoll = now
}
