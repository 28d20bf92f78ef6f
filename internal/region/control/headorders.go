package control

import (
	"net/http"

	"github.com/cockroachdb/errors"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/operatorapi/rejection"
)

// earlyOrderTimeout is how long an order is kept that has arrived before this machine entered the view in which it is
// the head.
const earlyOrderTimeout = orderResendInterval

// headOrders handles the orders that arrive at this machine as the head of the chain. One order at a time passes
// through the chain: the order is validated against the newest state, all of which is committed by then, proposed as a
// change, and answered once the change is committed. A view change drops all orders here; their origins send them to
// the new head.
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
	active *headOrder   // order whose change is in flight in the chain; nil if there is none
	early  []*headOrder // orders that arrived while another machine was the head
}

// receive handles an order that was forwarded to this machine.
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

// bufferEarly keeps an order that arrived at a machine that is not the head of the view in force. The origin may know a
// later view in which this machine is the head, or may know only an earlier view. For the second case, bufferEarly
// sends the view in force to the origin.
func (h *headOrders) bufferEarly(from *pb.Replica, order *pb.Order) {
	if len(h.early) < maxPendingOrders {
		h.early = append(h.early, &headOrder{from: from, order: order, expires: h.clock.now + earlyOrderTimeout})
	}
	h.output.sendView(from)
}

// enterView drops the orders of the previous view, and handles the early orders if this machine is the head now.
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

// acceptsOrders reports whether this machine is the head of a chain with the required numbers of replicas, zones and
// regions.
func (h *headOrders) acceptsOrders() bool {
	view := viewInForce(h.replica)
	return view != nil && h.isHead() && h.requirement.MetBy(view.GetChain(), view.GetVoters())
}

// contains reports whether an order is already being processed: origins send an unanswered order repeatedly.
func (h *headOrders) contains(from *pb.Replica, id uint64) bool {
	return h.active.is(from, id) || h.checks.contains(from, id) || h.queue.contains(from, id)
}

func (h *headOrders) tick() {
	h.queue.expire(h.clock.now)
	h.early = withoutExpired(h.early, h.clock.now)
}

// proposeNext executes queued orders until one of them has a change in flight or the replica accepts no proposal.
func (h *headOrders) proposeNext() {
	for h.active == nil && len(h.queue.orders) > 0 && h.replica.AcceptsProposals() {
		next := h.queue.next()
		if h.clock.now < next.expires {
			h.execute(next)
		}
	}
}

// execute validates an order against the newest state, which is committed, and proposes its change. An order that
// changes nothing is answered after a quorum check, because another head may have changed the state since.
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

// prepareChange returns the change that an order makes; nil if the order changes nothing.
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

// refuse answers an order that makes no change, after a quorum check that this machine is still the head. An order on a
// generation later than the current one is answered 503 instead of being refused: a late copy of it could be executed
// once that generation exists.
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
