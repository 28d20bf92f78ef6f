package controlsim

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/control"
)

// tellsAfter is how long after a message was sent its sender is told that it may be lost, where it is told at all.
const tellsAfter = 50 * time.Millisecond

// network carries messages, badly.
type network struct {
	world   *world
	lose    float64
	double  float64
	linger  float64 // chance of a delay of seconds
	slow    time.Duration
	blocked map[[2]int]bool        // from, to
	passes  func(*pb.Message) bool // what goes through all the same; nil: nothing
	loses   func(*pb.Message) bool // what is lost besides; nil: nothing
	tells   bool                   // senders learn of what is lost, and by mistake of what comes twice
}

func newNetwork(w *world) network {
	n := network{world: w, blocked: make(map[[2]int]bool), slow: 5 * time.Millisecond}
	if w.plan.calm {
		return n
	}
	n.lose = []float64{0, 0, 0.01, 0.05}[w.random.IntN(4)]
	n.double = []float64{0, 0.02}[w.random.IntN(2)]
	n.linger = []float64{0, 0.01}[w.random.IntN(2)]
	if n.lose == 0 {
		n.linger = []float64{0, 0.02, 0.08}[w.random.IntN(3)]
	}
	n.slow = []time.Duration{2, 25, 60}[w.random.IntN(3)] * time.Millisecond
	n.tells = w.plan.seed%2 == 1
	return n
}

func (n *network) send(from *host, action control.Send) {
	to := n.world.byPeer[action.Address]
	if to == nil {
		return
	}
	if n.world.chance(n.lose) || (n.loses != nil && n.loses(action.Message)) {
		n.tell(from, action)
		return
	}
	if hook := n.world.hooks.onSend; hook != nil && !hook(from, action) {
		return
	}
	n.carry(from, to, action)
	if n.world.chance(n.double) {
		n.carry(from, to, action)
		n.tell(from, action)
	}
}

// tell has a sender learn that a message may not have reached its receiver.
func (n *network) tell(from *host, action control.Send) {
	if !n.tells {
		return
	}
	life := from.life
	n.world.after(tellsAfter, func() {
		if from.life == life {
			from.deliver(control.Undelivered{Message: action.Message})
		}
	})
}

func (n *network) carry(from, to *host, action control.Send) {
	delay := n.world.between(time.Millisecond/2, time.Millisecond+n.slow) + n.world.sendingTime(action.Message)
	if n.world.chance(n.linger) {
		delay = n.world.upTo(3 * time.Second)
	}
	if bandwidth := n.world.plan.bandwidth; bandwidth > 0 {
		delay += time.Duration(proto.Size(action.Message)) * time.Second / time.Duration(bandwidth)
	}
	life := to.life
	n.world.after(delay, func() {
		blocked := n.blocked[[2]int{from.index, to.index}]
		if blocked && (n.passes == nil || !n.passes(action.Message)) {
			return
		}
		// a message mostly does not reach a process that was started after it was sent
		if to.life != life && n.world.chance(0.7) {
			return
		}
		to.deliver(control.Received{Message: action.Message})
	})
}

// cut blocks the way between two hosts, or lets messages pass again.
func (n *network) cut(a, b *host, oneWay, blocked bool) {
	n.blocked[[2]int{a.index, b.index}] = blocked
	if !oneWay {
		n.blocked[[2]int{b.index, a.index}] = blocked
	}
}
