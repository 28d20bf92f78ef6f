package control

import (
	"net/http"
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
)

// Times and bounds of orders.
const (
	// orderTimeout is how long an order may take before it is answered 503; a large body adds its transferTime.
	orderTimeout = 900 * time.Millisecond
	// orderResendInterval is the wait before an unanswered order is sent again; a large body adds its transferTime.
	orderResendInterval = 300 * time.Millisecond
	// minLinkRate, in bytes a second, is what one message is sure to get of a link.
	minLinkRate = 250_000
	// maxPendingOrders bounds the orders on their way at one machine, as their origin and as the head each.
	maxPendingOrders = 64
)

// originOrders are the orders that arrived at this machine, the oldest first.
type originOrders struct {
	pending []*pendingOrder
	next    uint64 // id
}

type pendingOrder struct {
	request  uint64
	order    *pb.Order
	deadline time.Duration
	sentAt   time.Duration
	target   string // identity of the machine that it was forwarded to last; empty: there was none
	// held is what this machine knew to be committed when it forwarded a read last; nil: nothing.
	heldState *catalog.Snapshot
}

// transferTime is how long a body may need on one link.
func transferTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / minLinkRate
}

// orderTimeoutOf is how long an order may take.
func orderTimeoutOf(order *pb.Order) time.Duration {
	return orderTimeout + transferTime(len(order.GetBody()))
}

func unavailable(id uint64) *pb.OrderResult {
	return &pb.OrderResult{Id: id, Status: http.StatusServiceUnavailable}
}

// submit takes an order of the operator and forwards it.
func (m *Machine) submit(event OrderSubmitted) {
	full := len(m.origin.pending) >= maxPendingOrders
	if m.View() == nil || !m.hearsMajority() || m.wakesLate() || full {
		m.actions = append(m.actions, Reply{Request: event.Request, Result: unavailable(0)})
		return
	}
	m.origin.next++
	order := event.Order
	pending := &pendingOrder{
		request: event.Request,
		order: &pb.Order{
			Id:   m.origin.next,
			Kind: order.GetKind(),
			Base: order.GetBase(),
			Zone: order.GetZone(),
			Body: order.GetBody(),
		},
		deadline: m.now + orderTimeoutOf(order),
	}
	m.origin.pending = append(m.origin.pending, pending)
	m.forward(pending)
}

// withdraw forgets an order whose caller has gone: it is neither sent again nor confirmed.
func (m *Machine) withdraw(request uint64) {
	m.origin.pending = slices.DeleteFunc(m.origin.pending, func(pending *pendingOrder) bool {
		return pending.request == request
	})
}

// forward sends an order to the head, or to the tail if it is a read.
func (m *Machine) forward(pending *pendingOrder) {
	pending.sentAt = m.now
	target := m.replica.Head()
	if pending.order.GetKind() == pb.Order_KIND_READ {
		target = m.replica.Tail()
		m.nameHeld(pending)
	}
	pending.target = target.GetIdentity()
	if target != nil {
		m.send(target, &pb.Message{Body: &pb.Message_Order{Order: pending.order}})
	}
}

// nameHeld tells the tail what this machine holds itself: if that is the newest state, the configuration, which may be
// large, need not come from the tail.
func (m *Machine) nameHeld(pending *pendingOrder) {
	pending.heldState = m.replica.Committed()
	pending.order = &pb.Order{
		Id:   pending.order.GetId(),
		Kind: pb.Order_KIND_READ,
		Held: sequenceOf(pending.heldState),
	}
}

// forwardAgain sends all pending orders to the chain of a new view.
func (m *Machine) forwardAgain() {
	for _, pending := range slices.Clone(m.origin.pending) {
		m.forward(pending)
	}
}

func (m *Machine) tickOrigin() {
	for _, pending := range slices.Clone(m.origin.pending) {
		switch {
		case m.now >= pending.deadline:
			m.answer(pending, unavailable(pending.order.GetId()))
		case m.now-pending.sentAt >= orderResendInterval+transferTime(len(pending.order.GetBody())):
			m.forward(pending)
		}
	}
}

// orderResult answers the operator, or confirms the order if the head asks for that. A result that comes twice or
// too late is dropped, as is one of another machine than the order was forwarded to last: a machine that was the
// head or the tail of an earlier view no longer speaks for the chain. Ids begin at random in each life of this
// machine, so that results of orders of an earlier life match none.
func (m *Machine) orderResult(from *pb.Replica, result *pb.OrderResult) {
	pending := m.origin.find(result.GetId())
	switch {
	case pending == nil || pending.target != from.GetIdentity():
	case result.GetStatus() == statusConfirm:
		m.confirm(pending, result.GetBody())
	case result.GetHeldIsNewest():
		m.answer(pending, readResult(result.GetId(), pending.heldState))
	default:
		m.answer(pending, result)
	}
}

// readResult is the result of a read of a state.
func readResult(id uint64, state *catalog.Snapshot) *pb.OrderResult {
	body, err := state.Configuration()
	if err != nil {
		return &pb.OrderResult{Id: id, Status: http.StatusInternalServerError}
	}
	return &pb.OrderResult{Id: id, Status: http.StatusOK, Body: body}
}

// find returns the order with the given id, nil if there is none.
func (o *originOrders) find(id uint64) *pendingOrder {
	for _, pending := range o.pending {
		if pending.order.GetId() == id {
			return pending
		}
	}
	return nil
}

// answer gives the operator the result of an order, which is no longer pending from then on: it is answered once.
func (m *Machine) answer(pending *pendingOrder, result *pb.OrderResult) {
	index := slices.Index(m.origin.pending, pending)
	if index < 0 {
		return
	}
	m.origin.pending = slices.Delete(m.origin.pending, index, index+1)
	m.actions = append(m.actions, Reply{Request: pending.request, Result: result})
}
