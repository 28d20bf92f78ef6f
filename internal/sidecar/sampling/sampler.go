// Package sampling decides which traces are captured, consistently at every sidecar.
// Sampler is used on the request path by many goroutines at once, outside the
// relay's event loop. A decision takes one atomic load of an immutable snapshot.
// docs/design/sampling.md explains the design.
package sampling

import (
	"sync/atomic"
	"time"

	"fieldrelay/internal/sidecar/rules"
)

// ThrottleLevel reduces sampling by whole traces, equally at all members: at level n, rates are divided by 2^n. It never
// exceeds MaxThrottleLevel.
type ThrottleLevel uint8

// MaxThrottleLevel bounds the throttling, so that a faulty or malicious member that asks for more cannot suppress more traces.
const MaxThrottleLevel = 10

// Sampler decides which traces are captured. The zero Sampler captures nothing. It is safe for concurrent use.
type Sampler struct {
	current atomic.Pointer[snapshot]
}

// snapshot holds the inputs of decisions. It is immutable and replaced as a whole.
type snapshot struct {
	edition  uint64
	salt     uint64
	throttle ThrottleLevel
	rate     uint32
	classes  map[string]uint32
	tenants  map[string]uint32
}

// Decision is the sampling decision on a trace.
type Decision struct {
	Captured bool
	Edition  uint64
	// Rate is the probability with which a trace of this class and tenant is captured, in units of 1/rules.RateUnit; 0: never.
	Rate uint32
}

// Weight returns the number of traces that a captured trace represents, for estimates.
func (d Decision) Weight() float64 {
	if d.Rate == 0 {
		return 0
	}
	return rules.RateUnit / float64(d.Rate)
}

// Set atomically replaces the rules and the throttle level for all decisions that begin from now on. If s is nil, nothing is
// captured.
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

// Decide returns the decision on the trace with an id. It takes one atomic load, no lock and no allocation.
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

// rateOf returns the rate of a class and tenant at the throttle level. Throttling does not reduce a rate over 0 to 0.
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

// Limiter enforces the rules' caps on written trace records in any second, and determines the throttle level that would meet
// the caps. It is a state machine without a clock and must be used by one goroutine only.
type Limiter struct {
	records, bytes, perNode uint32
	all                     window
	nodes                   map[string]*window
	dropped                 uint64  // records rejected since the last call of NextLevel
	peakUse                 float64 // highest requested use of any cap since the last call of NextLevel, as a fraction of the cap
}

// maxNodes is the number of nodes that are counted separately; further nodes share one count.
const maxNodes = 4096

// slotsPerWindow is the number of slots of a sliding window. Records that have left the last second no longer count, to the
// precision of a slot.
const slotsPerWindow = 20

// window counts the records and bytes that were admitted in the last second.
type window struct {
	slot    int64
	records [slotsPerWindow]uint32
	bytes   [slotsPerWindow]uint32
}

// advance drops the slots that are older than a second. A slot lasts a nineteenth of a second and the window has twenty slots:
// the current one and the nineteen complete ones before it. So everything within one second of now is always counted.
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

// NewLimiter returns a limiter with the caps of the rules.
func NewLimiter(s *rules.SamplingRules) *Limiter {
	return &Limiter{records: s.MaxRecords, bytes: s.MaxBytes, perNode: s.MaxRecordsPerNode, nodes: map[string]*window{}}
}

// Allow reports whether a record of a number of bytes about a node may be written, and counts it if so. node is empty if the
// record is not about a node.
func (c *Limiter) Allow(now time.Duration, node string, bytes uint32) bool {
	c.all.advance(now)
	records, size := c.all.sum()
	use := max(float64(records+1)/float64(c.records), float64(size+bytes)/float64(c.bytes))
	ok := records < c.records && size+bytes <= c.bytes
	var at *window
	if node != "" {
		if at = c.nodes[node]; at == nil {
			if len(c.nodes) >= maxNodes {
				node = "" // key of the shared count of the nodes beyond maxNodes
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

// NextLevel returns the throttle level that this member requests after an epoch at a level, and starts a new epoch. The level
// rises by one if a record was rejected. It falls by one if less than a third of every cap was used: a lower level doubles the
// rates, which still meets the caps, so the levels do not oscillate.
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
