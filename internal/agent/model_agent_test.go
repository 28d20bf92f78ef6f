package agent

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/shuffle"
)

// modelAgent is an agent process on its machine.
type modelAgent struct {
	model       *model
	self        shuffle.Neighbour
	seeds       []string
	proxy       *modelProxy
	core        *core // nil while the process is dead
	incarnation uint64
	wakeAt      time.Duration
	pushes      []*pb.PushRequest // that reached it, to come once more in a later life
}

func (a *modelAgent) start() {
	a.incarnation++
	who := identity{neighbour: a.self, incarnation: a.incarnation}
	a.core = newCore(who, a.seeds, time.Second, rand.New(rand.NewPCG(a.model.random.Uint64(), 1)), zap.NewNop())
	a.wakeAt = 0
	a.deliver(tick{})
}

func (a *modelAgent) kill() { a.core = nil }

// forThisRun returns what delivers an event to this life of the process only.
func (a *modelAgent) forThisRun() func(event) {
	life := a.incarnation
	return func(happened event) {
		if a.incarnation == life {
			a.deliver(happened)
		}
	}
}

func (a *modelAgent) deliver(happened event) {
	if a.core == nil {
		return
	}
	before := a.core.replica.Sequence()
	actions := a.core.step(a.model.now, happened)
	if a.model.watch != nil {
		a.model.watch(a, happened, actions)
	}
	for _, wanted := range actions {
		a.call(wanted)
	}
	if a.core.violations.total() != 0 {
		a.model.fail("%s counts violations: %+v", a.self.Host, a.core.violations)
	}
	if a.core.replica.Sequence() != before {
		a.model.check(a.self.Host, a.core.replica.Snapshot())
	}
	wake := max(a.core.nextTick(a.model.now), a.model.now+minTickInterval)
	if a.wakeAt <= a.model.now || wake < a.wakeAt {
		a.wakeAt = wake
		deliver := a.forThisRun()
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
	case proxyCall:
		a.exchange(wanted)
	case pushCall:
		answer := make(chan *pb.PushResponse, 1)
		request := &pb.PushRequest{From: neighbourMessage(a.self), Changes: wanted.Changes, List: wanted.List}
		a.callPeer(wanted.To.Address, pushRequested{request, answer},
			func() event { return pushDone{call: wanted, response: <-answer} }, pushDone{call: wanted, err: errModelTimeout})
	case compareCall:
		answer := make(chan *pb.CompareResponse, 1)
		request := newCompareRequest(a.self, wanted)
		a.callPeer(wanted.To.Address, compareRequested{request, answer},
			func() event { return compareDone{call: wanted, response: <-answer} }, compareDone{call: wanted, err: errModelTimeout})
	case shuffleCall:
		answer := make(chan *pb.ShuffleResponse, 1)
		request := &pb.ShuffleRequest{From: neighbourMessage(a.self), Sample: neighbourMessages(wanted.Sample)}
		a.callPeer(wanted.To.Address, shuffleRequested{request, answer},
			func() event { return shuffleDone{call: wanted, response: <-answer} }, shuffleDone{call: wanted, err: errModelTimeout})
	}
}

func (a *modelAgent) isCut(address string) bool {
	return a.model.cut[a.self.Address] || a.model.cut[address] || a.model.cut[a.self.Host+">"+address]
}

func (a *modelAgent) watch(call watchCall) {
	m, deliver := a.model, a.forThisRun()
	failed := func(after time.Duration, err error) {
		m.after(after, func() { deliver(watchDone{call: call, err: err}) })
	}
	if a.isCut(call.address) {
		failed(call.dialTimeout, errDialTimeout)
		return
	}
	ended, begun := false, false
	m.after(call.timeout, func() {
		if !ended && !begun {
			ended = true
			deliver(watchDone{call: call, err: errModelTimeout})
		}
	})
	answered := func(response *pb.WatchResponse) {
		if ended {
			return
		}
		ended = true
		if a.isCut(call.address) {
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
			begun = !a.isCut(call.address)
			if begun {
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
	for _, one := range m.agents {
		if one.self.Address == address {
			return one
		}
	}
	return nil
}

// callPeer brings a call to another agent and its answer back.
func (a *modelAgent) callPeer(address string, asked event, answer func() event, failed event) {
	m, deliver := a.model, a.forThisRun()
	m.after(m.latency(), func() {
		other := m.agent(address)
		if other == nil || other.core == nil || a.isCut(address) {
			m.after(peerTimeout, func() { deliver(failed) })
			return
		}
		if push, isPush := asked.(pushRequested); isPush && len(other.pushes) < 100 {
			other.pushes = append(other.pushes, push.request)
		}
		other.deliver(asked)
		done := answer()
		ended := false
		m.after(maxCallDuration, func() {
			if !ended {
				ended = true
				deliver(failed)
			}
		})
		m.links.send(address, a.self.Address, answerSize(done), func() {
			m.after(m.latency(), func() {
				if !ended && !a.isCut(address) {
					ended = true
					deliver(unpackedAnswer(done))
				}
			})
		})
	})
}

// unpackedAnswer is another agent's answer as the caller hands it on.
func unpackedAnswer(done event) event {
	if compared, isCompare := done.(compareDone); isCompare {
		compared.err = decompressCompare(compared.response)
		return compared
	}
	return done
}

// answerSize is the size in bytes of another agent's answer.
func answerSize(done event) int {
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

// repeatPushes brings pushes once more that reached this machine long ago, from neighbours of earlier lives.
func (a *modelAgent) repeatPushes() {
	for _, request := range a.pushes {
		a.deliver(pushRequested{request: request, response: make(chan *pb.PushResponse, 1)})
	}
}

func (a *modelAgent) exchange(call proxyCall) {
	m, deliver := a.model, a.forThisRun()
	if m.plant.proxyCall != nil {
		m.plant.proxyCall(&call)
	}
	m.after(m.upTo(2*time.Millisecond), func() {
		if a.proxy.dead {
			deliver(proxyCallDone{call: call, err: errModelTimeout})
			return
		}
		status := a.proxy.apply(call.apply)
		m.after(m.upTo(2*time.Millisecond), func() { deliver(proxyCallDone{call: call, status: status}) })
	})
}
