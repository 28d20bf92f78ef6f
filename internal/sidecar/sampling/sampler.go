// Package sampling decides which traces are captured, alike at every sidecar.
// Path is what requests pass: many threads use it at once, apart from the
// relay's loop, through one atomic load of a snapshot that never changes.
// docs/design/sampling.md says why it is so.
package sampling

import (
	"sync/atomic"
	"time"

	"fieldrelay/internal/sidecar/rules"
)

// ThrottleLevel takes whole traces away for all members alike: at n, rates count for 1/2^n of themselves. It never goes over MostBrake.
type ThrottleLevel uint8

// MaxThrottleLevel is the floor of what can be taken away: a member that asks for more, by error or lie, takes no more.
const MaxThrottleLevel = 10

// Sampler decides for requests. The zero Sampler captures nothing. It is safe for use by any number of goroutines.
type Sampler struct {
	current atomic.Pointer[snapshot]
}

// snapshot is what a decision is made by. It is never changed, only replaced.
type snapshot struct {
	edition  uint64
	salt     uint64
	throttle ThrottleLevel
	rate     uint32
	classes  map[string]uint32
	tenants  map[string]uint32
}

// Decision is what is to be done about a trace.
type Decision struct {
	Captured bool
	Edition  uint64
	// Rate is the probability with which a trace like this is captured, in rules.PerWhole; 0: never.
	Rate uint32
}

// Weight is how many traces one that was captured stands for.
func (d Decision) Weight() float64 {
	if d.Rate == 0 {
		return 0
	}
	return rules.RateUnit / float64(d.Rate)
}

// Set puts rules and a brake in force for all decisions that begin from now on, as one. nil: nothing is captured.
func (p *Sampler) Set(edition uint64, s *rules.SamplingRules, throttle ThrottleLevel) {
	if s == nil {
		p.current.Store(nil)
		return
	}
	next := &snapshot{edition: edition, salt: s.Salt, throttle: min(throttle, MaxThrottleLevel), rate: s.Rate, classes: map[string]uint32{}, tenants: map[string]uint32{}}
	for _, n := range s.Classes {
		next.classes[n.Name] = n.Rate
	}
	for _, n := range s.Tenants {
		next.tenants[n.Name] = n.Rate
	}
	p.current.Store(next)
}

// Decide tells whether the trace of an id is captured: by one load, without a lock or an allocation.
func (p *Sampler) Decide(id, class, tenant string) Decision {
	s := p.current.Load()
	if s == nil {
		return Decision{}
	}
	d := Decision{Edition: s.edition, Rate: s.rateOf(class, tenant)}
	hash := rules.TraceHash(s.salt, id)
	d.Captured = rules.Captures(hash, d.Rate)
	return d
}

// rateOf is the rate rateOf a class and tenant under the brake. A rate that is not 0 does not become 0.
func (s *snapshot) rateOf(class, tenant string) uint32 {
	rate, ok := uint32(0), false
	if tenant != "" {
		rate, ok = s.tenants[tenant]
	}
	if !ok && class != "" {
		rate, ok = s.classes[class]
	}
	if !ok {
		rate = s.rate
	}
	if rate == 0 {
		return 0
	}
	return max(1, rate>>s.throttle)
}

// Limiter keep what is written of captured traces under what the rules say in any second, and tell what brake would have. It is
// a state machine without clock; it belongs to one goroutine.
type Limiter struct {
	records, bytes, perNode uint32
	all                     window
	nodes                   map[string]*window
	dropped                 uint64  // left out since the last look
	peakUse                 float64 // the most of a cap that was asked for since then, as a part of it
}

// maxNodes bounds the nodes that are counted apart; others share one count.
const maxNodes = 4096

// slotsPerWindow is how many parts of a second are counted apart: what has fallen out of the last second counts no more.
const slotsPerWindow = 20

// window counts what was let through in the last second.
type window struct {
	slot    int64
	records [slotsPerWindow]uint32
	bytes   [slotsPerWindow]uint32
}

// advance forgets what is older than a second. The slice that is now begun is counted whole with the nineteen before it and the
// one that is just over, so nothing that lies within one second of now is ever left out.
func (w *window) advance(now time.Duration) {
	slot := int64(now / (time.Second / (slotsPerWindow - 1)))
	if slot-w.slot >= slotsPerWindow {
		*w = window{slot: slot}
		return
	}
	for ; w.slot < slot; w.slot++ {
		next := (w.slot + 1) % slotsPerWindow
		w.records[next], w.bytes[next] = 0, 0
	}
}

func (w *window) sum() (records, bytes uint32) {
	for i := range slotsPerWindow {
		records, bytes = records+w.records[i], bytes+w.bytes[i]
	}
	return records, bytes
}

func (w *window) add(bytes uint32) {
	w.records[w.slot%slotsPerWindow]++
	w.bytes[w.slot%slotsPerWindow] += bytes
}

// NewLimiter makes caps of rules.
func NewLimiter(s *rules.SamplingRules) *Limiter {
	return &Limiter{records: s.MaxRecords, bytes: s.MaxBytes, perNode: s.MaxRecordsPerNode, nodes: map[string]*window{}}
}

// Allow tells whether a record of so many bytes that concerns a node may be written; "": it concerns none.
func (c *Limiter) Allow(now time.Duration, node string, bytes uint32) bool {
	c.all.advance(now)
	records, size := c.all.sum()
	use := max(float64(records+1)/float64(c.records), float64(size+bytes)/float64(c.bytes))
	ok := records < c.records && size+bytes <= c.bytes
	var at *window
	if node != "" {
		if at = c.nodes[node]; at == nil {
			if len(c.nodes) >= maxNodes {
				node = "" // one count for all that are too many
			}
			if at = c.nodes[node]; at == nil {
				at = &window{}
				c.nodes[node] = at
			}
		}
		at.advance(now)
		there, _ := at.sum()
		use = max(use, float64(there+1)/float64(c.perNode))
		ok = ok && there < c.perNode
	}
	c.peakUse = max(c.peakUse, use)
	if !ok {
		c.dropped++
		return false
	}
	c.all.add(bytes)
	if at != nil {
		at.add(bytes)
	}
	return true
}

// NextLevel is the brake that this member asks for after an epoch under one: a step more where something was left out, a step
// less where under a third of every cap was used, so that a step less cannot bring the step back.
func (c *Limiter) NextLevel(level ThrottleLevel) ThrottleLevel {
	dropped, peakUse := c.dropped, c.peakUse
	c.dropped, c.peakUse = 0, 0
	switch {
	case dropped > 0:
		return min(level+1, MaxThrottleLevel)
	case peakUse < 1.0/3 && level > 0:
		return level - 1
	}
	return level
}
