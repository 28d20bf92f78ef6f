package agent

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/shuffle"
)

// modelAgent is a simulated agent process and its machine.
type modelAgent struct {
	model       *model
	self        shuffle.Neighbour
	seeds       []string
	proxy       *modelProxy
	core        *core // nil while the process is down
	incarnation uint64
	nextTickAt  time.Duration
	pushes      []*pb.PushRequest // received pushes, which repeatPushes delivers again
}

func (a *modelAgent) start() {
	a.incarnation++
	self := identity{neighbour: a.self, incarnation: a.incarnation}
	a.core = newCore(self, a.seeds, time.Second, rand.New(rand.NewPCG(a.model.random.Uint64(), 1)), zap.NewNop())
	a.nextTickAt = 0
	a.deliver(tick{})
}

func (a *modelAgent) kill() { a.core = nil }

// deliverToThisIncarnation returns a function that delivers an event, unless the process has been restarted since.
func (a *modelAgent) deliverToThisIncarnation() func(event) {
	incarnation := a.incarnation
	return func(received event) {
		if a.incarnation == incarnation {
			a.deliver(received)
		}
	}
}

func (a *modelAgent) deliver(received event) {
	if a.core == nil {
		return
	}
	before := a.core.replica.Sequence()
	actions := a.core.step(a.model.now, received)
	if a.model.observe != nil {
		a.model.observe(a, received, actions)
	}
	for _, call := range actions {
		a.call(call)
	}
	if a.core.violations.total() != 0 {
		a.model.fail("%s has violations: %+v", a.self.Host, a.core.violations)
	}
	if a.core.replica.Sequence() != before {
		a.model.check(a.self.Host, a.core.replica.Snapshot())
	}
	nextTick := max(a.core.nextTick(a.model.now), a.model.now+minTickInterval)
	if a.nextTickAt <= a.model.now || nextTick < a.nextTickAt {
		a.nextTickAt = nextTick
		deliver := a.deliverToThisIncarnation()
		a.model.after(nextTick-a.model.now, func() {
			if a.nextTickAt == nextTick {
				deliver(tick{})
			}
		})
	}
}

var errModelTimeout = errors.New("no response within the timeout")

func (a *modelAgent) call(call action) {
	switch call := call.(type) {
	case watchCall:
		a.watch(call)
	case proxyCall:
		a.exchange(call)
	case pushCall:
		response := make(chan *pb.PushResponse, 1)
		request := &pb.PushRequest{From: neighbourMessage(a.self), Changes: call.Changes, List: call.List}
		a.callPeer(call.To.Address, pushRequested{request, response},
			func() event { return pushDone{call: call, response: <-response} }, pushDone{call: call, err: errModelTimeout})
	case compareCall:
		response := make(chan *pb.CompareResponse, 1)
		request := newCompareRequest(a.self, call)
		a.callPeer(call.To.Address, compareRequested{request, response},
			func() event { return compareDone{call: call, response: <-response} }, compareDone{call: call, err: errModelTimeout})
	case shuffleCall:
		response := make(chan *pb.ShuffleResponse, 1)
		request := &pb.ShuffleRequest{From: neighbourMessage(a.self), Sample: neighbourMessages(call.Sample)}
		a.callPeer(call.To.Address, shuffleRequested{request, response},
			func() event { return shuffleDone{call: call, response: <-response} }, shuffleDone{call: call, err: errModelTimeout})
	}
}

func (a *modelAgent) isPartitioned(address string) bool {
	return a.model.partitioned[a.self.Address] || a.model.partitioned[address] || a.model.partitioned[a.self.Host+">"+address]
}

func (a *modelAgent) watch(call watchCall) {
	m, deliver := a.model, a.deliverToThisIncarnation()
	failed := func(after time.Duration, err error) {
		m.after(after, func() { deliver(watchDone{call: call, err: err}) })
	}
	if a.isPartitioned(call.address) {
		failed(call.dialTimeout, errDialTimeout)
		return
	}
	ended, started := false, false
	m.after(call.timeout, func() {
		if !ended && !started {
			ended = true
			deliver(watchDone{call: call, err: errModelTimeout})
		}
	})
	answered := func(response *pb.WatchResponse) {
		if ended {
			return
		}
		ended = true
		if a.isPartitioned(call.address) {
			failed(stallTimeout, &stalledError{responseStarted: true})
			return
		}
		deliver(watchDone{call: call, response: response, err: decompressWatch(response)})
	}
	m.after(m.latency(), func() {
		if m.control(call.address).dead {
			return
		}
		m.control(call.address).watch(call.request, func(response *pb.WatchResponse) {
			if ended {
				return
			}
			started = !a.isPartitioned(call.address)
			if started {
				deliver(watchResponseStarted{id: call.id})
			}
			m.links.send(call.address, a.self.Address, proto.Size(response), func() {
				m.after(m.latency(), func() { answered(response) })
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
	for _, agent := range m.agents {
		if agent.self.Address == address {
			return agent
		}
	}
	return nil
}

// callPeer simulates a call to another agent: it delivers the request there and the response to the caller.
func (a *modelAgent) callPeer(address string, request event, response func() event, failed event) {
	m, deliver := a.model, a.deliverToThisIncarnation()
	m.after(m.latency(), func() {
		other := m.agent(address)
		if other == nil || other.core == nil || a.isPartitioned(address) {
			m.after(peerTimeout, func() { deliver(failed) })
			return
		}
		if push, isPush := request.(pushRequested); isPush && len(other.pushes) < 100 {
			other.pushes = append(other.pushes, push.request)
		}
		other.deliver(request)
		done := response()
		ended := false
		m.after(maxCallDuration, func() {
			if !ended {
				ended = true
				deliver(failed)
			}
		})
		m.links.send(address, a.self.Address, responseSize(done), func() {
			m.after(m.latency(), func() {
				if !ended && !a.isPartitioned(address) {
					ended = true
					deliver(decompressedResponse(done))
				}
			})
		})
	})
}

// decompressedResponse returns the result of a call to another agent as caller posts it, decompressed.
func decompressedResponse(done event) event {
	if compared, isCompare := done.(compareDone); isCompare {
		compared.err = decompressCompare(compared.response)
		return compared
	}
	return done
}

// responseSize returns the size in bytes of the response of another agent.
func responseSize(done event) int {
	switch done := done.(type) {
	case pushDone:
		return proto.Size(done.response)
	case compareDone:
		return proto.Size(done.response)
	case shuffleDone:
		return proto.Size(done.response)
	}
	return 0
}

// repeatPushes delivers the pushes received so far again, including those sent by earlier incarnations of other agents.
func (a *modelAgent) repeatPushes() {
	for _, request := range a.pushes {
		a.deliver(pushRequested{request: request, response: make(chan *pb.PushResponse, 1)})
	}
}

func (a *modelAgent) exchange(call proxyCall) {
	m, deliver := a.model, a.deliverToThisIncarnation()
	if m.injected.proxyCall != nil {
		m.injected.proxyCall(&call)
	}
	m.after(m.jitter(2*time.Millisecond), func() {
		if a.proxy.dead {
			deliver(proxyCallDone{call: call, err: errModelTimeout})
			return
		}
		status := a.proxy.apply(call.apply)
		m.after(m.jitter(2*time.Millisecond), func() { deliver(proxyCallDone{call: call, status: status}) })
	})
}
