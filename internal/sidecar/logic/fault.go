package logic

// A bad outcome may be caused by the server, by what it shares with other servers (its cell, the path to its
// zone), by the class or tenant of the request, or by a condition of the whole fleet such as an overload.
// Attribution of faults distinguishes these causes. Without it, a tenant whose requests fail at all servers,
// or an unreachable zone, leads to the ejection of many servers, and a class that is late at all servers is
// mistaken for an overload.

// faultKind is a kind of bad outcome.
type faultKind int

const (
	failure faultKind = iota
	lateness
	numFaultKinds // number of kinds
)

// faultRates are the aged fractions of outcomes that are bad and attributed to one suspect, by kind.
type faultRates [numFaultKinds]float64

// suspect is what a bad outcome may be attributed to.
type suspect int

const (
	suspectAll suspect = iota // the whole fleet
	suspectServer
	suspectCell
	suspectZone // the path to the server's zone
	suspectClass
	suspectTenant
	numSuspects
)

// faultRatesOf returns the fault rates of key k in m, and adds them if there are none yet.
func faultRatesOf[K comparable](m map[K]*faultRates, k K) *faultRates {
	if m[k] == nil {
		m[k] = &faultRates{}
	}
	return m[k]
}

// attribute updates the fault rates of all suspects of an attempt's outcome. A bad outcome is attributed to
// them in proportion to their fault rates so far, so that faults seen at several servers accumulate at the
// suspect that these have in common. A good outcome lowers all rates. The request records the likeliest
// suspect of a bad outcome. attribute returns true if that suspect is the server or if the outcome is good.
func (b *Balancer) attribute(a *attempt, kind faultKind, bad bool) (toServer bool) {
	s, r := a.server, a.request
	rates := [numSuspects]*faultRates{&b.overall, &s.faultRates, s.cellFaultRates, s.zoneFaultRates,
		&r.class.faultRates, r.tenantFaultRates}
	total, highest := serverFaultPrior-sharedFaultPrior, 0.0
	for _, x := range rates {
		total += x[kind] + sharedFaultPrior
	}
	for i, x := range rates {
		step, part := sharedFaultStep, x[kind]+sharedFaultPrior
		if suspect(i) == suspectServer {
			step, part = serverFaultStep, x[kind]+serverFaultPrior
		}
		// A class or tenant is taken to be the cause of failures only once they are frequent.
		eligible := suspect(i) < suspectClass || kind == lateness || x[kind] > lateClassThreshold
		if part /= total; !bad {
			part = 0
		} else if part > highest && eligible {
			highest, r.fault = part, suspect(i)
		}
		if !bad || part > x[kind] {
			x[kind] += step * (part - x[kind])
		}
	}
	return !bad || r.fault == suspectServer
}

// isAtFault reports whether the class or tenant of r is the likeliest cause of its last bad outcome.
func (r *request) isAtFault() bool { return r.fault == suspectClass || r.fault == suspectTenant }
