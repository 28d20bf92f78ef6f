package sampling

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"fieldrelay/internal/sidecar/rules"
)

func testRules() *rules.SamplingRules {
	return &rules.SamplingRules{Salt: 5, Rate: rules.Rate(0.1), Classes: []rules.NamedRate{{Name: "order", Rate: rules.Rate(0.5)}, {Name: "quiet", Rate: 0}},
		Tenants: []rules.NamedRate{{Name: "novak", Rate: rules.RateUnit}}, MaxRecords: 100, MaxBytes: 10_000, MaxRecordsPerNode: 40}
}

// TestHopsAreCapturedAlike checks that sidecars with the same edition and throttle level capture all hops of a trace or none,
// and that a trace captured at one level is captured at a lower level too.
func TestHopsAreCapturedAlike(t *testing.T) {
	var paths [3]Sampler
	for i := range paths {
		paths[i].Set(7, testRules(), 2)
	}
	var lower Sampler
	lower.Set(7, testRules(), 1)
	n := 0
	for i := range 50_000 {
		id := strconv.Itoa(i)
		class := [...]string{"order", "look", "quiet"}[i%3]
		first := paths[0].Decide(id, class, "")
		for j := range paths {
			if d := paths[j].Decide(id, class, ""); d != first {
				t.Fatalf("%s: %+v at one sidecar, %+v at another", id, first, d)
			}
		}
		if first.Captured && !lower.Decide(id, class, "").Captured {
			t.Fatalf("%s: captured at throttle level 2, but not at 1", id)
		}
		if first.Captured {
			n++
		}
	}
	if n < 2100 || n > 2900 { // (0.125 + 0.025 + 0) / 3 of 50,000
		t.Errorf("%d captured, want 2,100 to 2,900", n)
	}
}

// TestEstimatesHaveNoBias checks over 1,000 seeds that the 95% confidence interval of an estimate from captured traces covers the
// true value in about 95% of the runs (at least 93%), and that the rates do not bias the estimate.
func TestEstimatesHaveNoBias(t *testing.T) {
	const seeds, traces = 1000, 4000
	covered, sum := 0, 0.0
	for seed := range seeds {
		s := testRules()
		s.Salt = uint64(seed)*2654435761 + 1
		var p Sampler
		p.Set(1, s, ThrottleLevel(seed%3))
		rng := rand.New(rand.NewPCG(uint64(seed), 1))
		total, estimate, variance := 0.0, 0.0, 0.0
		for i := range traces {
			class := [...]string{"order", "look", "order"}[i%3]
			took := rng.ExpFloat64()
			total += took
			if d := p.Decide(strconv.Itoa(seed*traces+i), class, ""); d.Captured {
				w := d.Weight()
				estimate += w * took
				variance += w * (w - 1) * took * took // Horvitz-Thompson variance estimator for independent draws
			}
		}
		if math.Abs(estimate-total) <= 1.96*math.Sqrt(variance) {
			covered++
		}
		sum += estimate / total
	}
	t.Logf("the interval covered the true value in %d of %d runs; mean ratio of estimate to true value %.3f", covered, seeds, sum/seeds)
	if mean := sum / seeds; mean < 0.98 || mean > 1.02 {
		t.Errorf("mean ratio of estimate to true value %.3f, want 0.98 to 1.02", mean)
	}
	if covered < seeds*93/100 {
		t.Errorf("the interval covered the true value in %d of %d runs, want at least 93%%", covered, seeds)
	}
}

// TestCapsHoldInEverySecond checks that, whatever the traffic, no window of one second exceeds the caps, and no node exceeds its
// own cap.
func TestCapsHoldInEverySecond(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 2))
		c := NewLimiter(testRules())
		type record struct {
			at    time.Duration
			node  string
			bytes uint32
		}
		var admitted []record
		now := time.Duration(0)
		for range 20_000 {
			gap := time.Duration(rng.ExpFloat64() * float64(20*time.Millisecond))
			if rng.IntN(500) == 0 { // a pause now and then, and a hundredfold rate in every other 3 s
				gap *= 50
			} else if now/(3*time.Second)%2 == 1 {
				gap /= 100
			}
			now += gap
			r := record{now, fmt.Sprintf("n%d", rng.IntN(3)), uint32(20 + rng.IntN(300))}
			if c.Allow(r.at, r.node, r.bytes) {
				admitted = append(admitted, r)
			}
		}
		first, bytes, nodes := 0, uint32(0), map[string]int{}
		for last, r := range admitted {
			bytes += r.bytes
			nodes[r.node]++
			for ; r.at-admitted[first].at >= time.Second; first++ {
				bytes -= admitted[first].bytes
				nodes[admitted[first].node]--
			}
			if last-first+1 > 100 || bytes > 10_000 || nodes[r.node] > 40 {
				t.Fatalf("seed %d: in the second up to %v %d records, %d bytes, %d of %s", seed, r.at, last-first+1, bytes, nodes[r.node], r.node)
			}
		}
		if len(admitted) < 1000 {
			t.Errorf("seed %d: only %d records admitted, want at least 1,000", seed, len(admitted))
		}
	}
}

// TestThrottleRecoversWithoutOscillation checks that the throttle level rises while records are rejected, stays steady under
// steady traffic, and returns to 0 once traffic falls.
func TestThrottleRecoversWithoutOscillation(t *testing.T) {
	c := NewLimiter(testRules())
	rng := rand.New(rand.NewPCG(3, 3))
	now, level, changes := time.Duration(0), ThrottleLevel(0), 0
	epoch := func(rate float64) {
		for end := now + time.Second; now < end; now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
			if rng.IntN(1<<level) == 0 {
				c.Allow(now, "", 50)
			}
		}
		next := c.NextLevel(level)
		if next != level {
			changes++
		}
		level = next
	}
	for range 20 {
		epoch(1500) // 15 times the cap
	}
	if level < 4 || level > 5 || changes > 6 {
		t.Errorf("throttle level %d after %d changes, want level 4 or 5 after at most 6", level, changes)
	}
	changes = 0
	for range 20 {
		epoch(1500)
	}
	if changes > 2 {
		t.Errorf("%d changes of the throttle level under steady traffic, want at most 2", changes)
	}
	for range 20 {
		epoch(20)
	}
	if level != 0 {
		t.Errorf("throttle level %d after traffic fell to a fifth of the cap, want 0", level)
	}
	c.dropped = 1
	if got := c.NextLevel(MaxThrottleLevel); got != MaxThrottleLevel {
		t.Errorf("throttle level %d, want MaxThrottleLevel", got)
	}
}

// TestDecisionsAreWhole changes the rules while several goroutines decide, and checks that each decision uses a single edition.
func TestDecisionsAreWhole(t *testing.T) {
	var p Sampler
	all, none := testRules(), testRules()
	all.Rate, all.Classes, all.Tenants = rules.RateUnit, nil, nil
	none.Rate, none.Classes, none.Tenants = 0, nil, nil
	p.Set(1, none, 0)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for range 4 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				if d := p.Decide(strconv.Itoa(i), "order", "novak"); d.Captured != (d.Edition%2 == 0) {
					t.Errorf("decision mixes two editions: %+v", d)
					return
				}
			}
		})
	}
	for e := range uint64(20_000) {
		s := none
		if e%2 == 0 {
			s = all
		}
		p.Set(e, s, 0)
	}
	close(stop)
	wg.Wait()
	if n := testing.AllocsPerRun(1000, func() { p.Decide("9b1f03aa5c7e2d41", "order", "") }); n != 0 {
		t.Errorf("%v allocations per decision, want 0", n)
	}
}

// mutexSampler makes the same decisions behind a mutex, as the baseline of BenchmarkDecide.
type mutexSampler struct {
	mu             sync.Mutex
	s              *snapshot
	seen, captured uint64
}

func (l *mutexSampler) decide(id, class, tenant string) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Decision{Edition: l.s.edition, Rate: l.s.rateOf(class, tenant)}
	d.Captured = rules.Captures(rules.TraceHash(l.s.salt, id), d.Rate)
	if l.seen++; d.Captured {
		l.captured++
	}
	return d
}

// BenchmarkDecide compares Sampler with mutexSampler. To run it:
//
//	go test -bench Decide -cpu 1,2,4,6 -benchmem ./internal/sidecar/sampling
func BenchmarkDecide(b *testing.B) {
	var p Sampler
	p.Set(1, testRules(), 0)
	l := &mutexSampler{s: p.current.Load()}
	var ids [1024]string
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", rand.Uint64())
	}
	for name, decide := range map[string]func(id, class, tenant string) Decision{"snapshot": p.Decide, "mutex": l.decide} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := rand.Uint32(); pb.Next(); i++ {
					decide(ids[i%1024], "order", "")
				}
			})
		})
	}
}
