package agent

import (
	"math"
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

const (
	// maxProbes is the maximum number of probes in flight. Of five control machines, possibly only one has
	// authority, so the four machines other than the current one are probed at once.
	maxProbes = 4
	// probeWait is the maximum time that a probe asks a control machine to wait for authority before responding. After
	// a response without authority, another machine is probed.
	probeWait = 300 * time.Millisecond
	// slowResponseAllowance is the additional time before a long poll is overdue once its response has started.
	slowResponseAllowance = time.Second
	// probeTimeout is the time within which the response to a probe has to start.
	probeTimeout = probeWait + 700*time.Millisecond
	// never is later than any time of the core's clock.
	never = time.Duration(math.MaxInt64)
)

// probes tracks the requests to control machines that could replace the current one. Responses to probes carry no
// state, so that many agents may probe several machines at once.
type probes struct {
	inFlight []string // addresses of the machines that are being probed
	// nonAuthoritative holds the addresses of the machines that responded without authority since the current machine
	// last had authority.
	nonAuthoritative []string
	nextStart        time.Duration // earliest time of the next probe
}

// finish records the end of a probe.
func (p *probes) finish(address string, nextStart time.Duration) {
	p.inFlight = slices.DeleteFunc(p.inFlight, func(other string) bool { return other == address })
	p.nextStart = nextStart
}

// isProbing reports whether the agent is looking for a replacement of the current control machine.
func (l *controlLink) isProbing(now time.Duration) bool { return now >= l.probingSince() }

// probingSince returns the time, past or future, from which the agent looks for a replacement of the current control
// machine.
func (l *controlLink) probingSince() time.Duration {
	switch {
	case l.longPoll.id == 0:
		return never // the first long poll has not been sent yet
	case !l.established && l.inFlight && l.responding:
		return l.overdueAt() // the current machine is already sending its state
	case !l.established:
		return 0
	case l.nonAuthoritative:
		return l.nonAuthoritativeSince + nonAuthoritativeProbeDelay
	case l.inFlight:
		return l.overdueAt()
	}
	return never
}

// overdueAt returns the time at which the long poll in flight is overdue. A response that has started gets more time,
// since requesting the same update from another machine would load the links a second time.
func (l *controlLink) overdueAt() time.Duration {
	wait := time.Duration(l.longPoll.request.GetHoldMs()) * time.Millisecond
	overdue := l.longPoll.started + wait + overdueMargin
	if l.responding {
		overdue += slowResponseAllowance
	}
	return overdue
}

// nextProbe returns the probe that is due; nil if none is due.
func (l *controlLink) nextProbe(now time.Duration, record *pb.AgentRecord, state *catalog.Snapshot) *watchCall {
	if now < l.nextProbeDue() {
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

// chooseProbeTarget returns the control machine to probe next, or the empty string if there is none. It prefers
// machines that have not responded without authority, and probes all machines again once each has done so.
func (l *controlLink) chooseProbeTarget(now time.Duration) string {
	excluded := append(slices.Clone(l.probes.inFlight), l.current)
	if address := l.endpoints.chooseExcept(now, slices.Concat(excluded, l.probes.nonAuthoritative)); address != "" {
		return address
	}
	l.probes.nonAuthoritative = nil
	return l.endpoints.chooseExcept(now, excluded)
}

// nextProbeDue returns the earliest time of the next probe.
func (l *controlLink) nextProbeDue() time.Duration {
	if len(l.probes.inFlight) >= maxProbes {
		return never
	}
	return max(l.probingSince(), l.probes.nextStart)
}

// handleProbeResponse processes the response to a probe. A machine with authority becomes the current one if the agent
// is still looking for a replacement.
func (l *controlLink) handleProbeResponse(now time.Duration, call watchCall, response *pb.WatchResponse, outcome watchOutcome) {
	l.probes.finish(call.address, now)
	if !response.GetAuthoritative() {
		// A response with an update is sent before the wait of the probe is over, in which the machine might still
		// gain authority.
		if !outcome.updated {
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
	l.inFlight = false // abandons a long poll to the previous machine
	l.consecutiveFailures = 0
	l.dialTimeout = minDialTimeout
	l.nextLongPoll = now
}
