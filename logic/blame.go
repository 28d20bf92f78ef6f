package logic

// suspect is one that an outcome may be the fault of: the aged shares of failed and of late ones laid to it.
type suspect [2]float64

const failed, late = 0, 1 // places in a suspect

// The suspects of an outcome. The first stands for all that this sidecar reaches, as in a crowded fleet.
const (
	byAll = iota
	byServer
	byCell
	byWay // to the server's zone
	byClass
	byTenant
	suspects
)

// entry gives the suspect of a key, a new one if there is none yet.
func entry[K comparable](m map[K]*suspect, k K) *suspect {
	if m[k] == nil {
		m[k] = &suspect{}
	}
	return m[k]
}

// blame lays an outcome to its suspects: a bad one in proportion to what was laid to them before, so that
// what is seen alike across servers ends up at what they share; a good one clears all. It tells whether the
// server is the likeliest, true of a good one. Without it a caller whose requests fail anywhere,
// or a zone out of reach, ejected server after server, and a class that waits everywhere passed for a jam.
func (b *Balancer) blame(a *attempt, what int, bad bool) (own bool) {
	s, r := a.srv, a.req
	of := [suspects]*suspect{&b.self, &s.suspect, s.cell, s.way, &r.class.suspect, r.tenant}
	total, top := ownPrior-sharedPrior, 0.0
	for _, x := range of {
		total += x[what] + sharedPrior
	}
	for i, x := range of {
		step, part := sharedStep, x[what]+sharedPrior
		if i == byServer {
			step, part = blameStep, x[what]+ownPrior
		}
		if part /= total; !bad {
			part = 0
		} else if part > top && (i < byClass || what == late || x[what] > dragging) {
			top, r.fault = part, i
		}
		if !bad || part > x[what] {
			x[what] += step * (part - x[what])
		}
	}
	return !bad || r.fault == byServer
}

// ofKind tells whether it is the kind of r that goes wrong, wherever it is sent.
func (r *request) ofKind() bool { return r.fault == byClass || r.fault == byTenant }
