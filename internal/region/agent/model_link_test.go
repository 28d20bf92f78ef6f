package agent

import (
	"math"
	"slices"
	"time"
)

// modelLinks simulates links of limited bandwidth. Concurrent transfers share the bandwidth of a link evenly, as TCP
// connections do.
type modelLinks struct {
	model      *model
	capacity   map[string]float64 // bandwidth of a machine's link in each direction, in bytes per second
	transfers  []*modelTransfer
	advancedAt time.Duration // time up to which the progress of the transfers is computed
	schedules  uint64        // number of calls of schedule so far
	carried    float64       // total bytes transferred
}

// modelTransfer is a message in transfer.
type modelTransfer struct {
	from, to  string
	remaining float64 // bytes
	rate      float64 // bytes per second
	done      func()
}

// minTransferBytes is the size of the headers of a message, in bytes.
const minTransferBytes = 200

// completionTolerance is the tolerance for rounding errors of the computed progress, in bytes.
const completionTolerance = 0.5

func newModelLinks(m *model) *modelLinks {
	return &modelLinks{model: m, capacity: make(map[string]float64)}
}

// send begins the transfer of a message; done is called when the message has been received completely.
func (l *modelLinks) send(from, to string, size int, done func()) {
	if l == nil {
		done()
		return
	}
	l.advance()
	transfer := &modelTransfer{from: from, to: to, remaining: float64(minTransferBytes + size), done: done}
	l.transfers = append(l.transfers, transfer)
	l.schedule()
}

// advance computes the progress since the last call.
func (l *modelLinks) advance() {
	passed := (l.model.now - l.advancedAt).Seconds()
	l.advancedAt = l.model.now
	for _, transfer := range l.transfers {
		moved := min(transfer.remaining, transfer.rate*passed)
		transfer.remaining -= moved
		l.carried += moved
	}
}

func (l *modelLinks) remove(transfer *modelTransfer) {
	l.transfers = slices.DeleteFunc(l.transfers, func(other *modelTransfer) bool { return other == transfer })
}

// schedule divides the bandwidth among the transfers, and schedules finish for the end of the first one.
func (l *modelLinks) schedule() {
	sending, receiving := make(map[string]int), make(map[string]int)
	for _, transfer := range l.transfers {
		sending[transfer.from]++
		receiving[transfer.to]++
	}
	first := math.Inf(1)
	for _, transfer := range l.transfers {
		transfer.rate = min(l.rateOf(transfer.from, sending), l.rateOf(transfer.to, receiving))
		first = min(first, transfer.remaining/transfer.rate)
	}
	l.schedules++
	if math.IsInf(first, 1) {
		return
	}
	round := l.schedules
	l.model.after(time.Duration(first*float64(time.Second))+time.Microsecond, func() {
		if l.schedules == round {
			l.finish()
		}
	})
}

func (l *modelLinks) rateOf(machine string, transfers map[string]int) float64 {
	return l.capacity[machine] / float64(transfers[machine])
}

// finish ends the transfers that are complete.
func (l *modelLinks) finish() {
	l.advance()
	var complete []*modelTransfer
	for _, transfer := range l.transfers {
		if transfer.remaining <= completionTolerance {
			complete = append(complete, transfer)
		}
	}
	for _, transfer := range complete {
		l.remove(transfer)
	}
	l.schedule()
	for _, transfer := range complete {
		transfer.done()
	}
}
