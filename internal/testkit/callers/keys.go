package callers

import (
	"fmt"
	"time"

	"fieldrelay/internal/testkit/history"
)

func (c *caller) takeNumbers() {
	c.call(history.Call{Kind: history.Number, Name: pick(c.all.random, counterNames)}, func(*history.Call) {
		c.runAfter(c.pace, c.takeNumbers)
	})
}

// someKey returns one of the permanent keys, or the current fresh key.
func (c *caller) someKey() string {
	if c.all.chance(0.2) {
		return fmt.Sprintf("fresh%d.a", c.all.env.Now()/freshKeyInterval)
	}
	return pick(c.all.random, keyNames)
}

func (c *caller) readKeys() {
	c.call(history.Call{Kind: history.Read, Name: c.someKey()}, func(*history.Call) {
		c.runAfter(c.pace, c.readKeys)
	})
}

// watcher watches a group and resumes from the last revision that it received.
type watcher struct {
	*caller
	group string
	after uint64
}

func (w *watcher) watch() {
	w.call(history.Call{Kind: history.Watch, Name: w.group, After: w.after}, func(call *history.Call) {
		switch call.Outcome {
		case history.OK:
			w.after = call.Revision
		case history.Compacted:
			w.after = 0
		}
		w.runAfter(w.pace, w.watch)
	})
}

// putter writes keys, with or without an expected revision, and repeats calls without a clear answer.
type putter struct {
	*caller
	known  map[string]uint64 // last known revision of each key
	values int
}

func (p *putter) rest() { p.runAfter(p.pace, p.begin) }

func (p *putter) begin() {
	p.values++
	put := history.Call{Kind: history.Put, Name: p.someKey(), Value: fmt.Sprintf("%s-%d", p.name, p.values)}
	if p.all.chance(0.6) {
		expected := p.known[put.Name]
		if p.all.chance(0.1) {
			expected += uint64(p.all.random.IntN(2))
		}
		put.Expected = &expected
	}
	p.send(put, p.all.env.Now()+putAgainFor)
}

func (p *putter) send(put history.Call, until time.Duration) {
	p.call(put, func(call *history.Call) {
		switch {
		case isOpen(call) && call.Answered < until:
			p.runAfter(50*time.Millisecond, func() { p.send(put, until) })
			return
		case call.Outcome == history.OK || call.Outcome == history.Mismatch:
			p.known[put.Name] = call.Revision
		}
		p.rest()
	})
}
