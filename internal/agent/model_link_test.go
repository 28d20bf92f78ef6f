package agent

import (
	"math"
	"slices"
	"time"
)

// modelLinks carries messages over links of bounded bandwidth, which the transfers under way share evenly, as
// connections of TCP do. A transfer that its receiver gives up ends at once; what it carried is lost.
type modelLinks struct {
	model     *model
	capacity  map[string]float64 // of a machine's link in each direction, in bytes a second
	transfers []*modelTransfer
	settledAt time.Duration // up to when the transfers' progress is reckoned
	round     uint64        // of the next end that was reckoned last
	carried   float64       // bytes, those of transfers that were given up included
}

// modelTransfer is one message on its way.
type modelTransfer struct {
	from, to string
	left     float64 // bytes
	rate     float64 // bytes a second
	done     func()
}

// smallestTransfer is a message's headers, in bytes.
const smallestTransfer = 200

// nearlyNothing absorbs the rounding of progress, in bytes.
const nearlyNothing = 0.5

func newModelLinks(m *model) *modelLinks {
	return &modelLinks{model: m, capacity: make(map[string]float64)}
}

// send begins a transfer. The function that it returns gives it up.
func (l *modelLinks) send(from, to string, size int, done func()) (giveUp func()) {
	if l == nil {
		done()
		return func() {}
	}
	l.settle()
	transfer := &modelTransfer{from: from, to: to, left: float64(smallestTransfer + size), done: done}
	l.transfers = append(l.transfers, transfer)
	l.schedule()
	return func() {
		l.settle()
		l.remove(transfer)
		l.schedule()
	}
}

// settle reckons the progress since the last call.
func (l *modelLinks) settle() {
	passed := (l.model.now - l.settledAt).Seconds()
	l.settledAt = l.model.now
	for _, transfer := range l.transfers {
		moved := min(transfer.left, transfer.rate*passed)
		transfer.left -= moved
		l.carried += moved
	}
}

func (l *modelLinks) remove(transfer *modelTransfer) {
	l.transfers = slices.DeleteFunc(l.transfers, func(other *modelTransfer) bool { return other == transfer })
}

// schedule shares the links anew and waits for the first transfer to end.
func (l *modelLinks) schedule() {
	sending, receiving := make(map[string]int), make(map[string]int)
	for _, transfer := range l.transfers {
		sending[transfer.from]++
		receiving[transfer.to]++
	}
	first := math.Inf(1)
	for _, transfer := range l.transfers {
		transfer.rate = min(l.share(transfer.from, sending), l.share(transfer.to, receiving))
		first = min(first, transfer.left/transfer.rate)
	}
	l.round++
	if math.IsInf(first, 1) {
		return
	}
	round := l.round
	l.model.after(time.Duration(first*float64(time.Second))+time.Microsecond, func() {
		if l.round == round {
			l.finish()
		}
	})
}

func (l *modelLinks) share(machine string, transfers map[string]int) float64 {
	return l.capacity[machine] / float64(transfers[machine])
}

// finish ends the transfers that have come whole.
func (l *modelLinks) finish() {
	l.settle()
	var whole []*modelTransfer
	for _, transfer := range l.transfers {
		if transfer.left <= nearlyNothing {
			whole = append(whole, transfer)
		}
	}
	for _, transfer := range whole {
		l.remove(transfer)
	}
	l.schedule()
	for _, transfer := range whole {
		transfer.done()
	}
}
