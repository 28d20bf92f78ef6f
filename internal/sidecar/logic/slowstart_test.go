package logic

import (
	"testing"
	"time"
)

func TestServerInSlowStartGetsItsShareOnly(t *testing.T) {
	list := fleet(4)
	r := newHarness(t, settings(Safe), list...)
	list[0].Since = r.now
	r.step(Event{Kind: EvServerList, Servers: list[:1]})
	sends := 0
	for id := range uint64(400) {
		r.request(id)
		if r.sent() == 1 {
			sends++
		}
		r.outcome(id, 0, ms, Done) // the time stands still, so the server keeps its initial capacity
	}
	if most := 400*slowStartFactor*0.2/3.2 + slowStartMaxCredit; float64(sends) > most {
		t.Errorf("a server in slow start got %d of 400 sends, want at most %v", sends, most)
	}
	if sends == 0 {
		t.Error("a server in slow start got no request")
	}
}

// In a large fleet, a request that is rejected at once grants no slow start credit: under overload a server
// in slow start would otherwise get more requests than it can serve.
func TestRejectedRequestsGrantNoSlowStartCredit(t *testing.T) {
	list := fleet(4)
	cfg := settings(Safe)
	cfg.Balancers = boundMinBalancers
	r := newHarness(t, cfg, list...)
	list[0].Since = r.now
	r.step(Event{Kind: EvServerList, Servers: list[:1]})
	starting := r.b.byID[list[0].ID]
	before := starting.slowStartCredit
	for id := range uint64(50) {
		r.step(Event{Kind: EvRequest, Request: id, Class: "c", Expires: r.now}) // expires on arrival
		if _, rejected := r.find(ActReject); !rejected {
			t.Fatal("an expired request was not rejected")
		}
	}
	afterRejected := starting.slowStartCredit
	r.request(100)
	if afterAdmitted := starting.slowStartCredit; afterRejected != before || afterAdmitted == before {
		t.Errorf("credit %.2f, after 50 rejected requests %.2f, after one admitted request %.2f",
			before, afterRejected, afterAdmitted)
	}
}

// Servers in slow start get about their part of the subset's capacity, even with most or all of a fleet in
// slow start. If credit were granted per send, it would shrink with each send in a fleet that is all in slow
// start, and three of four requests would be rejected.
func TestServersInSlowStartGetTheirPart(t *testing.T) {
	for starting, part := range map[int]float64{10: 5 / 6.5 * 400, 6: 3. / 7 * 400} {
		list := fleet(10)
		for i := range starting {
			list[i].Since = time.Minute // the time stands still, so all keep their initial capacity
		}
		r := newHarness(t, settings(Safe), list...)
		r.b.cfg.Contract.SlowStartMinCapacity = 0.5
		got := 0
		for id := range uint64(400) {
			for todo := r.request(id); len(todo) > 0; todo = todo[1:] { // an outcome may send queued requests
				if a := todo[0]; a.Kind == ActSend {
					got += min(1, max(0, starting+1-int(a.Server)))
					todo = append(todo, r.outcome(a.Request, 0, ms, Done)...)
				}
			}
		}
		if float64(got) < 0.9*part || float64(got) > 1.3*part+float64(starting)*slowStartMaxCredit {
			t.Errorf("%d servers in slow start of 10 got %d of 400 sends, their part is %.0f",
				starting, got, part)
		}
	}
}
