package budget

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const mb = 1 << 20

// testLedger makes named reservations at a ledger and records the order of the grants.
type testLedger struct {
	l            *Ledger
	now          time.Duration
	reservations map[string]*Reservation
	granted      []string
}

// newTestLedger returns a testLedger of a megabyte.
func newTestLedger(maxQueue int) *testLedger {
	return &testLedger{l: NewLedger(mb, maxQueue), reservations: map[string]*Reservation{}}
}

func (d *testLedger) reserve(name string, a Reservation) Decision {
	if a.Until == 0 {
		a.Until = time.Hour
	}
	d.reservations[name] = &a
	return d.l.Reserve(d.now, &a, func() {
		if !a.Dropped() {
			d.granted = append(d.granted, name)
		}
	})
}

func (d *testLedger) release(name string) {
	a := d.reservations[name]
	d.l.Release(d.now, a.Kind, a.Bytes, a.isLarge())
}

// fill reserves all bytes that large reservations may use, in parts of 60 KiB.
func (d *testLedger) fill() {
	for i := 0; d.reserve(fmt.Sprint("large", i), Reservation{Kind: Requests, Bytes: 60 << 10, Value: 1, Until: -1}) == Granted; i++ {
	}
}

func request(bytes int64, value float64) Reservation {
	return Reservation{Kind: Requests, Bytes: bytes, Value: value}
}

// While large reservations use all their bytes, queued requests are granted by value per byte, extensions and answers
// before all others.
func TestQueuedRequestsAreGrantedByValuePerByte(t *testing.T) {
	for _, c := range []struct {
		name         string
		reservations []Reservation
		first        string // reservation granted first once a large one is released
	}{
		{"of equal value, the first to arrive", []Reservation{request(64<<10, 1), request(64<<10, 1)}, "w0"},
		{"of equal size, the one of more value", []Reservation{request(64<<10, 1), request(64<<10, 2)}, "w1"},
		{"of equal value, the smaller", []Reservation{request(64<<10, 1), request(16<<10, 1)}, "w1"},
		{"an extension, before all", []Reservation{request(16<<10, 9), {Kind: Requests, Bytes: 64 << 10, Value: 1, Extends: true}}, "w1"},
		{"an answer before any request", []Reservation{request(16<<10, 9), {Kind: Answers, Bytes: 400 << 10}}, "w1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newTestLedger(9)
			d.fill()
			if c.reservations[1].Kind == Answers { // leave less than the answer needs
				d.l.ForceReserve(Conns, 300<<10)
			}
			for i, a := range c.reservations {
				if got := d.reserve(fmt.Sprint("w", i), a); got != Queued {
					t.Fatalf("reservation %d: decision %v, want Queued", i, got)
				}
			}
			d.release("large0")
			if c.reservations[1].Kind == Answers {
				d.release("large1")
			}
			if len(d.granted) == 0 || d.granted[0] != c.first {
				t.Errorf("granted %v, want %s first", d.granted, c.first)
			}
		})
	}
}

func TestSmallReservationsPassQueuedLargeOnes(t *testing.T) {
	d := newTestLedger(9)
	d.fill()
	small := 0
	for d.reserve("small", request(4<<10, 0.1)) == Granted {
		small++
	}
	if small < 50 {
		t.Errorf("%d small reservations were granted beside queued large ones, want at least 50", small)
	}
	if got := d.reserve("answer", Reservation{Kind: Answers, Bytes: 64 << 10}); got != Granted {
		t.Errorf("decision %v on an answer while no request is admitted, want Granted", got)
	}
	if d.l.FitsConn(4 << 10) {
		t.Error("a connection fits while no request is admitted")
	}
}

// A reservation is rejected if its wait has ended, if it is larger than can ever be granted, or if the queue is full of
// requests of more value per byte.
func TestRejections(t *testing.T) {
	d := newTestLedger(2)
	got := []Decision{d.reserve("too large", request(mb, 1))}
	d.fill()
	got = append(got, d.reserve("late", Reservation{Kind: Requests, Bytes: 64 << 10, Value: 9, Until: -1}),
		d.reserve("second", request(64<<10, 3)), d.reserve("cheap", request(64<<10, 2)), d.reserve("dear", request(64<<10, 4)),
		d.reserve("cheapest", request(64<<10, 1)))
	want := []Decision{Rejected, Rejected, Queued, Queued, Queued, Rejected}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if !d.reservations["cheap"].Dropped() || d.l.Waiting() != 2 {
		t.Errorf("%d reservations are queued, want the 2 of most value", d.l.Waiting())
	}
	if !d.l.DropLarge() || !d.reservations["second"].Dropped() {
		t.Error("DropLarge did not drop the request of least value per byte")
	}
}

func TestRetryAfterFollowsTheRate(t *testing.T) {
	d := newTestLedger(9)
	if d.l.RetryAfter(0, 64<<10) != 0 {
		t.Error("a time to retry without a known release rate")
	}
	d.fill()
	for i := range 40 { // 600 KiB per second
		d.now = time.Duration(i) * 100 * time.Millisecond
		d.release("large0")
		d.reserve("large0", request(60<<10, 1))
	}
	if got := d.l.RetryAfter(d.now, 64<<10); got < 100*time.Millisecond || got > 500*time.Millisecond {
		t.Errorf("retry after %v, want 100ms to 500ms", got)
	}
	if a, b := d.l.RetryAfter(d.now, 64<<10), d.l.RetryAfter(d.now+3*time.Second, 64<<10); b <= a {
		t.Errorf("retry after %v, and after %v once releases have stopped, want longer", a, b)
	}
}

// Each level of pressure begins and ends once while the budget is filled and emptied.
func TestPressure(t *testing.T) {
	l := NewLedger(mb, 9)
	var seen []string
	note := func() {
		if n := len(seen); n == 0 || seen[n-1] != l.Pressure().String() {
			seen = append(seen, l.Pressure().String())
		}
	}
	const step = 8 << 10
	n := 0
	for ; l.sum() < l.capacity(); n++ {
		l.ForceReserve(Conns, step)
		note()
	}
	for ; n > 0; n-- {
		l.Release(0, Conns, step, false)
		note()
	}
	if diff := cmp.Diff("calm trim idle large dear large idle trim calm", strings.Join(seen, " ")); diff != "" {
		t.Error(diff)
	}
}

// For random sequences of calls: no grant exceeds the budget, no reservation at the head of a queue fits, granted is
// called at most once for a reservation, and in the end all bytes are returned.
func TestLedgerKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(int64(rapid.IntRange(1, 4).Draw(t, "MB"))*mb, rapid.IntRange(1, 8).Draw(t, "queue"))
		now := time.Duration(0)
		var held, waiting []*Reservation
		grantedCalls := map[*Reservation]int{}
		settle := func() {
			rest := waiting[:0]
			for _, a := range waiting {
				switch {
				case grantedCalls[a] > 1:
					t.Fatal("granted was called twice for a reservation")
				case grantedCalls[a] == 0:
					rest = append(rest, a)
				case !a.Dropped():
					held = append(held, a)
				}
			}
			waiting = rest
		}
		forced := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			switch what := rapid.IntRange(0, 5).Draw(t, "operation"); {
			case what <= 2:
				kinds := []Kind{Requests, Requests, Answers}
				a := &Reservation{Kind: kinds[what], Bytes: int64(rapid.IntRange(0, 80<<10).Draw(t, "bytes")),
					Value: rapid.Float64Range(0.1, 3).Draw(t, "value"), Until: now + time.Hour}
				switch l.Reserve(now, a, func() { grantedCalls[a]++ }) {
				case Granted:
					held = append(held, a)
					if l.sum() > l.total {
						t.Fatalf("%d bytes of %d are reserved after a grant", l.sum(), l.total)
					}
				case Queued:
					waiting = append(waiting, a)
				}
			case what == 3 && len(held) > 0:
				i := rapid.IntRange(0, len(held)-1).Draw(t, "released")
				a := held[i]
				held = append(held[:i], held[i+1:]...)
				l.Release(now, a.Kind, a.Bytes, a.isLarge())
			case what == 4 && len(waiting) > 0:
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "canceled")
				a := waiting[i]
				if !l.Cancel(now, a) && grantedCalls[a] == 0 {
					t.Fatal("a reservation was neither queued nor was granted called for it")
				}
				if grantedCalls[a] == 0 {
					waiting = append(waiting[:i], waiting[i+1:]...)
				}
			case what == 5:
				l.ForceReserve(Conns, 20<<10)
				forced++
			}
			settle()
			if len(l.answers) > 0 && l.fits(l.answers[0]) {
				t.Fatal("the first queued answer fits but was not granted")
			}
			if len(l.answers) == 0 && len(l.requests) > 0 && l.fits(l.requests[0]) {
				t.Fatal("the first queued request fits but was not granted")
			}
		}
		for range forced {
			l.Release(now, Conns, 20<<10, false)
		}
		for settle(); len(held) > 0; settle() {
			a := held[0]
			held = held[1:]
			l.Release(now, a.Kind, a.Bytes, a.isLarge())
		}
		if l.sum() != 0 || l.large != 0 || len(waiting) != 0 || l.Pressure() != NoPressure {
			t.Fatalf("in the end %d bytes are reserved, %d of large reservations, %d are queued, pressure %v",
				l.sum(), l.large, len(waiting), l.Pressure())
		}
	})
}
