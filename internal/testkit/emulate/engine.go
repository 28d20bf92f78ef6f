// Package emulate runs the real decision module, or a policy to compare it
// with, against modelled clients, network, execute nodes and list, in simulated
// time. Runs of one scenario, policy and seed are the same to the byte: time
// that ties is broken by the order of scheduling, and every entity draws from a
// random stream of its own.
package emulate

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// handler is what an event happens to. arg is whatever it scheduled.
type handler interface{ fire(arg uint64) }

type event struct {
	at  time.Duration
	seq uint64 // of scheduling: the first of two at one time
	to  handler
	arg uint64
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// engine is a time-ordered queue of events. A heap of four children a node (d-ary heap, Johnson 1975) is flatter than
// a binary one, and its children share a cache line or two. Events are values: scheduling one allocates nothing once
// the heap has grown.
type engine struct {
	now  time.Duration
	seq  uint64
	heap []event
}

const arity = 4

// at schedules an event. One for a time that has passed happens now, after those that are due already.
func (g *engine) at(t time.Duration, to handler, arg uint64) {
	g.seq++
	e := event{max(t, g.now), g.seq, to, arg}
	g.heap = append(g.heap, e)
	i := len(g.heap) - 1
	for i > 0 {
		up := (i - 1) / arity
		if !e.before(&g.heap[up]) {
			break
		}
		g.heap[i] = g.heap[up]
		i = up
	}
	g.heap[i] = e
}

// run lets events happen until a time, or until there are none.
func (g *engine) run(until time.Duration) (events uint64) {
	for len(g.heap) > 0 && g.heap[0].at <= until {
		e := g.pop()
		g.now = e.at
		e.to.fire(e.arg)
		events++
	}
	g.now = max(g.now, until)
	return events
}

func (g *engine) pop() event {
	top := g.heap[0]
	n := len(g.heap) - 1
	e := g.heap[n]
	g.heap[n] = event{}
	g.heap = g.heap[:n]
	if n == 0 {
		return top
	}
	i := 0
	for {
		first := arity*i + 1
		if first >= n {
			break
		}
		least := first
		for c := first + 1; c < min(first+arity, n); c++ {
			if g.heap[c].before(&g.heap[least]) {
				least = c
			}
		}
		if !g.heap[least].before(&e) {
			break
		}
		g.heap[i] = g.heap[least]
		i = least
	}
	g.heap[i] = e
	return top
}

// stream is the random stream of an entity. Entities that come or go leave the streams of others as they were.
func stream(seed uint64, name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// task is a handler made of a function, for what happens seldom.
type task func()

func (t task) fire(uint64) { t() }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
