package control

import (
	"bytes"
	"encoding/binary"
	"net/http"
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// An evacuation leaves no record of having been taken. A copy of an order that was answered long ago, late on
// its way, would undo what was ordered since. So the head gives each evacuation a number that serves once, in
// a result of status 100, and takes the order only when it comes back with that number: an origin sends it
// again only while its caller waits for the answer. A number is of no use any more once another order on the
// same zone was taken after it was given: the caller of that one may have waited for this one in vain before.

// statusConfirm is the status of a result that asks an origin to confirm its order.
const statusConfirm = http.StatusContinue

// confirmationTimeout is how long a number may be used.
const confirmationTimeout = 600 * time.Millisecond

// confirmation is a number that was given for an order.
type confirmation struct {
	origin  string // identity
	id      uint64
	zone    string
	number  []byte
	expires time.Duration
}

// isEvacuation reports whether an order needs confirmation.
func isEvacuation(order *pb.Order) bool {
	kind := order.GetKind()
	return kind == pb.Order_KIND_EVACUATE_BEGIN || kind == pb.Order_KIND_EVACUATE_FINISH
}

// isConfirmed reports whether an order came with the number that was given for it, which is used up by that.
// If it did not, its origin is asked. A copy that came without the number does not take it back: two copies on
// their way at once would undo each other's numbers for as long as the order lives.
func (m *Machine) isConfirmed(from *pb.Replica, order *pb.Order) bool {
	if !isEvacuation(order) {
		return true
	}
	m.dropUselessNumbers()
	index := slices.IndexFunc(m.head.confirmations, func(given confirmation) bool {
		return given.origin == from.GetIdentity() && given.id == order.GetId()
	})
	if index < 0 {
		m.askConfirmation(from, order)
		return false
	}
	number := m.head.confirmations[index].number
	if !bytes.Equal(number, order.GetBody()) {
		m.result(from, &pb.OrderResult{Id: order.GetId(), Status: statusConfirm, Body: number})
		return false
	}
	m.head.confirmations = slices.Delete(m.head.confirmations, index, index+1)
	return true
}

// dropUselessNumbers forgets the numbers that are too old, and those given before another order on their zone.
func (m *Machine) dropUselessNumbers() {
	m.head.confirmations = slices.DeleteFunc(m.head.confirmations, func(given confirmation) bool {
		return m.now >= given.expires || binary.BigEndian.Uint64(given.number) <= m.head.taken[given.zone]
	})
}

// isOvertaken reports whether another order on the zone was taken after the number of this one was given.
func (m *Machine) isOvertaken(order *pb.Order) bool {
	return isEvacuation(order) && binary.BigEndian.Uint64(order.GetBody()) <= m.head.taken[order.GetZone()]
}

// noteTaken makes all numbers given so far for a zone useless.
func (m *Machine) noteTaken(order *pb.Order) {
	if !isEvacuation(order) {
		return
	}
	if m.head.taken == nil {
		m.head.taken = make(map[string]uint64)
	}
	m.head.taken[order.GetZone()] = m.checks.next
}

func (m *Machine) askConfirmation(from *pb.Replica, order *pb.Order) {
	if len(m.head.confirmations) >= maxPendingOrders {
		return
	}
	m.checks.next++
	given := confirmation{
		origin:  from.GetIdentity(),
		id:      order.GetId(),
		zone:    order.GetZone(),
		number:  binary.BigEndian.AppendUint64(nil, m.checks.next),
		expires: m.now + confirmationTimeout,
	}
	m.head.confirmations = append(m.head.confirmations, given)
	m.result(from, &pb.OrderResult{Id: order.GetId(), Status: statusConfirm, Body: given.number})
}

// confirm sends an order again with the number that the head has given for it, unless it is too late for that.
func (m *Machine) confirm(pending *pendingOrder, number []byte) {
	if m.now >= pending.deadline {
		return
	}
	order := pending.order
	pending.order = &pb.Order{Id: order.GetId(), Kind: order.GetKind(), Zone: order.GetZone(), Body: number}
	m.forward(pending)
}
