package control

import (
	"net/http"

	"github.com/cockroachdb/errors"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/operatorapi/rejection"
)

// earlyOrderTimeout is how long an order is kept for the view that makes its receiver the head.
const earlyOrderTimeout = orderResendInterval

// headOrders are the orders that arrived at this machine as the head of the chain. One at a time goes through the chain:
// it is validated on the newest state, which is committed by then, proposed as a change, and answered once that is
// committed. Whatever is here is of the view in force; a view change drops it all, and the origins send it to the new
// head.
type headOrders struct {
	clock         *clock
	local         *localMachine
	replica       *chain.Replica
	replication   *replication
	output        *stepOutput
	checks        *quorumChecks
	confirmations *confirmations
	requirement   chain.Requirement

	queue  headQueue
	active *headOrder   // its change is on its way through the chain; nil if there is none
	early  []*headOrder // came while another machine was the head; this one may become it
}

// receive takes an order that was forwarded to this machine.
func (h *headOrders) receive(from *pb.Replica, order *pb.Order) {
	if h.contains(from, order.GetId()) {
		return
	}
	if !h.isHead() && viewInForce(h.replica) != nil {
		h.bufferEarly(from, order)
		return
	}
	if !h.acceptsOrders() || len(h.queue.orders) >= maxPendingOrders {
		h.output.sendResult(from, unavailable(order.GetId()))
		return
	}
	if !h.confirmations.redeem(from, order) {
		return
	}
	h.queue.orders = append(h.queue.orders, &headOrder{
		from: from, order: order, expires: h.clock.now + orderTimeoutOf(order),
	})
}

// bufferEarly keeps an order that came before the view by which this machine is the head, and sends the origin the view in
// force, in case it is the origin that is behind.
func (h *headOrders) bufferEarly(from *pb.Replica, order *pb.Order) {
	if len(h.early) < maxPendingOrders {
		h.early = append(h.early, &headOrder{from: from, order: order, expires: h.clock.now + earlyOrderTimeout})
	}
	h.output.sendView(from)
}

// enterView drops the orders of a view that was replaced, and takes the early ones if this machine is the head now.
func (h *headOrders) enterView() {
	early := h.early
	h.queue = headQueue{}
	h.active = nil
	h.early = nil
	h.confirmations.reset()
	h.checks.reset()
	for _, kept := range early {
		if h.isHead() && h.clock.now < kept.expires {
			h.receive(kept.from, kept.order)
		}
	}
}

func (h *headOrders) isHead() bool { return h.replica.Head().GetIdentity() == h.local.identity() }

// acceptsOrders reports whether this machine is the head of a chain that is long and wide enough.
func (h *headOrders) acceptsOrders() bool {
	view := viewInForce(h.replica)
	return view != nil && h.isHead() && h.requirement.MetBy(view.GetChain(), view.GetVoters())
}

// contains reports whether an order is here already: origins send again what is not answered.
func (h *headOrders) contains(from *pb.Replica, id uint64) bool {
	return h.active.is(from, id) || h.checks.contains(from, id) || h.queue.contains(from, id)
}

func (h *headOrders) tick() {
	h.queue.expire(h.clock.now)
	h.early = withoutExpired(h.early, h.clock.now)
}

// proposeNext gives the chain its next changes while it takes one.
func (h *headOrders) proposeNext() {
	for h.active == nil && len(h.queue.orders) > 0 && h.replica.AcceptsProposals() {
		next := h.queue.next()
		if h.clock.now < next.expires {
			h.execute(next)
		}
	}
}

// execute validates an order on the newest state, which is committed, and proposes its change. An order that changes
// nothing is answered after a quorum check: another head may have changed the state since.
func (h *headOrders) execute(next *headOrder) {
	if h.confirmations.isSuperseded(next.order) {
		h.confirmations.request(next.from, next.order)
		return
	}
	h.confirmations.observeExecution(next.order)
	change, err := prepareChange(h.replica.Newest(), next.order)
	if err != nil {
		h.refuse(next, err)
		return
	}
	if change == nil {
		h.checks.begin(next.from, &pb.OrderResult{Id: next.order.GetId(), Status: http.StatusOK})
		return
	}
	output, err := h.replica.Propose(change)
	if err != nil {
		h.output.sendResult(next.from, unavailable(next.order.GetId()))
		return
	}
	next.sequence = change.GetSequence()
	h.active = next
	h.replication.perform(output)
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

// refuse answers an order that leads to no change, once it is certain that this machine is still the head. An order on a
// later generation than the current one is not refused for good: a copy of it that is still on its way could be executed
// when that generation comes.
func (h *headOrders) refuse(next *headOrder, cause error) {
	var refusal catalog.OrderError
	isEarly := next.order.GetBase() > h.replica.Newest().Generation()
	if !errors.As(cause, &refusal) || (isEarly && refusal.Status() != http.StatusOK) {
		h.output.sendResult(next.from, unavailable(next.order.GetId()))
		return
	}
	result := &pb.OrderResult{
		Id:     next.order.GetId(),
		Status: uint32(refusal.Status()),
		Body:   refusalBody(refusal),
	}
	if refusal.Status() == http.StatusServiceUnavailable {
		h.output.sendResult(next.from, result)
		return
	}
	h.checks.begin(next.from, result)
}

func refusalBody(refusal catalog.OrderError) []byte {
	if refusal.Status() == http.StatusOK {
		return nil
	}
	return rejection.Body(refusal)
}

// answerCommitted answers the active order once its change is committed.
func (h *headOrders) answerCommitted() {
	active := h.active
	if active == nil || !h.replica.KnowsCommitted() || h.replica.Committed().Sequence() < active.sequence {
		return
	}
	h.active = nil
	h.output.sendResult(active.from, &pb.OrderResult{Id: active.order.GetId(), Status: http.StatusOK})
}
