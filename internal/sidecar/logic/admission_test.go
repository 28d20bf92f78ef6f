package logic

import (
	"math"
	"strings"
	"testing"
	"time"
)

// While all requests are admitted, an overload sustains itself: all answers are late and have no value.
func TestLateAnswersReduceAdmission(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(3)...)
	admitted := 0
	for id := range uint64(300) {
		r.request(id)
		_, sent := r.find(ActSend)
		r.now += 20 * ms
		if !sent {
			continue
		}
		if id >= 200 {
			admitted++
		}
		r.now += 500 * ms
		r.outcome(id, 0, 500*ms, Done) // after the target
		r.now += 20 * ms
	}
	if admitted == 0 || admitted > 40 {
		t.Errorf("%d of 100 requests admitted while all answers are late, want 1 to 40", admitted)
	}
}

// Queues at servers build up while answers still arrive within the target. Shedding that waits for late
// answers begins too late, so answers that take about half of the target already count against the slack.
func TestAnswersInTheLastPartOfTheTargetReduceAdmission(t *testing.T) {
	for took, least := range map[time.Duration]int{300 * ms: 150, 180 * ms: 75} { // the target is 400 ms
		r := newHarness(t, settings(Safe), fleet(3)...)
		rejected := 0
		for id := range uint64(300) {
			r.request(id)
			if _, sent := r.find(ActSend); !sent {
				rejected++
				continue
			}
			r.now += took
			r.outcome(id, 0, took, Done)
		}
		if rejected < least {
			t.Errorf("%d of 300 requests rejected, too few for answers after %s of a target of 400ms",
				rejected, took)
		}
	}
}

// A client that stops waiting before its answer must not make the server count as late or lower the slack:
// otherwise sidecars shed requests that are answered in time.
func TestImpatientClientsDoNotChangeEstimates(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(2)...)
	for id := range uint64(100) {
		r.serve(id, func(uint64) time.Duration { return 100 * ms })
	}
	slack := r.b.slack.Fraction
	for id := uint64(1000); id < 1100; id++ {
		r.step(Event{Kind: EvRequest, Request: id, Class: "c", Expires: r.now + 120*ms})
		if _, sent := r.find(ActSend); !sent {
			t.Fatalf("request %d was not sent though there is time for an answer", id)
		}
		r.now += 115 * ms
		r.step(Event{Kind: EvWake, Timer: Timer{Kind: TimerExpire, ID: id}})
		r.outcome(id, 0, 115*ms, Canceled)
	}
	if r.b.slack.Fraction < slack-0.01 || r.b.servers[0].consecutiveLate > 0 {
		t.Errorf("canceled attempts changed the slack from %.2f to %.2f; consecutive late outcomes: %d, want 0",
			slack, r.b.slack.Fraction, r.b.servers[0].consecutiveLate)
	}
	r.step(Event{Kind: EvRequest, Request: 2000, Class: "c", Expires: r.now + 20*ms})
	if _, rejected := r.find(ActReject); !rejected {
		t.Errorf("a request that expires before any answer can arrive was not rejected: %+v", r.actions)
	}
	r.step(Event{Kind: EvRequest, Request: 2001, Class: "c", Expires: r.now - 100*ms}) // expired on arrival
	if _, rejected := r.find(ActReject); !rejected {
		t.Errorf("a request that had expired on arrival was not rejected: %+v", r.actions)
	}
}

// The log tells operators once when a sidecar starts load shedding and once when it stops.
func TestSheddingIsLoggedWhenItBeginsAndEnds(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(1)...)
	var lines []string
	for id := range uint64(400) {
		latency := 20 * ms
		if id < 200 {
			latency = 390 * ms
		}
		r.request(id)
		_, sent := r.find(ActSend)
		r.now += latency
		if sent {
			r.outcome(id, 0, latency, Done)
		}
		if a, ok := r.find(ActLog); ok && strings.HasPrefix(a.Text, "shedding") {
			lines = append(lines, a.Text)
		}
	}
	if len(lines) != 2 || !strings.HasPrefix(lines[0], "shedding true") || !strings.HasPrefix(lines[1], "shedding false") {
		t.Errorf("log lines %q, want one of shedding true and one of shedding false", lines)
	}
}

// During an overload, work is shed in inverse proportion to its value. With equal shedding, valuable classes
// lost as much as the cheap one, although the servers had the capacity for most of the valuable work.
func TestWorkOfLowValueIsShedFirst(t *testing.T) {
	cfg := settings(Safe)
	cfg.ValuePerWork = true
	cfg.Classes = []Class{{Name: "cheap", Value: 1}, {Name: "valuable", Value: 10}, {Name: "valuable too", Value: 10}}
	r := newHarness(t, cfg, fleet(3)...)
	for _, c := range r.b.classOrder {
		c.recordDemand(r.now, 1)
	}
	var got [][2]float64
	for _, slack := range []float64{1 / admitSlackFactor, 0.9 / admitSlackFactor, 0.5 / admitSlackFactor, 0} {
		r.b.slack.Fraction = slack
		got = append(got, [2]float64{r.b.admitProbability(r.b.classOrder[0], ""), r.b.admitProbability(r.b.classOrder[1], "")})
	}
	// The admitted fraction of all work is the square of admitSlackFactor times the slack: for the last three
	// slacks, 2.43, 0.75 and 0 of three equal parts.
	want := [][2]float64{{1, 1}, {0.525, 0.9525}, {minAdmitProbability, 0.375}, {minAdmitProbability, minAdmitProbability}}
	for i := range want {
		for j := range want[i] {
			if math.Abs(got[i][j]-want[i][j]) > 1e-4 {
				t.Fatalf("admission probabilities %v, want %v", got, want)
			}
		}
	}
}

// A tenant that sends twice its allowance is shed more than a tenant within its allowance, and the total
// shed is the same as without tenants. Without tenants both are admitted with probability 0.64, although
// requests beyond a share have a twentieth of the value.
func TestTenantsBeyondTheirQuotaShareAreShedFirst(t *testing.T) {
	cfg := settings(Safe)
	cfg.Balancers, cfg.OverShareValue = 1, 0.05
	cfg.Tenants = []Tenant{{Name: "over", Share: 0.5, Allowance: 50}, {Name: "within", Share: 0.5, Allowance: 200}}
	r := newHarness(t, cfg, fleet(3)...)
	r.b.requestRate, r.b.rateUpdated = 200, r.now
	for at := r.now - 20*time.Second; at < r.now; at += 10 * ms { // 100 requests per second from each
		r.b.accounts.Count(at, "over")
		r.b.accounts.Count(at, "within")
	}
	r.b.classOrder[0].recordDemand(r.now, 1)
	r.b.slack.Fraction = 0.8 / admitSlackFactor // 0.36 of the work is shed
	over, within := r.b.admitProbability(r.b.classOrder[0], "over"), r.b.admitProbability(r.b.classOrder[0], "within")
	// Half of the requests of "over" have a twentieth of the value, so one of its requests has 0.525 of the
	// value of one of "within" on average. Shedding in inverse proportion to value, at a level of 0.248,
	// admits 0.528 and 0.752 of them and sheds 0.36 in total.
	if math.Abs(over-0.528) > 0.01 || math.Abs(within-0.752) > 0.01 || math.Abs((2-over-within)/2-0.36) > 1e-3 {
		t.Fatalf("admitted %.3f of the tenant beyond its share and %.3f of the one within, want 0.528 and 0.752",
			over, within)
	}
}

func TestRejectionSaysWhenARetryHasAProspect(t *testing.T) {
	cfg := settings(Safe)
	cfg.Limits.RetryAfter, cfg.Limits.MaxRetryAfter = true, time.Second
	r := newHarness(t, cfg, fleet(2)...)
	r.serveAndCount(10, 20)
	// The slack is a tenth below 1/admitSlackFactor, which admits all: the wait is a tenth of the aging
	// time, 0.3 s.
	r.b.slack.Fraction = 0.6
	for id := uint64(100); !r.has(ActReject); id++ {
		r.request(id)
	}
	if a, _ := r.find(ActReject); a.After < 250*ms || a.After > 350*ms {
		t.Errorf("with little load shed, a rejection says to retry after %v, want about 300ms", a.After)
	}
	r.b.slack.Fraction = 1
	r.request(1000)
	r.now += 396 * ms
	r.step(Event{Kind: EvWake, Timer: Timer{Kind: TimerTarget, ID: 1000}})
	if a, _ := r.find(ActReject); a.After != time.Second {
		t.Errorf("the rejection of a request at its target says to retry after %v, want the maximum, 1s",
			a.After)
	}
}

func TestRetryAfterTheTargetOfTheFirstRequestIsRejectedAtOnce(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(2)...)
	r.serveAndCount(10, 20)
	r.request(1)
	r.now += 396 * ms
	r.step(Event{Kind: EvWake, Timer: Timer{Kind: TimerTarget, ID: 1}})
	r.now += 50 * ms
	if r.requestAs(2, "c", "", true); !r.has(ActReject) {
		t.Errorf("a retry after the target of its first request was not rejected: %+v", r.actions)
	}
	if r.requestAs(3, "c", "", false); !r.has(ActSend) {
		t.Errorf("a request that is no retry was not sent: %+v", r.actions)
	}
}

func TestClassThatIsLateEverywhereIsRejectedAndProbed(t *testing.T) {
	cfg := settings(Safe)
	cfg.Classes = append(cfg.Classes, Class{Name: "slow", LatencyTarget: 400 * ms, Deadline: time.Second})
	r := newHarness(t, cfg, fleet(3)...)
	r.serveAndCount(1, 60)
	rejected, sent := 0, 0
	for id := uint64(100); id < 500; id += 2 {
		r.requestAs(id, "slow", "", false)
		if r.has(ActSend) {
			sent++
		} else {
			rejected++
		}
		r.request(id + 1)
		if !r.has(ActSend) {
			t.Fatalf("request %d of the other class was not sent", id+1)
		}
		r.now += 30 * ms
		r.outcome(id+1, 0, 30*ms, Done)
		r.now += 390 * ms
		r.outcome(id, 0, 420*ms, Done)
	}
	// 200 such requests arrive in 84 s. Once the class is known to be late, about one per aging time is sent.
	if sent > 60 || sent < 20 {
		t.Errorf("%d requests of the late class were sent and %d rejected, want 20 to 60 sent", sent, rejected)
	}
}

// Many sidecars whose limits are each at least one attempt per server can overload all servers together. In
// a large fleet, attempts in flight are therefore bounded by the requested work. Shortly after the start
// little of it is known, and without hints a request counts as one second of work. In a small fleet only
// limits apply.
func TestAttemptsInFlightAreBoundedByTheRequestedWork(t *testing.T) {
	for _, c := range []struct {
		sidecars, silent, answered int // sidecars, and requests without and with an answer, 20 per second
		hint                       time.Duration
		leastOut, mostOut          int
	}{
		{80, 60, 200, 100 * ms, 4, 9}, {80, 8, 0, 100 * ms, 7, 8}, {80, 60, 200, 0, 20, 60}, {6, 60, 200, 100 * ms, 20, 60},
	} {
		r := newHarness(t, settings(Safe), fleet(20)...)
		r.b.cfg.Balancers = c.sidecars
		for id := range uint64(c.answered + c.silent) {
			r.now += 50 * ms
			r.step(Event{Kind: EvRequest, Request: id, Class: "c", ExpectedWork: c.hint, Expires: r.now + 800*ms})
			if _, sent := r.find(ActSend); sent && int(id) < c.answered {
				r.outcome(id, 0, 40*ms, Done)
			}
		}
		if r.b.inFlight < c.leastOut || r.b.inFlight > c.mostOut {
			t.Errorf("%+v: %d attempts in flight", c, r.b.inFlight)
		}
	}
}
