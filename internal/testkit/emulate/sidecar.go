package emulate

import (
	"math"
	"math/rand/v2"
	"time"

	"fieldrelay/internal/sidecar/logic"
)

// sidecar is a policy with its own list, connections and submitters.
type sidecar struct {
	w        *simulation
	no       int
	policy   Policy
	acts     []logic.Action
	net      *rand.Rand
	load     *rand.Rand
	work     *rand.Rand
	again    *rand.Rand
	notified map[uint64]time.Duration // nodes that were said to drain or to be gone, and when
	idle     map[uint64]int           // connections
	watch    bool
	timers   []logic.Timer
	free     []uint64 // places in timers
}

// nextArrival draws the next request of a sidecar by thinning (Lewis and Shedler 1979): from a Poisson process at the
// peak rate as many are left out as the rate at their time is lower.
func (c *sidecar) nextArrival() {
	s := c.w.s
	per := float64(s.Sidecars)
	peak := s.peak() / per
	t := c.w.now
	for {
		t += seconds(c.load.ExpFloat64() / peak)
		if t >= epoch+seconds(s.Length) {
			return
		}
		if c.load.Float64()*peak*per <= s.rate(t-epoch) {
			c.w.at(t, c, argArrival)
			return
		}
	}
}

func (c *sidecar) fire(arg uint64) {
	switch arg & (1<<kindBits - 1) {
	case argArrival:
		c.nextArrival()
		c.arrive()
	case argWake:
		place := arg >> kindBits
		t := c.timers[place]
		c.free = append(c.free, place)
		c.step(&logic.Event{Kind: logic.EvWake, Timer: t})
	}
}

// arrive draws a request and submits it.
func (c *sidecar) arrive() {
	w := c.w
	u, class := c.work.Float64(), 0
	for class < len(w.shares)-1 && u >= w.shares[class] {
		class++
	}
	k := &w.s.Classes[class]
	work := k.Work / 1e3
	switch k.Dist {
	case "exp":
		work *= c.work.ExpFloat64()
	case "lognormal": // of the mean and coefficient of variation that are stated
		sigma2 := math.Log(1 + k.CV*k.CV)
		work *= math.Exp(math.Sqrt(sigma2)*c.work.NormFloat64() - sigma2/2)
	}
	w.result.Classes[class].Requests++
	c.submit(&job{by: c, class: class, work: work, first: w.now})
}

func (c *sidecar) submit(j *job) {
	w := c.w
	k := &w.s.Classes[j.class]
	w.lastJob++
	j.id = w.lastJob
	j.expires = w.now + seconds(k.Deadline/1e3)
	w.jobs[j.id] = j
	w.result.Attempts++
	c.step(&logic.Event{Kind: logic.EvRequest, Request: j.id, Class: k.Name, Retry: j.attempt > 0, ExpectedWork: seconds(j.work), Expires: j.expires})
	grace := j.expires + w.cfg.Contract.AnswerGrace
	w.at(grace, task(func() {
		if !j.ended { // a broken rule: nobody has answered in time
			w.result.Broken.Dropped++
			c.end(j, unanswered, 0)
			c.step(&logic.Event{Kind: logic.EvClientGone, Request: j.id})
		}
	}), 0)
}

func (c *sidecar) step(ev *logic.Event) {
	c.acts = c.policy.Step(c.w.now, ev, c.acts[:0])
	for i := range c.acts {
		c.act(&c.acts[i]) // schedules what follows, and takes no step itself
	}
}

func (c *sidecar) act(a *logic.Action) {
	w := c.w
	switch a.Kind {
	case logic.ActSend:
		if j := w.jobs[a.Request]; j != nil {
			c.send(j, a)
		}
	case logic.ActCancel:
		if j := w.jobs[a.Request]; j != nil && a.Attempt < len(j.attempts) {
			out := j.attempts[a.Attempt]
			w.at(w.now, task(func() { c.giveUp(out, logic.Canceled) }), 0)
		}
	case logic.ActReject:
		if j := w.jobs[a.Request]; j != nil && !j.ended {
			if j.mayRun > 0 && w.cfg.Classes[j.class].Effect == logic.Unsafe {
				w.result.Broken.Refusals++
			}
			c.end(j, refused, a.After)
		}
	case logic.ActFail:
		if j := w.jobs[a.Request]; j != nil && !j.ended {
			c.end(j, failed, 0)
		}
	case logic.ActWake:
		place := uint64(len(c.timers))
		if n := len(c.free); n > 0 {
			place, c.free = c.free[n-1], c.free[:n-1]
			c.timers[place] = a.Timer
		} else {
			c.timers = append(c.timers, a.Timer)
		}
		w.at(a.At, c, place<<kindBits|argWake)
	case logic.ActWatch:
		c.watch = true
		w.at(w.now+w.listDelay(), task(func() { c.members(true, false) }), 0)
	case logic.ActCloseIdle:
		if n := w.nodes[a.Server]; n != nil {
			n.conns -= c.idle[a.Server]
		}
		delete(c.idle, a.Server)
	}
}

// send puts an attempt on its way.
func (c *sidecar) send(j *job, act *logic.Action) {
	w := c.w
	n := w.nodes[act.Server]
	w.attempts++
	a := &attempt{job: j, no: len(j.attempts), node: n, seq: w.attempts, work: j.work, sent: w.now}
	j.attempts = append(j.attempts, a)
	j.out++
	j.mayRun++
	w.result.Sends++
	if j.ended {
		w.result.Broken.Late++
	}
	if j.out > 1 || j.mayRun > 1 && w.cfg.Classes[j.class].Effect == logic.Unsafe {
		w.result.Broken.Doubled++
	}
	if at, ok := c.notified[act.Server]; ok && w.now-at > drainGrace {
		w.result.Broken.Drained++
	}
	if act.After > 0 && w.now+act.After < j.expires {
		w.at(w.now+act.After, task(func() { c.giveUp(a, logic.TimedOut) }), 0)
	} else {
		w.at(j.expires, task(func() { c.giveUp(a, logic.TimedOut) }), 0)
	}
	way := w.delay(c.net)
	if n != nil && n.up {
		a.conn = true
		if c.idle[n.id] > 0 {
			c.idle[n.id]--
		} else {
			if n.kind.Conns > 0 && n.conns >= n.kind.Conns {
				a.conn = false
				w.at(w.now+2*way, task(func() { c.outcome(a, logic.Refused) }), 0)
				return
			}
			n.conns++
			w.result.Handshakes++
			way += 2*way + seconds(n.kind.Handshake/1e3)
		}
	}
	w.at(w.now+way, task(func() {
		switch {
		case a.over: // given up on its way
		case n != nil && n.unreachable(c.no): // nothing comes back
		case n == nil:
			w.answer(a, logic.Refused)
		default:
			n.arrive(a)
		}
	}), 0)
}

// giveUp ends an attempt that is not waited for.
func (c *sidecar) giveUp(a *attempt, o logic.Outcome) {
	if a.over {
		return
	}
	if n := a.at; n != nil {
		n.abandon(a)
	}
	if a.conn {
		a.node.conns-- // its connection is closed
	}
	c.conclude(a, o)
}

// outcome takes in what came back for an attempt.
func (c *sidecar) outcome(a *attempt, o logic.Outcome) {
	if a.over {
		return
	}
	if a.conn && a.node.up && o != logic.Refused && o != logic.Reset {
		c.idle[a.node.id]++
	}
	c.conclude(a, o)
}

func (c *sidecar) conclude(a *attempt, o logic.Outcome) {
	w, j := c.w, a.job
	a.over = true
	j.out--
	if o == logic.Refused || o == logic.Busy || o == logic.Skipped {
		j.mayRun--
	}
	if o == logic.Done && !j.ended {
		c.end(j, served, 0)
	}
	if w.circle != nil && a.node != nil {
		w.circle.outcome(c.no, a.node, o, w.now-a.sent)
	}
	c.step(&logic.Event{Kind: logic.EvOutcome, Request: j.id, Attempt: a.no, Latency: w.now - a.sent, Outcome: o, Final: j.ended})
	c.forget(j)
}

func (c *sidecar) forget(j *job) {
	if j.ended && j.out == 0 {
		delete(c.w.jobs, j.id)
	}
}

// end gives a job its final answer. What was not served may come again.
func (c *sidecar) end(j *job, v ending, after time.Duration) {
	w := c.w
	j.ended = true
	defer c.forget(j)
	k := &w.s.Classes[j.class]
	r := &w.result.Classes[j.class]
	if v == served {
		took := w.now - j.first
		w.lat[j.class].add(took)
		r.Served++
		if k.LatencyTarget == 0 || took <= seconds(k.LatencyTarget/1e3) {
			r.InTime++
		}
		return
	}
	safe := v == refused || k.Effect == "free" || k.Effect == "guarded" && w.now-j.first < seconds(k.Window/1e3)
	if j.attempt < w.s.Clients.Retries && safe {
		wait := seconds(w.s.Clients.Backoff / 1e3 * math.Pow(2, float64(j.attempt)) * (0.5 + c.again.Float64()))
		if after > wait && c.again.Float64() < w.s.Clients.Honour {
			wait = after
		}
		next := &job{by: c, class: j.class, work: j.work, first: j.first, attempt: j.attempt + 1}
		w.coming++
		w.at(w.now+wait, task(func() {
			w.coming--
			c.submit(next)
		}), 0)
		return
	}
	switch v {
	case refused:
		r.Refused++
	case failed:
		r.Failed++
	case unanswered:
		r.Unanswered++
	}
}

// members tells a sidecar the list as it stands.
func (c *sidecar) members(complete, stored bool) {
	ev := logic.Event{Kind: logic.EvServerList, Complete: complete, Stored: stored}
	for _, n := range c.w.order {
		if n.state != logic.Gone {
			ev.Servers = append(ev.Servers, n.entry())
		}
		c.hear(n)
	}
	c.step(&ev)
}

// hear notes that a node was called unfit for new requests.
func (c *sidecar) hear(n *node) {
	if n.state == logic.Ready {
		delete(c.notified, n.id)
	} else if _, ok := c.notified[n.id]; !ok {
		c.notified[n.id] = c.w.now
	}
}
