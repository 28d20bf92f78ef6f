package logic

// suspect is one that an outcome may be the fault of: the aged shares of failed and of late ones laid to it.
type faultShares [2]float64

const failure, lateness = 0, 1 // places in a suspect

// The suspects of an outcome. The first stands for all that this sidecar reaches, as in a crowded fleet.
const (
	suspectAll = iota
	suspectServer
	suspectCell
	suspectZone // to the server's zone
	suspectClass
	suspectTenant
	suspectCount
)

// entry gives the suspect of a key, a new one if there is none yet.
func sharesOf[K comparable](m map[K]*faultShares, k K) *faultShares {
	if m[k] == nil {
		m[k] = &faultShares{}
	}
	return m[k]
}

// blame lays an outcome to its suspects: a bad one in proportion to what was laid to them before, so that
// what is seen alike across servers ends up at what they share; a good one clears all. It tells whether the
// server is the likeliest, true of a good one. Without it a caller whose requests fail anywhere,
// or a zone out of reach, ejected server after server, and a class that waits everywhere passed for a jam.
func (b *Balancer) attribute(a *attempt, what int, bad bool) (own bool) {
	s, r := a.server, a.request
	of := [suspectCount]*faultShares{&b.overall, &s.faultShares, s.cellShares, s.zoneShares, &r.class.faultShares, r.tenantShares}
	total, top := serverFaultPrior-sharedFaultPrior, 0.0
	for _, x := range of {
		total += x[what] + sharedFaultPrior
	}
	for i, x := range of {
		step, part := sharedFaultStep, x[what]+sharedFaultPrior
		if i == suspectServer {
			step, part = serverFaultStep, x[what]+serverFaultPrior
		}
		if part /= total; !bad {
			part = 0
		} else if part > top && (i < suspectClass || what == lateness || x[what] > lateClassThreshold) {
			top, r.fault = part, i
		}
		if !bad || part > x[what] {
			x[what] += step * (part - x[what])
		}
	}
	return !bad || r.fault == suspectServer
}

// isAtFault tells whether it is the kind of r that goes wrong, wherever it is sent.
func (r *request) isAtFault() bool { return r.fault == suspectClass || r.fault == suspectTenant }
