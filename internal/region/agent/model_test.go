package agent

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/gossip"
	"fieldrelay/internal/region/shuffle"
)

// model simulates agents, their proxies and control machines in simulated time, without I/O.
type model struct {
	random          *rand.Rand
	now             time.Duration
	events          modelEvents
	eventCount      uint64
	committedStates []*catalog.Snapshot // committed states, by sequence
	changes         []*pb.Change        // committed changes, by sequence - 1
	controls        []*modelControl
	agents          []*modelAgent
	partitioned     map[string]bool // addresses, or HOST>ADDRESS pairs, that no message reaches or leaves
	failures        []string
	injected        injectedFault
	links           *modelLinks                                               // nil: bandwidth is unlimited
	observe         func(agent *modelAgent, received event, actions []action) // called after each step; may be nil
}

// injectedFault is a fault that the checks of the model must detect. The zero value injects none.
type injectedFault struct {
	proxyCall func(call *proxyCall)            // modifies the calls to proxies
	watch     func(response *pb.WatchResponse) // modifies the responses of control machines
}

type modelEvent struct {
	at     time.Duration
	number uint64
	do     func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int { return len(e) }
func (e modelEvents) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].number < e[j].number
}
func (e modelEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)   { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newModel(seed uint64, controls, agents int) *model {
	m := &model{
		random:          rand.New(rand.NewPCG(seed, 3)),
		now:             time.Nanosecond,
		committedStates: []*catalog.Snapshot{catalog.Empty()},
		partitioned:     make(map[string]bool),
	}
	var seeds []string
	for index := range controls {
		address := fmt.Sprintf("core-%d:1", index)
		seeds = append(seeds, address)
		m.controls = append(m.controls, &modelControl{model: m, address: address, replica: gossip.NewReplica(), authoritative: true})
	}
	for index := range agents {
		agent := &modelAgent{
			model: m,
			seeds: seeds,
			self: shuffle.Neighbour{
				Host:    fmt.Sprintf("edge-%d", index),
				Address: fmt.Sprintf("edge-%d:2", index),
				Zone:    fmt.Sprintf("zone-%d", index%3),
				Region:  "region",
			},
			proxy: &modelProxy{model: m, replica: gossip.NewReplica(), incarnation: 1},
		}
		m.agents = append(m.agents, agent)
		m.after(m.jitter(100*time.Millisecond), agent.start)
	}
	return m
}

func (m *model) after(wait time.Duration, do func()) {
	m.eventCount++
	heap.Push(&m.events, modelEvent{at: m.now + wait, number: m.eventCount, do: do})
}

func (m *model) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit)))
}

// latency returns a random one-way latency between two machines.
func (m *model) latency() time.Duration { return time.Millisecond/2 + m.jitter(20*time.Millisecond) }

// runUntil processes events until reached returns true or the time limit is over, and reports whether it returned true.
func (m *model) runUntil(limit time.Duration, reached func() bool) bool {
	end := m.now + limit
	for len(m.events) > 0 && m.events[0].at <= end {
		if reached() {
			return true
		}
		next := heap.Pop(&m.events).(modelEvent)
		m.now = next.at
		next.do()
	}
	m.now = end
	return reached()
}

func (m *model) fail(format string, arguments ...any) {
	m.failures = append(m.failures, fmt.Sprintf("%.3f ", m.now.Seconds())+fmt.Sprintf(format, arguments...))
}

// check records a failure unless a state equals the committed state with the same sequence.
func (m *model) check(subject string, state *catalog.Snapshot) {
	if !proto.Equal(m.committedStates[state.Sequence()].Digests(), state.Digests()) {
		m.fail("%s has another state %d", subject, state.Sequence())
	}
}

// newestSequence returns the sequence of the newest change, 0 if there is none.
func (m *model) newestSequence() uint64 { return uint64(len(m.changes)) }

// commit commits a random change, which the control machines receive after their latency.
func (m *model) commit() {
	sequence := m.newestSequence() + 1
	change := &pb.Change{Sequence: sequence, Generation: sequence}
	for range 1 + m.random.IntN(2) {
		name := fmt.Sprintf("route-%d", m.random.IntN(60))
		change.Upserts = append(change.Upserts, &pb.Item{
			Kind:     catalog.KindRoutes,
			Name:     name,
			Order:    1,
			Sequence: sequence,
			Body:     fmt.Appendf(nil, `{"name":%q,"made-by":%d}`, name, sequence),
		})
	}
	switch draw := m.random.IntN(100); {
	case draw == 0:
		change.ReplacesAll = true
	case draw < 20:
		change.Removals = append(change.Removals, &pb.ItemKey{Kind: catalog.KindRoutes, Name: fmt.Sprintf("route-%d", m.random.IntN(60))})
	}
	m.appendChange(change)
}

// appendChange commits a change that follows the newest one.
func (m *model) appendChange(change *pb.Change) {
	next, err := m.committedStates[change.GetSequence()-1].Apply(change)
	if err != nil {
		m.fail("the model cannot apply its own change: %v", err)
		return
	}
	m.committedStates = append(m.committedStates, next)
	m.changes = append(m.changes, change)
	for _, control := range m.controls {
		if !control.stalled {
			m.after(m.latency(), control.applyCommitted)
		}
	}
}

// commitMany commits random changes one after the other, and calls done after the last one.
func (m *model) commitMany(count uint64, done func()) {
	if count == 0 {
		done()
		return
	}
	m.commit()
	m.after(time.Millisecond+m.jitter(30*time.Millisecond), func() { m.commitMany(count-1, done) })
}
