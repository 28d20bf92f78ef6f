package control

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/chain"
)

// originOrders are the orders that were submitted at this machine, the oldest first. It forwards each to the head of the
// chain, or to one member after the other if it is a read, again and again until it has an answer or time is up, and
// answers it once.
type originOrders struct {
	clock   *clock
	local   *localMachine
	peers   *peerTable
	replica *chain.Replica
	output  *stepOutput

	pending []*pendingOrder
	// lastID begins at random in each run of this process, so that results of orders of an earlier run match none.
	lastID uint64
}

type pendingOrder struct {
	request  uint64
	order    *pb.Order
	deadline time.Duration
	sentAt   time.Duration
	target   string // identity of the machine that it was forwarded to last; empty: there was none
	// earlierTargets are the machines that a read was forwarded to before in the view in force.
	earlierTargets []string
	// heldState is what this machine knew to be committed when it forwarded a read last; nil: nothing.
	heldState *catalog.Snapshot
}

// submit accepts an order of the operator and forwards it. An order that may have waited for a stalled process is
// refused: its caller may have given up, and may have ordered something else since.
func (o *originOrders) submit(event OrderSubmitted) {
	if cause := o.rejectionCause(); cause != "" {
		o.output.add(Reply{Request: event.Request, Result: unavailable(0), Cause: cause})
		return
	}
	o.lastID++
	order := event.Order
	pending := &pendingOrder{
		request: event.Request,
		order: &pb.Order{
			Id:   o.lastID,
			Kind: order.GetKind(),
			Base: order.GetBase(),
			Zone: order.GetZone(),
			Body: order.GetBody(),
		},
		deadline: o.clock.now + orderTimeoutOf(order),
	}
	o.pending = append(o.pending, pending)
	o.forward(pending)
}

// rejectionCause is why no order is accepted now; empty: none is in the way.
func (o *originOrders) rejectionCause() UnavailableCause {
	switch {
	case !o.peers.hasMajority(viewInForce(o.replica)):
		return CauseNoMajority
	case o.clock.isStalled():
		return CauseStalled
	case len(o.pending) >= maxPendingOrders:
		return CauseFull
	default:
		return ""
	}
}

// cancel forgets an order whose caller has gone: it is neither sent again nor confirmed.
func (o *originOrders) cancel(request uint64) {
	o.pending = slices.DeleteFunc(o.pending, func(pending *pendingOrder) bool {
		return pending.request == request
	})
}

// forward sends an order to the head, or to a member of the chain if it is a read.
func (o *originOrders) forward(pending *pendingOrder) {
	pending.sentAt = o.clock.now
	target := o.replica.Head()
	if pending.order.GetKind() == pb.Order_KIND_READ {
		target = o.readTarget(len(pending.earlierTargets))
		o.attachHeldState(pending)
	}
	pending.target = target.GetIdentity()
	if target != nil {
		o.output.send(target, &pb.Message{Body: &pb.Message_Order{Order: pending.order}})
	}
}

// readTarget is the member of the chain that a read goes to at an attempt, counted from 0: the tail, where what is
// committed is known first, then this machine if it is a member, then the others. The link of any of them may be so full
// that it answers too late.
func (o *originOrders) readTarget(attempt int) *pb.Replica {
	members := slices.Clone(viewInForce(o.replica).GetChain())
	if len(members) == 0 {
		return nil
	}
	slices.Reverse(members)
	tail, others := members[0], members[1:]
	slices.SortStableFunc(others, func(a, b *pb.Replica) int {
		return cmp.Compare(o.readRank(a), o.readRank(b))
	})
	return append([]*pb.Replica{tail}, others...)[attempt%len(members)]
}

// readRank puts this machine before the others.
func (o *originOrders) readRank(member *pb.Replica) int {
	if o.local.is(member) {
		return 0
	}
	return 1
}

// attachHeldState names to a member what this machine holds itself: if that is the newest state, the configuration, which
// may be large, need not come from there.
func (o *originOrders) attachHeldState(pending *pendingOrder) {
	pending.heldState = o.replica.Committed()
	pending.order = &pb.Order{
		Id:   pending.order.GetId(),
		Kind: pb.Order_KIND_READ,
		Held: pending.heldState.Sequence(),
	}
}

// forwardAll sends all pending orders to the chain of a new view. Forwarding to this machine itself may answer an order,
// hence the copy of the list.
func (o *originOrders) forwardAll() {
	for _, pending := range slices.Clone(o.pending) {
		pending.earlierTargets = nil
		o.forward(pending)
	}
}

func (o *originOrders) tick() {
	for _, pending := range slices.Clone(o.pending) {
		switch {
		case o.clock.now >= pending.deadline:
			o.answerWithCause(pending, unavailable(pending.order.GetId()), CauseTimeout)
		case o.clock.now-pending.sentAt >= orderResendInterval+transferTime(len(pending.order.GetBody())):
			o.forwardAgain(pending)
		}
	}
}

// forwardAgain sends an order that is not answered yet to the head once more, or to another member if it is a read.
func (o *originOrders) forwardAgain(pending *pendingOrder) {
	if pending.order.GetKind() == pb.Order_KIND_READ {
		pending.earlierTargets = append(pending.earlierTargets, pending.target)
	}
	o.forward(pending)
}

// isTarget reports whether an order was forwarded to a machine in the view in force.
func (p *pendingOrder) isTarget(from *pb.Replica) bool {
	return p.target == from.GetIdentity() || slices.Contains(p.earlierTargets, from.GetIdentity())
}

// receiveResult answers the operator, or confirms the order if the head asks for that. A result that comes twice or too
// late is dropped, as is one of a machine that the order was not forwarded to in the view in force: a machine that was
// the head or a member of the chain of an earlier view no longer speaks for the chain.
func (o *originOrders) receiveResult(from *pb.Replica, result *pb.OrderResult) {
	pending := o.find(result.GetId())
	switch {
	case pending == nil || !pending.isTarget(from):
	case result.GetStatus() == statusConfirm:
		o.confirm(pending, result.GetBody())
	case result.GetHeldIsNewest() && pending.heldState == nil:
		// it answers another order: this one named no state
	case result.GetHeldIsNewest():
		o.answer(pending, readResult(result.GetId(), pending.heldState))
	case isUnansweredRead(pending, result) && pending.target != from.GetIdentity():
		// the member that was asked last may still answer
	case isUnansweredRead(pending, result) && o.hasUntriedMember(pending):
		o.forwardAgain(pending)
	default:
		o.answer(pending, result)
	}
}

// isUnansweredRead reports whether a result is that of a member of the chain that cannot answer a read now.
func isUnansweredRead(pending *pendingOrder, result *pb.OrderResult) bool {
	return pending.order.GetKind() == pb.Order_KIND_READ && result.GetStatus() == http.StatusServiceUnavailable
}

// hasUntriedMember reports whether the chain has a member that a read was not forwarded to yet.
func (o *originOrders) hasUntriedMember(pending *pendingOrder) bool {
	return len(pending.earlierTargets)+1 < len(viewInForce(o.replica).GetChain())
}

// confirm sends an order again with the token that the head has issued for it. It does not once the order's time is up:
// a token must only come back while the caller waits.
func (o *originOrders) confirm(pending *pendingOrder, token []byte) {
	if o.clock.now >= pending.deadline {
		return
	}
	order := pending.order
	pending.order = &pb.Order{Id: order.GetId(), Kind: order.GetKind(), Zone: order.GetZone(), Body: token}
	o.forward(pending)
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
func (o *originOrders) answer(pending *pendingOrder, result *pb.OrderResult) {
	cause := UnavailableCause("")
	if result.GetStatus() == http.StatusServiceUnavailable {
		cause = CauseRejected
	}
	o.answerWithCause(pending, result, cause)
}

func (o *originOrders) answerWithCause(pending *pendingOrder, result *pb.OrderResult, cause UnavailableCause) {
	index := slices.Index(o.pending, pending)
	if index < 0 {
		return
	}
	o.pending = slices.Delete(o.pending, index, index+1)
	o.output.add(Reply{Request: pending.request, Result: result, Cause: cause})
}
