package control

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
)

// earlyOrderTimeout is how long an order is kept for the view that makes its receiver the head.
const earlyOrderTimeout = orderResendInterval

// headOrders are the orders that arrived at this machine as the head of the chain.
type headOrders struct {
	queue  []*headOrder
	active *headOrder // its change is on its way through the chain; nil if there is none

	overtakes int // orders in a row that were taken before an older one

	confirmations []confirmation
	taken         map[string]uint64 // the last number given before an order on a zone was taken

	early []*headOrder // came while another machine was the head; this one may become it
}

const (
	// maxSmallOrderBytes is the length of a body, in bytes, up to which an order may overtake larger ones.
	maxSmallOrderBytes = 16 << 10
	// maxOvertakes is the number of orders in a row that may overtake an older one.
	maxOvertakes = 4
)

type headOrder struct {
	from     *pb.Replica // origin
	order    *pb.Order
	expires  time.Duration
	sequence uint64 // of its change
}

func (o *headOrder) is(from *pb.Replica, id uint64) bool {
	return o != nil && o.from.GetIdentity() == from.GetIdentity() && o.order.GetId() == id
}

// order takes an order that was forwarded to this machine.
func (m *Machine) order(from *pb.Replica, order *pb.Order) {
	if order.GetKind() == pb.Order_KIND_READ {
		m.read(from, order)
		return
	}
	if m.isKnownOrder(from, order.GetId()) {
		return
	}
	if !m.isHead() && m.View() != nil {
		m.keepEarly(from, order)
		return
	}
	if !m.takesOrders() || len(m.head.queue) >= maxPendingOrders {
		m.result(from, unavailable(order.GetId()))
		return
	}
	if !m.isConfirmed(from, order) {
		return
	}
	m.head.queue = append(m.head.queue, &headOrder{from: from, order: order, expires: m.now + orderTimeoutOf(order)})
}

// keepEarly keeps an order that came before the view by which this machine is the head, and tells the origin of the
// view in force, in case that is the one which lags.
func (m *Machine) keepEarly(from *pb.Replica, order *pb.Order) {
	if len(m.head.early) < maxPendingOrders {
		m.head.early = append(m.head.early, &headOrder{from: from, order: order, expires: m.now + earlyOrderTimeout})
	}
	m.send(from, &pb.Message{Body: &pb.Message_Decided{Decided: &pb.Decided{View: m.View()}}})
}

// takeEarly takes the orders that were kept, if this machine is the head now.
func (m *Machine) takeEarly(early []*headOrder) {
	for _, kept := range early {
		if m.isHead() && m.now < kept.expires {
			m.order(kept.from, kept.order)
		}
	}
}

func (m *Machine) isHead() bool {
	return m.replica.Head().GetIdentity() == m.self.GetIdentity()
}

// takesOrders reports whether this machine is the head of a chain that is long and wide enough.
func (m *Machine) takesOrders() bool {
	view := m.View()
	return view != nil && m.isHead() && m.config.Requirement.MetBy(view.GetChain(), view.GetVoters())
}

func (m *Machine) isKnownOrder(from *pb.Replica, id uint64) bool {
	if m.head.active.is(from, id) || m.isChecked(from, id) {
		return true
	}
	for _, queued := range m.head.queue {
		if queued.is(from, id) {
			return true
		}
	}
	return false
}

// pump gives the chain its next change while it takes one.
func (m *Machine) pump() {
	for m.head.active == nil && len(m.head.queue) > 0 && m.replica.AcceptsProposals() {
		next := m.head.takeNext()
		if m.now < next.expires {
			m.execute(next)
		}
	}
}

// takeNext removes the order whose turn it is: the oldest small one, and after a few of these the oldest of all,
// so that neither large orders nor small ones keep the others waiting.
func (h *headOrders) takeNext() *headOrder {
	place := slices.IndexFunc(h.queue, func(queued *headOrder) bool {
		return len(queued.order.GetBody()) <= maxSmallOrderBytes
	})
	if place <= 0 || h.overtakes >= maxOvertakes {
		place = 0
		h.overtakes = 0
	} else {
		h.overtakes++
	}
	next := h.queue[place]
	h.queue = slices.Delete(h.queue, place, place+1)
	return next
}

// execute validates an order on the newest state, which is committed, and appends its change.
func (m *Machine) execute(next *headOrder) {
	if m.isOvertaken(next.order) {
		m.askConfirmation(next.from, next.order)
		return
	}
	m.noteTaken(next.order)
	change, err := prepareChange(m.replica.Newest(), next.order)
	if err != nil {
		m.refuse(next, err)
		return
	}
	if change == nil {
		m.check(next.from, &pb.OrderResult{Id: next.order.GetId(), Status: http.StatusOK}, nil)
		return
	}
	output, err := m.replica.Propose(change)
	if err != nil {
		m.result(next.from, unavailable(next.order.GetId()))
		return
	}
	next.sequence = change.GetSequence()
	m.head.active = next
	m.perform(output)
}

// prepareChange returns the change that an order makes; nil if it makes none.
func prepareChange(snapshot *catalog.Snapshot, order *pb.Order) (*pb.Change, error) {
	switch order.GetKind() {
	case pb.Order_KIND_REPLACE:
		return catalog.PrepareReplace(snapshot, order.GetBase(), order.GetBody())
	case pb.Order_KIND_AMEND:
		return catalog.PrepareAmend(snapshot, order.GetBase(), order.GetBody())
	case pb.Order_KIND_EVACUATE_BEGIN:
		return catalog.PrepareEvacuation(snapshot, order.GetZone(), true)
	case pb.Order_KIND_EVACUATE_FINISH:
		return catalog.PrepareEvacuation(snapshot, order.GetZone(), false)
	default:
		return nil, errors.Newf("order of unknown kind %d", order.GetKind())
	}
}

// refuse answers an order that leads to no change, once it is certain that this machine is still the head. An
// order on a later generation than the current one is not refused for good: a copy of it that is still on its
// way could be taken when that generation comes.
func (m *Machine) refuse(next *headOrder, cause error) {
	var refusal catalog.OrderError
	early := next.order.GetBase() > m.replica.Newest().Generation()
	if !errors.As(cause, &refusal) || (early && refusal.Status() != http.StatusOK) {
		m.result(next.from, unavailable(next.order.GetId()))
		return
	}
	result := &pb.OrderResult{
		Id:     next.order.GetId(),
		Status: uint32(refusal.Status()),
		Body:   reasonBody(refusal),
	}
	if refusal.Status() == http.StatusServiceUnavailable {
		m.result(next.from, result)
		return
	}
	m.check(next.from, result, nil)
}

func reasonBody(refusal catalog.OrderError) []byte {
	if refusal.Status() == http.StatusOK {
		return nil
	}
	body, err := json.Marshal(struct {
		Error string `json:"error"`
	}{refusal.Error()})
	if err != nil {
		return nil
	}
	return body
}

// settleOrders answers the active order once its change is committed.
func (m *Machine) settleOrders() {
	active := m.head.active
	if active == nil || !m.replica.KnowsCommitted() || m.replica.Committed().Sequence() < active.sequence {
		return
	}
	m.head.active = nil
	m.result(active.from, &pb.OrderResult{Id: active.order.GetId(), Status: http.StatusOK})
}

// dropHeadOrders forgets the orders of a view that was replaced; their origins send them to the new head.
func (m *Machine) dropHeadOrders() {
	m.head = headOrders{}
	m.checks.pending = nil
}

func (m *Machine) tickHead() {
	m.head.queue = m.unexpired(m.head.queue)
	m.head.early = m.unexpired(m.head.early)
}

func (m *Machine) unexpired(orders []*headOrder) []*headOrder {
	return slices.DeleteFunc(orders, func(order *headOrder) bool { return m.now >= order.expires })
}

// result tells an order's origin the outcome.
func (m *Machine) result(to *pb.Replica, result *pb.OrderResult) {
	m.send(to, &pb.Message{Body: &pb.Message_OrderResult{OrderResult: result}})
}

// read takes a read that was forwarded to this machine as the tail.
func (m *Machine) read(from *pb.Replica, order *pb.Order) {
	if m.isChecked(from, order.GetId()) {
		return
	}
	isTail := m.replica.Tail().GetIdentity() == m.self.GetIdentity()
	if m.View() == nil || !isTail || !m.replica.KnowsCommitted() {
		m.result(from, unavailable(order.GetId()))
		return
	}
	committed := m.replica.Committed()
	if committed.Generation() == 0 {
		m.result(from, unavailable(order.GetId()))
		return
	}
	result := &pb.OrderResult{Id: order.GetId(), Status: http.StatusOK}
	if order.GetHeld() == committed.Sequence() {
		result.HeldIsNewest = true
		m.check(from, result, nil)
		return
	}
	m.check(from, result, committed)
}
