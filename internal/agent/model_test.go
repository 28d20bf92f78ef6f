package agent

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/gossip"
	"fieldrelay/internal/shuffle"
)

// model is a set of agents with their proxies and control machines, without I/O, in simulated time.
type model struct {
	random   *rand.Rand
	now      time.Duration
	events   modelEvents
	number   uint64
	truth    []*catalog.Snapshot // by sequence
	changes  []*pb.Change        // by sequence - 1
	controls []*modelControl
	agents   []*modelAgent
	cut      map[string]bool // addresses that nobody reaches and from which nothing comes
	failures []string
	plant    planted
}

// planted is a fault, to show that the model's checks find it. The zero value plants none.
type planted struct {
	feed  func(call *feedCall)             // changes what a proxy is handed
	watch func(response *pb.WatchResponse) // changes what a control machine answers
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
		random: rand.New(rand.NewPCG(seed, 3)),
		now:    time.Nanosecond,
		truth:  []*catalog.Snapshot{catalog.Empty()},
		cut:    make(map[string]bool),
	}
	var seeds []string
	for index := range controls {
		address := fmt.Sprintf("core-%d:1", index)
		seeds = append(seeds, address)
		m.controls = append(m.controls, &modelControl{model: m, address: address, held: gossip.NewCopy(), authoritative: true})
	}
	for index := range agents {
		made := &modelAgent{
			model: m,
			seeds: seeds,
			self: shuffle.Neighbour{
				Host:    fmt.Sprintf("edge-%d", index),
				Address: fmt.Sprintf("edge-%d:2", index),
				Zone:    fmt.Sprintf("zone-%d", index%3),
				Region:  "region",
			},
			proxy: &modelProxy{model: m, held: gossip.NewCopy(), life: 1},
		}
		m.agents = append(m.agents, made)
		m.after(m.upTo(100*time.Millisecond), made.start)
	}
	return m
}

func (m *model) after(wait time.Duration, do func()) {
	m.number++
	heap.Push(&m.events, modelEvent{at: m.now + wait, number: m.number, do: do})
}

func (m *model) upTo(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit)))
}

// latency of one way between two machines.
func (m *model) latency() time.Duration { return time.Millisecond/2 + m.upTo(20*time.Millisecond) }

// runUntil lets time pass until something is reached, and reports whether it was.
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

// check wants a state to be the one that its sequence number stands for.
func (m *model) check(who string, state *catalog.Snapshot) {
	if !proto.Equal(m.truth[state.Sequence()].Digests(), state.Digests()) {
		m.fail("%s holds another state %d", who, state.Sequence())
	}
}

// last is the sequence of the newest change.
func (m *model) last() uint64 { return uint64(len(m.changes)) }

// commit makes a change and tells it to the control machines that follow, within some milliseconds.
func (m *model) commit() {
	sequence := m.last() + 1
	made := &pb.Change{Sequence: sequence, Generation: sequence}
	for range 1 + m.random.IntN(2) {
		name := fmt.Sprintf("route-%d", m.random.IntN(60))
		made.Upserts = append(made.Upserts, &pb.Item{
			Kind:     catalog.KindRoutes,
			Name:     name,
			Order:    1,
			Sequence: sequence,
			Body:     fmt.Appendf(nil, `{"name":%q,"made-by":%d}`, name, sequence),
		})
	}
	switch draw := m.random.IntN(100); {
	case draw == 0:
		made.ReplacesAll = true
	case draw < 20:
		made.Removals = append(made.Removals, &pb.ItemKey{Kind: catalog.KindRoutes, Name: fmt.Sprintf("route-%d", m.random.IntN(60))})
	}
	next, err := m.truth[sequence-1].Apply(made)
	if err != nil {
		m.fail("the model is wrong: %v", err)
		return
	}
	m.truth = append(m.truth, next)
	m.changes = append(m.changes, made)
	for _, control := range m.controls {
		if !control.stuck {
			m.after(m.latency(), control.follow)
		}
	}
}

// commitMany makes changes one after the other; done is called after the last.
func (m *model) commitMany(count uint64, done func()) {
	if count == 0 {
		done()
		return
	}
	m.commit()
	m.after(time.Millisecond+m.upTo(30*time.Millisecond), func() { m.commitMany(count-1, done) })
}

// modelControl answers watches as package controlserver does.
type modelControl struct {
	model         *model
	address       string
	held          *gossip.Copy
	authoritative bool
	stuck         bool // it hears of nothing new
	waiting       []*modelWatch
}

// modelWatch is a call that is held; after its answer done is nil.
type modelWatch struct {
	request *pb.WatchRequest
	done    func(*pb.WatchResponse)
}

// follow takes all changes up to now, now and then as a whole state: then it keeps no changes from before.
func (c *modelControl) follow() {
	if c.stuck {
		return
	}
	if c.model.random.IntN(200) == 0 {
		newest := c.model.truth[c.model.last()]
		if _, err := c.held.Restore(c.held.Snapshot(), newest.RepairFor(c.held.Snapshot().Digests())); err != nil {
			c.model.fail("the model is wrong: %v", err)
		}
	}
	c.held.ApplyChanges(c.model.changes[c.held.Sequence():])
	c.answerWaiting(false)
}

func (c *modelControl) answerWaiting(all bool) {
	var kept []*modelWatch
	for _, waiting := range c.waiting {
		if response, news := c.compose(waiting.request); news || all {
			waiting.done(response)
		} else {
			kept = append(kept, waiting)
		}
	}
	c.waiting = kept
}

func (c *modelControl) watch(request *pb.WatchRequest, done func(*pb.WatchResponse)) {
	response, news := c.compose(request)
	if news || request.GetHoldMs() == 0 {
		done(response)
		return
	}
	held := &modelWatch{request: request}
	answered := false
	held.done = func(response *pb.WatchResponse) {
		if !answered {
			answered = true
			done(response)
		}
	}
	c.waiting = append(c.waiting, held)
	c.model.after(time.Duration(request.GetHoldMs())*time.Millisecond, func() {
		response, _ := c.compose(request)
		held.done(response)
	})
}

// compose is the answer as of now and whether it has to be sent at once.
func (c *modelControl) compose(request *pb.WatchRequest) (*pb.WatchResponse, bool) {
	response := &pb.WatchResponse{
		Authoritative: c.authoritative,
		Sequence:      c.held.Sequence(),
		Generation:    c.held.Snapshot().Generation(),
		MembersSource: c.address,
	}
	if request.GetProbe() {
		return response, c.authoritative
	}
	news := c.addState(response, request)
	if request.GetMembersSource() != c.address {
		response.Members = c.model.members()
		news = true
	}
	if c.model.plant.watch != nil {
		c.model.plant.watch(response)
	}
	return response, news
}

func (c *modelControl) addState(response *pb.WatchResponse, request *pb.WatchRequest) bool {
	switch held := request.GetSequence(); {
	case held >= c.held.Sequence():
		return false
	case held == 0:
		response.Repair = c.held.Snapshot().RepairFor(nil)
	default:
		changes, kept := c.held.Since(held)
		switch digests := request.GetDigests(); {
		case kept:
			response.Changes = changes
		case digests != nil && digests.GetSequence() == held:
			response.Repair = c.held.Snapshot().RepairFor(digests)
		default:
			response.NeedDigests = true
		}
	}
	return true
}

func (m *model) members() *pb.Members {
	members := &pb.Members{Version: 1}
	for _, one := range m.agents {
		members.Agents = append(members.Agents, &pb.AgentRecord{
			Host:         one.self.Host,
			AgentAddress: one.self.Address,
			Zone:         one.self.Zone,
			Region:       one.self.Region,
		})
	}
	return members
}

// modelAgent is an agent process on its machine.
type modelAgent struct {
	model  *model
	self   shuffle.Neighbour
	seeds  []string
	proxy  *modelProxy
	core   *core // nil while the process is dead
	life   uint64
	wakeAt time.Duration
	pushes []*pb.PushRequest // that reached it, to come once more in a later life
}

func (a *modelAgent) start() {
	a.life++
	who := identity{neighbour: a.self, incarnation: a.life}
	a.core = newCore(who, a.seeds, time.Second, rand.New(rand.NewPCG(a.model.random.Uint64(), 1)), zap.NewNop())
	a.wakeAt = 0
	a.deliver(tick{})
}

func (a *modelAgent) kill() { a.core = nil }

// ofLife returns what delivers an event to this life of the process only.
func (a *modelAgent) ofLife() func(event) {
	life := a.life
	return func(happened event) {
		if a.life == life {
			a.deliver(happened)
		}
	}
}

func (a *modelAgent) deliver(happened event) {
	if a.core == nil {
		return
	}
	before := a.core.held.Sequence()
	for _, wanted := range a.core.step(a.model.now, happened) {
		a.call(wanted)
	}
	if a.core.held.Sequence() != before {
		a.model.check(a.self.Host, a.core.held.Snapshot())
	}
	wake := max(a.core.wake(a.model.now), a.model.now+shortestTick)
	if a.wakeAt <= a.model.now || wake < a.wakeAt {
		a.wakeAt = wake
		deliver := a.ofLife()
		a.model.after(wake-a.model.now, func() {
			if a.wakeAt == wake {
				deliver(tick{})
			}
		})
	}
}

var errModelTimeout = errors.New("no answer in time")

func (a *modelAgent) call(wanted action) {
	switch wanted := wanted.(type) {
	case watchCall:
		a.watch(wanted)
	case feedCall:
		a.exchange(wanted)
	case pushCall:
		answer := make(chan *pb.PushResponse, 1)
		request := &pb.PushRequest{From: toMessage(a.self), Changes: wanted.Changes, List: wanted.List}
		a.callPeer(wanted.To.Address, pushAsked{request, answer},
			func() event { return pushDone{call: wanted, response: <-answer} }, pushDone{call: wanted, err: errModelTimeout})
	case compareCall:
		answer := make(chan *pb.CompareResponse, 1)
		request := &pb.CompareRequest{From: toMessage(a.self), Digests: wanted.Digests, List: wanted.List}
		a.callPeer(wanted.To.Address, compareAsked{request, answer},
			func() event { return compareDone{call: wanted, response: <-answer} }, compareDone{call: wanted, err: errModelTimeout})
	case shuffleCall:
		answer := make(chan *pb.ShuffleResponse, 1)
		request := &pb.ShuffleRequest{From: toMessage(a.self), Sample: toMessages(wanted.Sample)}
		a.callPeer(wanted.To.Address, shuffleAsked{request, answer},
			func() event { return shuffleDone{call: wanted, response: <-answer} }, shuffleDone{call: wanted, err: errModelTimeout})
	}
}

func (a *modelAgent) isCut(address string) bool {
	return a.model.cut[a.self.Address] || a.model.cut[address] || a.model.cut[a.self.Host+">"+address]
}

func (a *modelAgent) watch(call watchCall) {
	m, deliver := a.model, a.ofLife()
	failed := func(after time.Duration, err error) {
		m.after(after, func() { deliver(watchDone{call: call, err: err}) })
	}
	if a.isCut(call.address) {
		failed(call.dial, errNoConnection)
		return
	}
	ended := false
	m.after(call.timeout, func() {
		if !ended {
			ended = true
			deliver(watchDone{call: call, err: errModelTimeout})
		}
	})
	m.after(m.latency(), func() {
		m.control(call.address).watch(call.request, func(response *pb.WatchResponse) {
			m.after(m.latency(), func() {
				if !ended && !a.isCut(call.address) {
					ended = true
					deliver(watchDone{call: call, response: response})
				}
			})
		})
	})
}

func (m *model) control(address string) *modelControl {
	for _, control := range m.controls {
		if control.address == address {
			return control
		}
	}
	return nil
}

func (m *model) agent(address string) *modelAgent {
	for _, one := range m.agents {
		if one.self.Address == address {
			return one
		}
	}
	return nil
}

// callPeer brings a call to another agent and its answer back.
func (a *modelAgent) callPeer(address string, asked event, answer func() event, failed event) {
	m, deliver := a.model, a.ofLife()
	m.after(m.latency(), func() {
		other := m.agent(address)
		if other == nil || other.core == nil || a.isCut(address) {
			m.after(peerTimeout, func() { deliver(failed) })
			return
		}
		if push, isPush := asked.(pushAsked); isPush && len(other.pushes) < 100 {
			other.pushes = append(other.pushes, push.request)
		}
		other.deliver(asked)
		done := answer()
		m.after(m.latency(), func() {
			if a.isCut(address) {
				m.after(peerTimeout, func() { deliver(failed) })
				return
			}
			deliver(done)
		})
	})
}

// repeatPushes brings pushes once more that reached this machine long ago, from neighbours of earlier lives.
func (a *modelAgent) repeatPushes() {
	for _, request := range a.pushes {
		a.deliver(pushAsked{request: request, answer: make(chan *pb.PushResponse, 1)})
	}
}

func (a *modelAgent) exchange(call feedCall) {
	m, deliver := a.model, a.ofLife()
	if m.plant.feed != nil {
		m.plant.feed(&call)
	}
	m.after(m.upTo(2*time.Millisecond), func() {
		if a.proxy.dead {
			deliver(feedDone{call: call, err: errModelTimeout})
			return
		}
		status := a.proxy.apply(call.apply)
		m.after(m.upTo(2*time.Millisecond), func() { deliver(feedDone{call: call, status: status}) })
	})
}

// modelProxy takes in what it is fed as package proxy does: changes that follow, or a whole state.
type modelProxy struct {
	model *model
	held  *gossip.Copy
	life  uint64
	gap   bool
	dead  bool
}

func (p *modelProxy) restart() {
	p.held = gossip.NewCopy()
	p.life += 2
	p.gap = false
	p.dead = false
}

func (p *modelProxy) apply(request *pb.ApplyRequest) *pb.ProxyStatus {
	if request.GetProxyIncarnation() == p.life {
		p.take(request)
	}
	status := &pb.ProxyStatus{Incarnation: p.life, Sequence: p.held.Sequence(), Generation: p.held.Snapshot().Generation()}
	if p.gap || p.held.Sequence() == 0 {
		status.Digests = &pb.RangeDigests{Sequence: p.held.Sequence()}
	}
	return status
}

// take also checks that nothing in a call is older than what the proxy held when it told its status last.
func (p *modelProxy) take(request *pb.ApplyRequest) {
	before := p.held.Sequence()
	if repair := request.GetRepair(); repair != nil {
		if repair.GetSequence() < before {
			p.model.fail("a proxy that holds %d is handed the state %d", before, repair.GetSequence())
		}
		if len(repair.GetRanges()) == catalog.RangeCount {
			_, err := p.held.Restore(nil, repair)
			p.gap = p.gap && err != nil
		}
	}
	for _, change := range request.GetChanges() {
		if change.GetSequence() > p.held.Sequence()+1 {
			p.gap = true
		}
		p.held.ApplyChanges([]*pb.Change{change})
	}
	if last := len(request.GetChanges()) - 1; last >= 0 && request.GetChanges()[last].GetSequence() < before {
		p.model.fail("a proxy that holds %d is handed changes up to %d", before, request.GetChanges()[last].GetSequence())
	}
	p.model.check("a proxy", p.held.Snapshot())
}
