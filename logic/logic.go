package logic

// The interface of this module (settings, events, actions) is in api.go. The rule of choice is that of
// Bouten et al., "Dynamic Server Selection Strategy for Multi-server HTTP Adaptive Streaming Services": an
// aged EWMA of every server's speed, a softmax over the speeds by the best, at a temperature that follows
// the slack, and a sorted walk when slack is low. All else narrows its set or scales a speed.

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"fieldrelay/internal/door"
)

// Tuning. Every value is dimensionless, but for the first two; ageing is the paper's.
const (
	ageing     = 3 * time.Second  // δ of the paper: its middle way between noise and delay
	listLine   = time.Millisecond // assumed work of the list's service for an entry
	slackStart = 0.8              // the design's start
	slackLow   = 0.3              // below: the sorted walk (paper, B_crit)
	slackHigh  = 0.8              // above: the wide temperature (paper, B_high)
	tauTarget  = 0.2              // paper, τ_target
	tauFull    = 0.333            // paper, τ_full
	maxAlpha   = 0.5              // one answer after a gap moves an estimate half way at most
	slackAlpha = 0.5              // and one request the slack by so much: a quiet sidecar must shed in time

	connsPriced  = 100.0 // the price of connections is for so many a server (the settings' unit)
	freshen      = 4.0   // samples of a server within δ that its estimate needs
	limitsHold   = 16    // sidecars; fewer keep to limits alone: with the bound on, an earlier day read low
	outTimes     = 1.8   // times the work asked for may be out: a standard core is faster than most
	outRoots     = 2.5   // and so many roots of it: chance brings as much beside the mean
	subsetLeast  = 2     // servers in use however little comes: one may fail and one be tried again
	lateRoom     = 0.7   // of the time left: a server expected to take longer is left
	lateRow      = 2     // and one that was too late so many times in a row
	lateAgain    = 0.05  // share of the own requests that tries such servers again
	coldShare    = 1.3   // of a cold server's present part of what the subset can do; its queue takes chance
	coldLeast    = 0.65  // part of its full work that a subset is taken to do: twice the present part at most
	coldBurst    = 1.5   // most sends a cold server can have saved up
	firstLimit   = 2.0   // attempts that may be out at an unknown server
	growBelow    = 0.1   // part of the way from a quick answer to the aim: quicker ones let a limit grow
	shrinkAbove  = 0.3   // and those past this part make it shrink
	grow         = 0.25  // least that a quick answer gives to a limit: growth keeps up at any size
	quickStep    = 0.1   // how fast the idea of a quick answer falls; it rises a tenth as fast
	lateStep     = 0.125 // weight of an answer in the share of slow ones
	cut          = 0.5   // of the share of slow answers is taken from a limit, once an answer time
	blameStep    = 0.15  // weight of an outcome in what is laid to its server
	sharedStep   = 0.4   // and to what servers share: it must be known before three failures in a row eject
	ownPrior     = 0.05  // what is laid to a server unseen, against
	sharedPrior  = 0.03  // this for each of the rest: servers fail most often
	dragging     = 0.3   // aged share of lateness laid to a class that lets in one request an ageing time
	meanStep     = 0.02  // weight of an answer in a class's mean: fifty smooth its spread
	heavyTimes   = 100.0 // work of the lightest class in use: at 20 times, busy days of like requests lost
	inUse        = 0.3   // aged number of requests of a class in use: one within about an ageing time
	crowded      = 0.5   // a limit grows only when this part of it is in use
	ejectFails   = 3     // failures in a row that eject, or more:
	ejectChance  = 1e-5  // as many as would come by chance this rarely
	ejectShare   = 0.3   // aged share of errors that ejects
	ejectFirst   = 1.0   // first ejection, in ageing times; doubles up to ejectMost
	ejectMost    = 4.0
	heldSpread   = 4.0  // a held request is given up this many deviations before the mean answer time
	windowSafety = 0.95 // of a repeat window: its end is not ours to gamble with
	warmPull     = 2.0  // weight of a key's home server, in fair shares of the rest
	crossScale   = 40.0 // how strongly the price of crossing zones scales a weight down
	easy         = 0.4  // part of the aim within which an answer counts for the slack: jams show early
	calm         = 1.5  // times the slack, squared: the part of the requests that is let in
	trickle      = 0.05 // part let in however bad it looks, so that a recovery is seen
	levelSteps   = 20   // halvings that find how much of each class gives way
	leastWorth   = 1e-3 // of a class whose worth is not told
	goneKept     = 20.0 // ageing times without an answer after which one called gone is forgotten
	listWrong    = 0.5  // part of all servers: when more are called gone, it is the list that is wrong
	askShare     = 0.25 // of the contract's interval: longest wait before the list is asked for again
)

// server is what this sidecar knows of one server.
type server struct {
	Server
	rank    uint64  // its place in this sidecar's own order
	speed   float64 // aged EWMA of work over answer time; 0 until seeded
	sampled time.Duration
	seeded  bool
	out     []*attempt
	goneAt  time.Duration // since when the list calls it gone
	alive   time.Duration // last sign of life
	fails   int           // in a row
	failing float64       // aged share of its attempts that failed
	suspect
	cell, way *suspect
	ejected   time.Duration // until then
	backoff   float64       // length of the next ejection, in ageing times
	limit     float64       // most own attempts out
	shrunk    time.Duration
	slow      float64       // aged share of slow answers
	lates     int           // answers in a row that came too late
	credit    float64       // sends a cold server may get
	releaseAt time.Duration // when its idle connections are to be closed
}

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

type attempt struct {
	req                  *request
	no                   int
	srv                  *server
	sent                 time.Duration
	out, mayRun, crowded bool
	gaveUp               bool // called off because no answer came in time
}

type request struct {
	id                    uint64
	class                 *class
	key                   uint64
	hasKey                bool
	cost                  float64 // hinted work in seconds, 1 where none is told
	arrived               time.Duration
	aim                   time.Duration // clock time; cut short by the client's patience
	full                  time.Duration // and not cut short: what servers are judged by
	expires               time.Duration
	tenant                *suspect
	attempts              []*attempt
	closed, started, held bool
	busy                  bool // its last attempt met a full server
	fault                 int  // likeliest suspect of its last attempt that went wrong
}

type class struct {
	Class
	mean, dev float64 // aged answer time of successes, in seconds
	quick     float64 // what an answer takes where nothing waits, about the lowest tenth
	asked     float64 // aged requests a second,
	work      float64 // and the work of them,
	askedAt   time.Duration
	suspect
	tried time.Duration // when one was last let in although the class drags
	owed  time.Duration // the latest aim of a request that ended unserved
}

// Balancer makes the decisions of one sidecar.
type Balancer struct {
	cfg       Config
	classes   map[string]*class
	kinds     []*class // the same, in the settings' order
	rng       *rand.Rand
	seed      uint64
	servers   []*server // in this sidecar's own order
	set       []*server // scratch of candidates: where a request may go
	weights   []float64 // scratch of softmax
	rate      float64   // aged own requests a second
	rateAt    time.Duration
	byID      map[uint64]*server
	out       int // attempts out
	requests  map[uint64]*request
	held      []*request
	self      suspect
	ways      map[string]*suspect // by zone
	cells     map[int]*suspect
	tenants   map[string]*suspect
	door      *door.Door // what tenants send against their shares
	slack     float64
	slackAt   time.Duration
	began     time.Duration // the first request
	shedding  bool          // as last logged
	listWrong bool          // it calls most servers gone: no proof
	walk      []*server
	walkPos   int
	askAt     time.Duration // when to ask for the list (again); 0: no need
	askWait   time.Duration
	now       time.Duration
	acts      []Action
}

// New makes a balancer, or tells what makes the settings unusable.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if len(cfg.Classes) == 0 {
		return nil, errors.New("logic: settings name no class")
	}
	c := &cfg.Contract
	if min(c.ColdFrom, 1-c.ColdFrom) < 0 || min(c.AskEvery, c.Cold, cfg.Tick) < 0 || cfg.Limits.Attempts < 0 {
		return nil, errors.New("logic: settings hold a negative time or count, or a share not within 0 to 1")
	}
	b := &Balancer{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		byID: map[uint64]*server{}, requests: map[uint64]*request{}, slack: slackStart, seed: seed,
		ways: map[string]*suspect{}, cells: map[int]*suspect{}, tenants: map[string]*suspect{},
		door: door.New(cfg.Tenants, cfg.Balancers, cfg.OverShareWorth, ageing),
	}
	return b, b.Reclass(cfg.Classes, cfg.Limits.Attempts)
}

// Reclass takes new classes and bound on attempts for requests from now on; open ones keep their class. An
// unchanged class keeps what was learnt of it. Of classes with a negative time nothing is taken.
func (b *Balancer) Reclass(classes []Class, attempts int) error {
	kinds, named := make([]*class, 0, len(classes)), make(map[string]*class, len(classes))
	for _, c := range classes {
		if c.Aim < 0 || c.Deadline < 0 || c.Window < 0 {
			return fmt.Errorf("logic: class %q has a negative time", c.Name)
		}
		k := b.classes[c.Name]
		if k == nil || k.Class != c {
			k = &class{Class: c}
		}
		kinds, named[c.Name] = append(kinds, k), k
	}
	b.kinds, b.classes, b.cfg.Classes, b.cfg.Limits.Attempts = kinds, named, classes, max(attempts, 1)
	return nil
}

// Retenant takes the tenants and the worth beyond a share from now on; what was counted of those kept stays.
func (b *Balancer) Retenant(tenants []Tenant, overShare float64) { b.door.Set(tenants, overShare) }

// Step takes one event and appends the actions that follow from it.
func (b *Balancer) Step(now time.Duration, ev *Event, acts []Action) []Action {
	b.now, b.acts = now, acts
	switch ev.Kind {
	case EvMembers:
		b.members(ev)
	case EvListLost:
		b.listLost(ev.Expires)
	case EvRequest:
		b.request(ev)
	case EvStarted:
		if a := b.attempt(ev); a != nil && !a.req.started {
			a.req.started = true
			b.answered(a, ev.Latency)
		}
	case EvOutcome:
		b.outcome(ev)
	case EvWithdrawn:
		if r := b.requests[ev.Request]; r != nil && !r.closed {
			b.close(r, false)
		}
	case EvWake:
		b.wake(ev.Timer)
	}
	acts, b.acts = b.acts, nil
	return acts
}

func (b *Balancer) act(a Action) { b.acts = append(b.acts, a) }

func (b *Balancer) logf(format string, args ...any) {
	b.act(Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
}

// aged is the paper's α: the weight of a sample that comes gap after the last.
func aged(gap time.Duration) float64 { return 1 - math.Exp(-float64(gap)/float64(ageing)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (b *Balancer) members(ev *Event) {
	named := make(map[uint64]bool, len(ev.Servers))
	for i := range ev.Servers {
		named[ev.Servers[i].ID] = true
		b.member(&ev.Servers[i])
	}
	missing := 0
	for _, s := range slices.Clone(b.servers) {
		if ev.Complete && !named[s.ID] {
			b.gone(s)
		}
		if s.State == Gone {
			missing++
			if b.now-max(s.goneAt, s.alive) > goneKept*ageing {
				b.drop(s)
			}
		}
	}
	b.listWrong = float64(missing) > listWrong*float64(len(b.servers))
	if !ev.Stored {
		b.askAt, b.askWait = 0, 0
	} else if b.cfg.Subscribe {
		b.askIn(time.Duration(b.rng.Float64() * float64(min(b.listWork(), b.longestAsk()))))
	}
	b.release()
}

func (b *Balancer) member(e *Server) {
	s := b.byID[e.ID]
	switch {
	case e.State == Gone:
		if s != nil {
			b.gone(s)
		}
		return
	case s == nil:
		s = &server{Server: *e}
		b.byID[e.ID] = s
		b.place(s)
		b.fresh(s)
	case e.Since > s.Since: // it restarted: what was learned is of another process
		b.unplace(s)
		*s = server{Server: Server{ID: e.ID}, out: s.out}
		b.place(s)
		b.fresh(s)
	}
	// A list that is old makes no cold server warm and, where it may be wrong, ends no drain.
	since, drained := max(s.Since, e.Since), b.cfg.Contract.GoneIsAdvice && s.State == Draining
	if s.Server, s.Since = *e, since; drained {
		s.State = Draining
	}
	s.way, s.cell = entry(b.ways, e.Zone), entry(b.cells, e.Cell)
}

// entry gives the suspect of a key, a new one if there is none yet.
func entry[K comparable](m map[K]*suspect, k K) *suspect {
	if m[k] == nil {
		m[k] = &suspect{}
	}
	return m[k]
}

// gone takes in that the list calls s gone or leaves it out. Where that is advice, s is kept and the own
// outcomes decide, but for one that was draining: it stays barred for good.
func (b *Balancer) gone(s *server) {
	switch {
	case !b.cfg.Contract.GoneIsAdvice:
		b.drop(s)
	case s.State == Draining:
		b.unplace(s)
	case s.State == Ready:
		s.State, s.goneAt = Gone, b.now
	}
}

// barred tells whether the list keeps new requests off s. Called gone where that is advice, a server that has
// answered stays in use until it fails; one never tried is left, unless the list calls so many gone that the
// few others would be overrun.
func (b *Balancer) barred(s *server) bool {
	return s.State == Draining || (s.State == Gone && !s.seeded && !b.listWrong)
}

// place puts s into this sidecar's own order: by a hash of its seed and the server, so that the first polls,
// ties and subsets of many sidecars spread evenly.
func (b *Balancer) place(s *server) {
	s.rank = hash(b.seed, s.ID)
	i, _ := slices.BinarySearchFunc(b.servers, s, func(x, y *server) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.ID, y.ID))
	})
	b.servers = slices.Insert(b.servers, i, s)
}

// hash mixes a key and a server for rendezvous ranking.
func hash(key, id uint64) uint64 {
	h := (key ^ bits.RotateLeft64(id*0x9e3779b97f4a7c15, 31)) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>29) * 0x94d049bb133111eb
	return h ^ h>>32
}

// fresh sets up an unknown server; at random, so that first polls do not meet if it is cold.
func (b *Balancer) fresh(s *server) {
	s.limit, s.backoff, s.alive = firstLimit, ejectFirst, b.now
	s.credit = b.rng.Float64()
	b.walk = nil
}

func (b *Balancer) drop(s *server) {
	delete(b.byID, s.ID)
	b.unplace(s)
}

func (b *Balancer) unplace(s *server) {
	b.servers = slices.DeleteFunc(b.servers, func(o *server) bool { return o == s })
	b.walk = nil
}

// ask subscribes to the list. The subscription is kept up because a sidecar without one is held to a list
// that it has not seen.
func (b *Balancer) ask() {
	b.act(Action{Kind: ActWatch})
	b.askIn(2 * b.longestAsk()) // should no answer come at all
}

func (b *Balancer) longestAsk() time.Duration {
	return max(time.Duration(askShare*float64(b.cfg.Contract.AskEvery)), time.Second)
}

// listWork is how long the list's service may need for a call of each sidecar: it does not grow with them and
// works on, call by call, also at those that were given up. What it does within one wait is not spread.
func (b *Balancer) listWork() time.Duration {
	n := time.Duration(b.cfg.Balancers)
	if work := n * time.Duration(len(b.servers)) * listLine; work > b.longestAsk() {
		return work
	}
	return n * b.cfg.Tick
}

// listLost asks again after a wait that doubles and lets the calls of all others pass, so that a service in
// trouble is not kept there. Where what was missed counts as told soon, a second call has time before that.
func (b *Balancer) listLost(told time.Duration) {
	if b.cfg.Subscribe {
		work := min(b.listWork(), 2*b.longestAsk())
		b.askWait = min(max(2*b.askWait, b.longestAsk()/16, work), max(b.longestAsk(), work))
		wait := (0.5 + b.rng.Float64()/2) * float64(b.askWait)
		if told > b.now {
			wait = min(wait, b.rng.Float64()*float64(max(told-b.now, b.longestAsk()/8))/2)
		}
		b.askIn(time.Duration(wait))
	}
}

func (b *Balancer) askIn(wait time.Duration) {
	b.askAt = b.now + wait
	b.at(b.askAt, TimerAsk, 0)
}

// coldFraction is the share of its full capacity that s has at the least.
func (b *Balancer) coldFraction(s *server) float64 {
	c, age := &b.cfg.Contract, b.now-s.Since
	if s.Since <= 0 || c.Cold <= 0 || age >= c.Cold {
		return 1
	}
	return c.ColdFrom + (1-c.ColdFrom)*float64(max(age, 0))/float64(c.Cold)
}

// mayRepeat tells whether the rules let a further attempt of r go to s now.
func (b *Balancer) mayRepeat(r *request, s *server) bool {
	by := b.repeatBy(r)
	return (by == 0 || b.now < by) && !slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		return a.counts() && (r.class.Effect == Unsafe || (a.out && !b.cfg.Limits.Parallel) ||
			(r.class.Effect == Keyed && !sameGroup(r.class.Group, a.srv, s)))
	})
}

// repeatBy is when the window for repeats of r ends, or 0: a connection that comes up later sends nothing.
func (b *Balancer) repeatBy(r *request) time.Duration {
	if i := slices.IndexFunc(r.attempts, (*attempt).counts); i >= 0 && r.class.Effect == Keyed {
		return r.attempts[i].sent + time.Duration(windowSafety*float64(r.class.Window))
	}
	return 0
}

func (a *attempt) counts() bool { return a.out || a.mayRun } // it is not proved never to have run

func sameGroup(g Group, a, s *server) bool {
	return g == GroupAll || (g == GroupZone && a.Zone == s.Zone) || (g == GroupCell && a.Cell == s.Cell)
}

// width is the size of the subset: as many servers as the own requests keep fresh within δ.
func (b *Balancer) width() int { return max(int(b.rate*ageing.Seconds()/freshen), subsetLeast) }

// candidates sets b.set to the servers r may go to: the first in this sidecar's order, as many as its width,
// that the rules allow, neither ejected nor tried (if none, one of those, so others rest), under their limit.
func (b *Balancer) candidates(r *request) {
	b.set = b.set[:0]
	var last *server
	var fit [2]int // of the near servers and of those across
	width := b.width()
	if b.cfg.Prices.CrossZone <= 0 {
		fit[1] = width
	}
	for _, s := range b.servers {
		zone := b.across(s)
		if fit[0] >= width && fit[1] >= width {
			break
		}
		spent := b.coldFraction(s) < 1 && s.credit < 1
		if fit[zone] >= width || b.barred(s) || !b.mayRepeat(r, s) || spent {
			continue
		}
		if b.now >= s.ejected && !r.tried(s) {
			fit[zone]++
			b.set = append(b.set, s)
		} else if last == nil || s.ejected < last.ejected {
			last = s
		}
	}
	if len(b.set) == 0 && last != nil {
		b.set = append(b.set, last)
	}
	heavy := b.heavy(r)
	b.set = slices.DeleteFunc(b.set, func(s *server) bool {
		n := float64(len(s.out))
		return n >= max(s.limit, 1) || (heavy && n >= max(s.limit-1, 1))
	})
	b.leaveLate(r)
}

// heavy tells whether r is so much work beside what else comes that light requests would wait for its like
// alone: a limit counts attempts, and a burst of long ones took every place for as long as they lasted.
func (b *Balancer) heavy(r *request) bool {
	return slices.ContainsFunc(b.kinds, func(c *class) bool {
		lately := c.asked * (1 - aged(b.now-c.askedAt)) * ageing.Seconds()
		return lately > inUse && r.cost*c.asked > heavyTimes*c.work
	})
}

// leaveLate takes the servers that lately answered too late for r out of its candidates, unless that leaves
// none. The price of crossing would keep requests there, and a thousand sidecars that each tried again after
// a time would hold a jam up: a small share of the own requests tries the one heard of least lately.
func (b *Balancer) leaveLate(r *request) {
	left := (r.useful() - b.now).Seconds() * lateRoom
	tooLate := func(s *server) bool { return s.lates >= lateRow || s.seeded && b.effective(s)*left < r.cost }
	if !slices.ContainsFunc(b.set, func(s *server) bool { return !tooLate(s) }) {
		return
	}
	var again *server
	for _, s := range b.set {
		if tooLate(s) && len(s.out) == 0 && (again == nil || s.sampled < again.sampled) {
			again = s
		}
	}
	if again != nil && b.rng.Float64() < lateAgain {
		b.set = append(b.set[:0], again)
		return
	}
	b.set = slices.DeleteFunc(b.set, tooLate)
}

// across is 1 if a send to s is charged for leaving the zone, or else 0. The subset has as many of each.
func (b *Balancer) across(s *server) int {
	if b.cfg.Prices.CrossZone > 0 && s.Zone != b.cfg.Zone {
		return 1
	}
	return 0
}

func (r *request) tried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.srv == s })
}

// effective is the speed that s is expected to show to the next request: its estimate, bounded by its
// silence, scaled by its crowding and its errors.
func (b *Balancer) effective(s *server) float64 {
	v := s.speed
	if len(s.out) > 0 {
		// A hung server answers nothing: its silence while work is out bounds its speed.
		if silent := b.now - max(s.alive, s.out[0].sent); silent > 0 {
			v = min(v, s.out[0].req.cost/silent.Seconds())
		}
	}
	// Answers tell late of a queue; the own attempts out tell at once.
	v *= (1 - s.suspect[failed]) * (1 - s.cell[failed]) * (1 - s.way[failed])
	return v / (1 + float64(len(s.out)))
}

// pick chooses among the candidates: seeding first, then by the paper's rule.
func (b *Balancer) pick(r *request, set []*server) *server {
	if i := slices.IndexFunc(set, func(s *server) bool { return !s.seeded && len(s.out) == 0 }); i >= 0 {
		return set[i]
	}
	if b.slack < slackLow {
		return b.walkPick(set)
	}
	return b.softmax(r, set)
}

// home gives the server of set that ranks first for the key of r: all sidecars rank alike, and a server that
// comes or goes moves its own keys only.
func home(r *request, set []*server) *server {
	return slices.MaxFunc(set, func(x, y *server) int {
		return cmp.Compare(hash(r.key, x.ID), hash(r.key, y.ID))
	})
}

func (b *Balancer) softmax(r *request, set []*server) *server {
	tau := tauTarget
	if b.slack > slackHigh {
		tau = tauFull
	}
	b.weights = append(b.weights[:0], make([]float64, len(set))...)
	speeds, best := b.weights, 0.0
	for i, s := range set {
		speeds[i] = b.effective(s)
		best = max(best, speeds[i])
	}
	if best <= 0 {
		return set[b.rng.IntN(len(set))]
	}
	var warm *server
	if b.cfg.WarmKeys && r.hasKey {
		warm = home(r, set)
	}
	far, total := [2]float64{1, math.Exp(-crossScale * b.cfg.Prices.CrossZone)}, 0.0
	for i := range speeds {
		speeds[i] = math.Exp(speeds[i]/best/tau) * far[b.across(set[i])]
		if set[i] == warm {
			speeds[i] *= warmPull * float64(len(set))
		}
		total += speeds[i]
	}
	x := b.rng.Float64() * total
	for i, s := range set {
		if x -= speeds[i]; x < 0 {
			return s
		}
	}
	return set[len(set)-1]
}

// walkPick stays on the server at the walk's place, or the next one that is a candidate, and sorts anew at
// the end of the list.
func (b *Balancer) walkPick(set []*server) *server {
	for range 2 {
		if b.walkPos >= len(b.walk) {
			b.walk, b.walkPos = slices.Clone(b.servers), 0
			slices.SortStableFunc(b.walk, func(x, y *server) int {
				return cmp.Compare(b.effective(y), b.effective(x))
			})
		}
		for _, s := range b.walk[b.walkPos:] {
			if slices.Contains(set, s) {
				return s
			}
		}
		b.walkPos = len(b.walk)
	}
	return set[0]
}

func (b *Balancer) request(ev *Event) {
	c := b.classes[ev.Class]
	if c == nil { // nothing is known of it, so nothing is promised
		b.act(Action{Kind: ActFail, Request: ev.Request})
		return
	}
	r := &request{id: ev.Request, class: c, key: ev.Key, hasKey: ev.HasKey, cost: 1, arrived: b.now,
		expires: ev.Expires, tenant: entry(b.tenants, ev.Tenant)}
	aim := c.Aim
	if ev.Hint > 0 {
		r.cost = ev.Hint.Seconds()
		aim += time.Duration(c.AimStretch * float64(ev.Hint))
	}
	if aim <= 0 {
		aim = c.Deadline
	}
	r.full = b.now + aim
	r.aim = min(r.full, r.expires)
	if ev.Repeat && c.owed > 0 { // its time runs from its first try, one of those that failed
		r.aim = min(r.aim, c.owed)
	}
	b.requests[r.id] = r
	b.rate += 1/ageing.Seconds() - aged(b.now-b.rateAt)*b.rate
	if b.rateAt = b.now; b.slackAt == 0 {
		b.slackAt, b.began = b.now, b.now
	}
	b.at(r.expires-b.cfg.Tick, TimerExpire, r.id)
	c.demand(b.now, r.cost)
	b.door.Arrive(b.now, ev.Tenant)
	// Servers that answer late to all spend their whole capacity on it, a jam that holds itself up. Letting
	// in less than is answered in time drains it.
	refused := b.impatient(r) || b.drags(c) || b.rng.Float64() > b.admits(c, ev.Tenant)
	if !refused || b.cfg.Balancers < limitsHold { // many would earn together what cold servers cannot do
		b.earn()
	}
	if refused {
		b.settle(r)
	} else if c.tried = b.now; !b.send(r) {
		b.hold(r)
	}
}

// demand takes in that a request of c asks for work, or with none that time has passed.
func (c *class) demand(now time.Duration, work float64) {
	keep := 1 - aged(now-c.askedAt)
	c.asked, c.work, c.askedAt = c.asked*keep, c.work*keep, now
	if work > 0 {
		c.asked += 1 / ageing.Seconds()
		c.work += work / ageing.Seconds()
	}
}

func (b *Balancer) load() (all float64) {
	for _, c := range b.kinds {
		c.demand(b.now, 0)
		all += c.work
	}
	return all
}

// most is how many attempts may be out: a multiple of what the work asked for keeps busy where nothing waits,
// and a margin for chance, as in square-root staffing (Halfin and Whitt). What waits, waits here: with a
// limit of one a server each, eighty sidecars crowded all servers, which slowed down and stayed so.
func (b *Balancer) most() float64 {
	w := b.load() / aged(b.now-b.began) // what has come since the start is told of in part
	return 1 + outTimes*w + outRoots*math.Sqrt(w)
}

// admits is the part of c's requests from tenant that is let in; the slack says how much can be done in time.
// Classes, and tenants beyond their share, give way in inverse proportion to their worth: shed alike, the
// dear would lose as much as the cheap; with the cheap shed alone, nothing of those would be served in a jam.
func (b *Balancer) admits(c *class, tenant string) float64 {
	in := calm * b.slack
	if in >= 1 {
		return 1
	}
	mix := b.door.Mix(b.now, b.rate*(1-aged(b.now-b.rateAt)))
	all, high := b.load(), 0.0 // the level over a kind's worth is its part that gives way
	for _, o := range b.kinds {
		high = max(high, b.worth(o))
	}
	for low, step := 0.0, 0; step < levelSteps; step++ {
		level, shed := (low+high)/2, 0.0
		for _, o := range b.kinds {
			for _, t := range mix {
				shed += o.work * t.Part * min(1, level/(b.worth(o)*t.Worth))
			}
		}
		if shed < (1-in*in)*all {
			low = level
		} else {
			high = level
		}
	}
	return max(1-high/(b.worth(c)*b.door.Worth(tenant)), trickle)
}

// worth is what a unit of c's work is worth.
func (b *Balancer) worth(c *class) float64 {
	worth := max(c.Worth, leastWorth)
	if b.cfg.WorthByWork || c.work == 0 {
		return worth
	}
	return worth * c.asked / c.work
}

// drags tells whether c waits past its aim wherever it goes, and not because all do: sent, its requests would
// hold places for nothing. One an ageing time shows when that ends.
func (b *Balancer) drags(c *class) bool {
	return c.suspect[late] > max(dragging, b.self[late]) && b.now < c.tried+ageing
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

// impatient tells whether r is worth nothing when a quick answer could come: its client leaves or came again.
func (b *Balancer) impatient(r *request) bool {
	end := r.useful()
	return end < r.full && b.now+seconds(r.class.quick) >= end
}

// hopeless tells whether an attempt sent now would be late.
func (b *Balancer) hopeless(r *request) bool { return b.now+seconds(r.class.mean) >= r.useful() }

// useful is the time after which an answer is worth nothing.
func (r *request) useful() time.Duration {
	if r.class.LateWorth > 0 {
		return r.expires
	}
	return r.aim
}

// send starts an attempt of r, if a server can take it.
func (b *Balancer) send(r *request) bool {
	full := b.cfg.Balancers >= limitsHold && float64(b.out) >= b.most()
	if n := len(r.attempts); n >= b.cfg.Limits.Attempts || (n == 0 && full) {
		return false
	}
	if b.candidates(r); len(b.set) == 0 {
		return false
	}
	s, by := b.pick(r, b.set), b.repeatBy(r)
	a := &attempt{req: r, no: len(r.attempts), srv: s, sent: b.now, out: true}
	a.crowded = float64(len(s.out)+1) >= crowded*s.limit
	r.attempts = append(r.attempts, a)
	s.out = append(s.out, a)
	b.out++
	if b.coldFraction(s) < 1 {
		s.credit--
	}
	b.act(Action{Kind: ActSend, Request: r.id, Server: s.ID, After: r.expires - b.now, At: by})
	if c := r.class; a.no == 0 && !c.Stream && c.LateWorth == 0 && r.aim < r.expires {
		b.at(r.aim-b.cfg.Tick, TimerAim, r.id)
	}
	return true
}

// earn gives the cold servers of the subset, and no others, their parts of a request that came in. The sum
// over all sidecars keeps the rule: each server is in as many subsets as any other. Sends would not do as a
// measure: with most of a fleet cold, each would allow less than one.
func (b *Balancer) earn() {
	width := min(b.width(), len(b.servers))
	var met [2]int
	var able [2]float64 // what the subset can do, in servers
	var cold []*server
	for _, s := range b.servers {
		zone := b.across(s)
		if met[zone] >= width || b.barred(s) || b.now < s.ejected {
			continue
		}
		met[zone]++
		able[zone] += b.coldFraction(s)
		if b.coldFraction(s) < 1 {
			cold = append(cold, s)
		}
	}
	for _, s := range cold {
		part := b.coldFraction(s) / max(able[b.across(s)], coldLeast*float64(width))
		s.credit = min(s.credit+coldShare*part, coldBurst)
	}
}

func (b *Balancer) hold(r *request) {
	r.held = true
	b.held = append(b.held, r)
	need := r.class.mean + heldSpread*r.class.dev // sent any later, most answers would be late
	b.at(r.useful()-seconds(need), TimerHeld, r.id)
}

// release sends what is held, newest first: it has the most time left. What cannot make it ends by its timer.
func (b *Balancer) release() {
	for i := len(b.held) - 1; i >= 0 && b.send(b.held[i]); i-- {
		b.held[i].held = false
		b.held = b.held[:i]
	}
}

// mayRefuse tells whether a refusal is true: a retry can do no harm.
func (r *request) mayRefuse() bool {
	return r.class.Effect == Safe || (r.class.Effect == Keyed && r.class.Group == GroupAll) || !r.mayHaveRun()
}

func (r *request) mayHaveRun() bool { return slices.ContainsFunc(r.attempts, (*attempt).counts) }

// settle gives the final answer without a server's.
func (b *Balancer) settle(r *request) {
	if r.mayRefuse() {
		after := time.Duration(0)
		if b.cfg.Limits.RetryAfter {
			after = min(b.prospect(r), b.cfg.Limits.MaxRetryAfter)
		}
		b.act(Action{Kind: ActRefuse, Request: r.id, After: after})
	} else {
		b.act(Action{Kind: ActFail, Request: r.id})
	}
	if len(r.attempts) > 0 {
		b.sample(r, false)
	}
	b.close(r, false)
}

// prospect is how long a repeat of r had better wait: until the slack lets it in or its class is
// tried again, for an answer time at the least; where it is late already, as long as may be asked.
func (b *Balancer) prospect(r *request) time.Duration {
	if b.now+b.cfg.Tick >= r.aim {
		return b.cfg.Limits.MaxRetryAfter
	}
	wait := time.Duration((1 - min(calm*b.slack, 1)) * float64(ageing))
	if c := r.class; b.drags(c) {
		wait = c.tried + ageing - b.now
	}
	return max(wait, seconds(r.class.mean))
}

// close ends r and calls off what is still out for it.
func (b *Balancer) close(r *request, served bool) {
	if r.closed = true; !served {
		r.class.owed = max(r.class.owed, r.full)
	}
	if r.held {
		r.held = false
		b.held = slices.DeleteFunc(b.held, func(o *request) bool { return o == r })
	}
	if b.cfg.Limits.Cancel && !r.started {
		for _, a := range r.attempts {
			if a.out {
				a.gaveUp = b.now >= r.full-b.cfg.Tick
				b.act(Action{Kind: ActCancel, Request: r.id, Attempt: a.no})
			}
		}
	}
	b.forget(r)
}

func (r *request) outstanding() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.out })
}

// forget drops a finished request once nothing is out for it.
func (b *Balancer) forget(r *request) {
	if r.closed && !r.outstanding() {
		delete(b.requests, r.id)
	}
}

// sample moves the slack: the aged share of requests answered well in time. What ended before that could be
// told, by an error or a client's leave, says nothing of crowding.
func (b *Balancer) sample(r *request, done bool) {
	early := b.now <= r.arrived+time.Duration(easy*float64(r.full-r.arrived))
	if good := done && early; !good && (r.ofKind() || (early && !r.busy)) {
		return
	}
	alpha := min(aged(b.now-b.slackAt), slackAlpha)
	if b.slack, b.slackAt = (1-alpha)*b.slack, b.now; done && early {
		b.slack += alpha
	}
	if (b.shedding && b.slack > slackHigh) || (!b.shedding && calm*b.slack < 1) {
		b.shedding = !b.shedding
		b.logf("shedding %t: slack %.2f", b.shedding, b.slack)
	}
}

// attempt gives the attempt that ev speaks of, or nil if there is none.
func (b *Balancer) attempt(ev *Event) *attempt {
	if r := b.requests[ev.Request]; r != nil && ev.Attempt >= 0 && ev.Attempt < len(r.attempts) {
		return r.attempts[ev.Attempt]
	}
	return nil
}

func (b *Balancer) outcome(ev *Event) {
	a := b.attempt(ev)
	if a == nil || !a.out {
		return
	}
	r := a.req
	a.out, r.busy, b.out = false, ev.Outcome == Busy, b.out-1
	a.srv.out = slices.DeleteFunc(a.srv.out, func(o *attempt) bool { return o == a })
	b.idle(a.srv)
	a.mayRun = ev.Outcome != Refused && ev.Outcome != Skipped &&
		(ev.Outcome != Busy || b.cfg.Contract.ShedAfterStart)
	b.learn(a, ev)
	if ev.Final && !r.closed {
		if !r.started {
			b.sample(r, ev.Outcome == Done)
		}
		b.close(r, ev.Outcome == Done)
	}
	if !r.closed {
		b.again(r, a)
	}
	b.forget(r)
	b.release()
}

// idle plans the closing of s's idle connections once they have cost as much as a new handshake, so that
// never more than twice the least is paid. All sidecars are taken to have this one's traffic.
func (b *Balancer) idle(s *server) {
	p := &b.cfg.Prices
	if len(s.out) > 0 || p.Connection <= 0 {
		return
	}
	all := max(b.rate*float64(max(b.cfg.Balancers, 1)), 1e-3)
	s.releaseAt = b.now + seconds(min(p.Handshake/p.Connection*connsPriced*float64(len(b.servers))/all, 1e6))
	b.at(s.releaseAt, TimerIdle, s.ID)
}

// again decides what follows an attempt that brought no answer.
func (b *Balancer) again(r *request, a *attempt) {
	if r.outstanding() || r.held {
		return
	}
	// What may have run is sent once more at most: it may double the work.
	ends := a.mayRun && (r.class.Effect == Unsafe || len(r.attempts) > 1 || r.ofKind())
	// Turned away as full wherever it could go: another send would only feed the jam. Where one kind of
	// request alone is turned away, other servers take it, and nothing has run.
	ends = ends || (r.busy && r.fault == byAll)
	if ends || len(r.attempts) >= b.cfg.Limits.Attempts || b.hopeless(r) {
		b.settle(r)
		return
	}
	if sent := b.send(r); !sent && r.mayHaveRun() {
		b.settle(r) // held, it would block those behind it, since it may go to a few servers only
	} else if !sent {
		b.hold(r)
	}
}

// learn takes in what an attempt tells of its server.
func (b *Balancer) learn(a *attempt, ev *Event) {
	s := a.srv
	switch ev.Outcome {
	case Skipped: // tells nothing of the server
	case Done:
		if !a.req.started {
			b.answered(a, ev.Latency)
		}
	case Canceled, TimedOut:
		if a.gaveUp || (ev.Outcome == TimedOut && b.now >= a.req.full-b.cfg.Tick) {
			b.failed(a, ev.Outcome)
		} else if v := a.req.cost / max(ev.Latency.Seconds(), 1e-3); v < s.speed {
			b.observe(s, v) // it had not answered by then: slower than this at best
		}
	default:
		b.failed(a, ev.Outcome)
	}
}

// observe moves the speed estimate, as in the paper; a first sample seeds it. After a long gap a single slow
// answer would sink a good server, so α is bounded on the way down.
func (b *Balancer) observe(s *server, v float64) {
	alpha := aged(b.now - s.sampled)
	if v < s.speed {
		alpha = min(alpha, maxAlpha)
	}
	if !s.seeded {
		s.seeded, alpha = true, 1
	}
	s.speed, s.sampled = s.speed+alpha*(v-s.speed), b.now
}

func (b *Balancer) answered(a *attempt, latency time.Duration) {
	s, r, sec := a.srv, a.req, max(latency.Seconds(), 1e-3)
	b.blame(a, failed, false)
	own := b.blame(a, late, b.now > r.full)
	b.observe(s, r.cost/sec)
	s.fails, s.alive = 0, b.now
	s.failing -= meanStep * s.failing
	// Answers to what was sent before an ejection do not end it.
	if s.backoff > ejectFirst && a.sent >= s.ejected && b.now <= r.full {
		b.logf("server %d recovered", s.ID)
		s.backoff = ejectFirst
	}
	c := r.class
	if c.mean == 0 {
		c.mean, c.dev, c.quick = sec, sec/2, sec
	}
	if b.now <= r.full {
		c.dev += meanStep * (math.Abs(sec-c.mean) - c.dev)
		c.mean += meanStep * (sec - c.mean)
	}
	c.quick += quickStep * (min(sec, c.quick) - c.quick + max(sec-c.quick, 0)/10)
	room := max((r.full-r.arrived).Seconds()-c.quick, 0)
	s.slow -= lateStep * s.slow
	if sec > c.quick+shrinkAbove*room {
		if own && (!a.crowded || b.now > r.full) { // else its limit answers
			s.lates++
		}
		b.tighten(a)
	} else if s.lates = 0; a.crowded && sec <= c.quick+growBelow*room {
		s.limit += max(1/s.limit, grow)
	}
	if b.now > r.aim {
		b.leave(s)
	}
}

// tighten lowers the limit of a slow server, once for the attempts then out, by half the share of slow
// answers (as DCTCP does): spread in the work cuts little, a queue deep.
func (b *Balancer) tighten(a *attempt) {
	s := a.srv
	if s.slow += lateStep; a.sent >= s.shrunk && !a.req.ofKind() {
		s.limit, s.shrunk = max(1, s.limit*(1-s.slow*cut)), b.now
	}
}

// leave moves the walk on from a server that did not answer in time.
func (b *Balancer) leave(s *server) {
	if i := slices.Index(b.walk, s); i >= b.walkPos {
		b.walkPos = i + 1
	}
}

// failed counts a failure as speed zero and ejects on a row of them or on a high share of errors (a fast
// failure would otherwise look like an idle server).
func (b *Balancer) failed(a *attempt, o Outcome) {
	s, what := a.srv, failed
	if o == TimedOut || o == Canceled {
		what = late
	}
	own := b.blame(a, what, true)
	s.failing += meanStep * (1 - s.failing)
	// Late though others were answered meanwhile: a queue, which the limit is for.
	if own && (what == failed || s.alive <= a.sent) {
		s.fails++
	}
	if !a.req.ofKind() {
		b.observe(s, 0)
		b.leave(s)
	}
	b.tighten(a)
	if what == failed {
		s.alive = b.now
	} else if own {
		s.lates++
	}
	// Called gone and silent: the list was right, so the longest rest follows at once.
	row := b.run()
	if s.State == Gone && o != Errored && o != Busy {
		s.fails, s.backoff = row, ejectMost
	}
	if s.fails >= row || s.suspect[failed] > ejectShare {
		b.eject(s)
	}
}

// run is how many failures in a row tell that a server is at fault. Where attempts fail now and then at all,
// as when connections break on the way, a busy sidecar soon sees a few in a row anywhere: four of six servers
// were ejected for that, and the others overrun.
func (b *Balancer) run() int {
	shares := []float64{0} // the list may have gone meanwhile
	for _, s := range b.servers {
		shares = append(shares, s.failing)
	}
	slices.Sort(shares)
	usual := min(max(shares[len(shares)/2], 1e-3), 0.5) // of the middle one: a few at fault do not move it
	return max(ejectFails, int(math.Ceil(math.Log(ejectChance)/math.Log(usual))))
}

// eject rests a hung or failing server for a while that doubles, then tries it with one attempt at a time.
func (b *Balancer) eject(s *server) {
	if b.now < s.ejected {
		return
	}
	s.ejected, s.limit = b.now+time.Duration(s.backoff*float64(ageing)), 1
	b.logf("server %d ejected for %.1fs: %d failures, errors %.2f", s.ID,
		(s.ejected - b.now).Seconds(), s.fails, s.suspect[failed])
	s.backoff = min(2*s.backoff, ejectMost)
}

// at asks for a wake-up at t about the request or server id.
func (b *Balancer) at(t time.Duration, kind TimerKind, id uint64) {
	b.act(Action{Kind: ActWake, At: max(t, b.now), Timer: Timer{Kind: kind, ID: id}})
}

// isDue tells whether a wake-up for t has come. The host may round t down: woken a fraction early, a sidecar
// went without a subscription and sent to servers that were gone.
func (b *Balancer) isDue(t time.Duration) bool { return b.now+b.cfg.Tick >= t }

func (b *Balancer) wake(t Timer) {
	switch s, r := b.byID[t.ID], b.requests[t.ID]; {
	case t.Kind == TimerAsk:
		if b.askAt > 0 && b.isDue(b.askAt) {
			b.ask()
		}
	case t.Kind == TimerIdle:
		if s != nil && len(s.out) == 0 && b.isDue(s.releaseAt) {
			b.act(Action{Kind: ActRelease, Server: s.ID})
		}
	case r != nil && !r.closed && !r.started && (r.held || t.Kind != TimerHeld):
		b.settle(r)
		b.release()
	}
}
