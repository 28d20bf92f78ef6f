package controlsim

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/control"
)

// undeliveredReportDelay is how long after a message was sent its sender learns that it may be lost, if it learns that at all.
const undeliveredReportDelay = 50 * time.Millisecond

// network carries messages, badly.
type network struct {
	world              *world
	lossRate           float64
	duplicateRate      float64
	longDelayRate      float64 // chance of a delay of seconds
	maxDelay           time.Duration
	blocked            map[[2]int]bool        // from, to
	exempt             func(*pb.Message) bool // what goes through all the same; nil: nothing
	alsoLoses          func(*pb.Message) bool // what is lost besides; nil: nothing
	uplinkDelay        map[int]time.Duration  // by index of the sender, whose link is full; nil: none is
	reportsUndelivered bool                   // senders learn of what is lost, and by mistake of what comes twice
}

func newNetwork(w *world) network {
	n := network{world: w, blocked: make(map[[2]int]bool), maxDelay: 5 * time.Millisecond}
	if w.plan.calm {
		return n
	}
	n.lossRate = []float64{0, 0, 0.01, 0.05}[w.random.IntN(4)]
	n.duplicateRate = []float64{0, 0.02}[w.random.IntN(2)]
	n.longDelayRate = []float64{0, 0.01}[w.random.IntN(2)]
	if n.lossRate == 0 {
		n.longDelayRate = []float64{0, 0.02, 0.08}[w.random.IntN(3)]
	}
	n.maxDelay = []time.Duration{2, 25, 60}[w.random.IntN(3)] * time.Millisecond
	n.reportsUndelivered = w.plan.seed%2 == 1
	return n
}

func (n *network) send(from *host, action control.Send) {
	to := n.world.byPeer[action.Address]
	if to == nil {
		return
	}
	if n.world.chance(n.lossRate) || (n.alsoLoses != nil && n.alsoLoses(action.Message)) {
		n.reportUndelivered(from, action)
		return
	}
	if hook := n.world.hooks.onSend; hook != nil && !hook(from, action) {
		return
	}
	n.transmit(from, to, action)
	if n.world.chance(n.duplicateRate) {
		n.transmit(from, to, action)
		n.reportUndelivered(from, action)
	}
}

// reportUndelivered has a sender learn that a message may not have reached its receiver.
func (n *network) reportUndelivered(from *host, action control.Send) {
	if !n.reportsUndelivered {
		return
	}
	incarnation := from.incarnation
	n.world.after(undeliveredReportDelay, func() {
		if from.incarnation == incarnation {
			from.deliver(control.Undelivered{Message: action.Message})
		}
	})
}

func (n *network) transmit(from, to *host, action control.Send) {
	delay := n.world.durationBetween(time.Millisecond/2, time.Millisecond+n.maxDelay) + n.world.sendingTime(action.Message)
	if n.world.chance(n.longDelayRate) {
		delay = n.world.durationUpTo(3 * time.Second)
	}
	if bandwidth := n.world.plan.bandwidth; bandwidth > 0 {
		delay += time.Duration(proto.Size(action.Message)) * time.Second / time.Duration(bandwidth)
	}
	delay += n.uplinkDelay[from.index]
	incarnation := to.incarnation
	n.world.after(delay, func() {
		blocked := n.blocked[[2]int{from.index, to.index}]
		if blocked && (n.exempt == nil || !n.exempt(action.Message)) {
			return
		}
		// a message mostly does not reach a process that was started after it was sent
		if to.incarnation != incarnation && n.world.chance(0.7) {
			return
		}
		to.deliver(control.Received{Message: action.Message})
	})
}

// setBlocked blocks the way between two hosts, or lets messages pass again.
func (n *network) setBlocked(a, b *host, oneWay, blocked bool) {
	n.blocked[[2]int{a.index, b.index}] = blocked
	if !oneWay {
		n.blocked[[2]int{b.index, a.index}] = blocked
	}
}
