package fleet

import (
	"fmt"
	"time"

	"fieldrelay/internal/sidecar/quota"
)

// admit admits a request if all limits that apply to it do; a rejected request counts for none of them. See Fleet.Admit.
func (l *limits) admit(class, tenant string, isRetry bool, deadline time.Time) (done func(), retryAfter time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	gates := l.generalGates
	if own := l.tenantGates[tenant]; len(own) > 0 {
		gates = append(gates[:len(gates):len(gates)], own...)
	}
	return l.passGates(gates, func(g *limitGate) bool { return g.Applies(class, tenant) }, isRetry, 1, deadline)
}

// admitAttempt admits an attempt at an execute node if all limits that apply to it do; a rejected attempt counts for none of them.
// Of the limit of a node that is warming up, only warmFraction may be used. Nodes that are not listed have no limits of their own.
// See Fleet.AdmitAttempt.
func (l *limits) admitAttempt(node, class, tenant string, isRetry bool, warmFraction float64, deadline time.Time) (done func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.attemptGates)+len(l.nodeGates) == 0 {
		return nil, true
	}
	applies := func(g *limitGate) bool { return g.Applies(class, tenant) }
	done, _, ok = l.passGates(append(l.attemptGates[:len(l.attemptGates):len(l.attemptGates)], l.nodeGates[node]...), applies, isRetry, warmFraction, deadline)
	return done, ok
}

// passGates passes all of the given gates that apply, or none of them. The caller holds l.mu.
func (l *limits) passGates(gates []*limitGate, applies func(*limitGate) bool, isRetry bool, warmFraction float64, deadline time.Time) (done func(), retryAfter time.Duration, ok bool) {
	now := time.Since(l.origin)
	type passedGate struct {
		g    *limitGate
		slot quota.Slot
	}
	var passed []passedGate
	for _, g := range gates {
		if !applies(g) {
			continue
		}
		slot, retryAfter, ok := quota.NoSlot, time.Duration(0), false
		switch {
		case g.DividesAllowances: // a request beyond its tenant's allowance is not rejected, but gets a lower value
			g.gate.Take(now, now)
			continue
		case g.Leased():
			slot, retryAfter, ok = g.gate.TakeReduced(now, deadline.Sub(l.origin), g.Reduced(warmFraction))
		default:
			retryAfter, ok = g.gate.AdmitByRetryBudget(isRetry, g.Limit().Total)
		}
		if !ok {
			for _, p := range passed {
				p.g.gate.Undo(p.slot)
			}
			return nil, retryAfter, false
		}
		passed = append(passed, passedGate{g, slot})
	}
	if len(passed) == 0 {
		return func() {}, 0, true
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, p := range passed {
			p.g.gate.Done(p.slot)
		}
	}, 0, true
}

// counts returns how many requests and attempts the limits have admitted and rejected. A request or attempt to which several limits
// apply is counted once for each of them.
func (l *limits) counts() (admitted, rejected int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.gates {
		admitted, rejected = admitted+g.gate.Admitted, rejected+g.gate.Rejected
	}
	return admitted, rejected
}

// unlimitedLease is the least expiry that stands for a share without a lease.
const unlimitedLease = time.Duration(1 << 62)

// statusLines returns a line for each limit: its name, this member's share, the time left of its lease, the fallback that applies
// after the lease, and the counts.
func (l *limits) statusLines() (lines []string) {
	now := time.Since(l.origin)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.gates {
		lines = append(lines, g.statusLine(now))
	}
	return lines
}

// statusLine returns the line of one limit. See statusLines.
func (g *limitGate) statusLine(now time.Duration) string {
	limit := g.Limit()
	if !g.Leased() {
		kind := "again_pct"
		if g.AttemptRetryPercent > 0 {
			kind = "retry_pct"
		}
		return fmt.Sprintf("%s %s limit=%g here=%g lease=none let=%d refused=%d", g.Name, kind, g.ClientRetryPercent+g.AttemptRetryPercent, g.ClientRetryPercent+g.AttemptRetryPercent, g.gate.Admitted, g.gate.Rejected)
	}
	kind, format := "in_flight", func(u quota.Unit) string { return fmt.Sprint(u) }
	if limit.Kind == quota.Rate {
		kind, format = "per_second", func(u quota.Unit) string { return fmt.Sprintf("%g", float64(u)/float64(quota.PerSecond)) }
	}
	lease, here := "none", g.share.fallback
	if now < g.share.expiry && g.share.expiry < unlimitedLease {
		lease, here = fmt.Sprintf("%dms", (g.share.expiry-now).Milliseconds()), g.share.amount
	}
	return fmt.Sprintf("%s %s limit=%s here=%s lease=%s past=%s demand=%s in_use=%d let=%d refused=%d", g.Name, kind, format(limit.Total), format(here),
		lease, format(g.share.fallback), format(g.gate.Demand(now)), g.gate.InUse(), g.gate.Admitted, g.gate.Rejected)
}
