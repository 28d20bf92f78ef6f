package coordination

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// network carries messages between machines. It loses, duplicates, delays and reorders them, and its links may be cut.
type network struct {
	simulation  *simulation
	loss        float64
	duplication float64
	slowShare   float64 // share of messages with a long delay
	cuts        map[link]int
}

type link struct{ from, to string }

func newNetwork(s *simulation) *network {
	return &network{
		simulation:  s,
		loss:        0.03 * s.random.Float64(),
		duplication: 0.05 * s.random.Float64(),
		slowShare:   0.02 * s.random.Float64(),
		cuts:        make(map[link]int),
	}
}

// isOpen reports whether b runs and no link between a and b is cut.
func (n *network) isOpen(a, b *machine) bool {
	isCut := n.cuts[link{a.identity(), b.identity()}] > 0 || n.cuts[link{b.identity(), a.identity()}] > 0
	return b.running && !isCut
}

// send transmits a message of the protocol. Calls and their results are never duplicated, since the control machines'
// transport sends nothing again.
func (n *network) send(from, to *machine, message *pb.Message) {
	copies := 1
	isRepeatable := message.GetCoordinationCall() == nil && message.GetCoordinationResult() == nil
	if isRepeatable && n.simulation.chance(n.duplication) {
		copies = 2
	}
	n.transmit(from, to, copies, func() { to.receive(from.replica, message) })
}

// transmit runs an action at the receiver for each copy of a message that arrives.
func (n *network) transmit(from, to *machine, copies int, arrive func()) {
	s := n.simulation
	if n.cuts[link{from.identity(), to.identity()}] > 0 {
		return
	}
	for range copies {
		if !s.chance(n.loss) {
			s.after(n.delay(from, to), func() { to.handle(arrive) })
		}
	}
}

func (n *network) delay(from, to *machine) time.Duration {
	s := n.simulation
	if s.chance(n.slowShare) {
		return s.between(50, 3000)
	}
	if from.replica.GetRegion() == to.replica.GetRegion() {
		return s.between(1, 3)
	}
	return s.between(12, 20)
}

// cut closes links for a while.
func (n *network) cut(links []link, pause time.Duration) {
	for _, closed := range links {
		n.cuts[closed]++
	}
	n.simulation.after(pause, func() {
		for _, closed := range links {
			n.cuts[closed]--
		}
	})
}

// clearFaults ends the random loss, duplication and long delays; cuts remain.
func (n *network) clearFaults() {
	n.loss, n.duplication, n.slowShare = 0, 0, 0
}
