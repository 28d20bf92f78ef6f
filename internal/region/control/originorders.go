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

// originOrders handles the orders that were submitted at this machine, oldest first. It forwards each order repeatedly
// until a result arrives or the deadline passes, to the head of the chain, or for a read to one chain member after
// another. It answers each order exactly once.
type originOrders struct {
	clock   *clock
	local   *localMachine
	peers   *peerTable
	replica *chain.Replica
	output  *stepOutput

	pending []*pendingOrder
	// lastID starts at a random value in each run of the process, so that no result for an order of an earlier run
	// matches an order of this run.
	lastID uint64
}

type pendingOrder struct {
	request  uint64
	order    *pb.Order
	deadline time.Duration
	sentAt   time.Duration
	target   string // identity of the machine that the order was last forwarded to; empty: there was no target
	// earlierTargets are the members that a read was forwarded to before target, in the view in force.
	earlierTargets []string
	// localState is the committed state that this machine held when it last forwarded a read; nil: there was none.
	localState *catalog.Snapshot
}

// submit accepts an order of the operator and forwards it. Orders that may have waited for a stalled process are
// rejected: their callers may have given up and submitted other orders since.
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

// rejectionCause returns the reason why no order is accepted now; empty: orders are accepted.
func (o *originOrders) rejectionCause() UnavailableCause {
	switch {
	case !o.peers.hasMajority(viewInForce(o.replica)):
		return CauseNoMajority
	case o.clock.isStalled():
		return CauseStalled
	case len(o.pending) >= maxPendingOrders:
		return CauseTooManyPending
	default:
		return ""
	}
}

// cancel drops an order whose caller no longer waits: the order is neither resent nor confirmed any more.
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
		o.attachLocalSequence(pending)
	}
	pending.target = target.GetIdentity()
	if target != nil {
		o.output.send(target, &pb.Message{Body: &pb.Message_Order{Order: pending.order}})
	}
}

// readTarget returns the chain member to send a read to at an attempt, counted from 0: first the tail, which is the
// first member to know that a change is committed, then this machine if it is a member, then the other members.
// Attempts differ in their targets because the link of a member may be so congested that its answer is too late.
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

// readRank is the sort key by which this machine precedes the other members.
func (o *originOrders) readRank(member *pb.Replica) int {
	if o.local.is(member) {
		return 0
	}
	return 1
}

// attachLocalSequence sets in a read the sequence of the committed state that this machine holds. If that state is the
// newest, the chain member that answers omits the configuration, which may be large.
func (o *originOrders) attachLocalSequence(pending *pendingOrder) {
	pending.localState = o.replica.Committed()
	pending.order = &pb.Order{
		Id:   pending.order.GetId(),
		Kind: pb.Order_KIND_READ,
		Held: pending.localState.Sequence(),
	}
}

// forwardAll sends all pending orders to the chain of a new view. An order forwarded to this machine itself may be
// answered at once, so the loop iterates over a copy of the list.
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

// forwardAgain resends an unanswered order to the head, or to the next member if it is a read.
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

// receiveResult answers the operator, or confirms the order if the head requests that. Duplicate and late results are
// dropped, as are results of machines that the order was not forwarded to in the view in force: the head or a chain
// member of an earlier view does not speak for the chain any more.
func (o *originOrders) receiveResult(from *pb.Replica, result *pb.OrderResult) {
	pending := o.find(result.GetId())
	switch {
	case pending == nil || !pending.isTarget(from):
	case result.GetStatus() == statusConfirm:
		o.confirm(pending, result.GetBody())
	case result.GetHeldIsNewest() && pending.localState == nil:
		// the result belongs to another order, since this order named no state
	case result.GetHeldIsNewest():
		o.answer(pending, readResult(result.GetId(), pending.localState))
	case isUnansweredRead(pending, result) && pending.target != from.GetIdentity():
		// the member that the read was last forwarded to may still answer
	case isUnansweredRead(pending, result) && o.hasUntriedMember(pending):
		o.forwardAgain(pending)
	default:
		o.answer(pending, result)
	}
}

// isUnansweredRead reports whether a result says that a chain member cannot answer a read now.
func isUnansweredRead(pending *pendingOrder, result *pb.OrderResult) bool {
	return pending.order.GetKind() == pb.Order_KIND_READ && result.GetStatus() == http.StatusServiceUnavailable
}

// hasUntriedMember reports whether the chain has a member that a read was not forwarded to yet.
func (o *originOrders) hasUntriedMember(pending *pendingOrder) bool {
	return len(pending.earlierTargets)+1 < len(viewInForce(o.replica).GetChain())
}

// confirm resends an order with the token that the head issued for it. After the order's deadline, confirm does
// nothing: a token may only be returned while the caller waits.
func (o *originOrders) confirm(pending *pendingOrder, token []byte) {
	if o.clock.now >= pending.deadline {
		return
	}
	order := pending.order
	pending.order = &pb.Order{Id: order.GetId(), Kind: order.GetKind(), Zone: order.GetZone(), Body: token}
	o.forward(pending)
}

// find returns the pending order with an id; nil if there is none.
func (o *originOrders) find(id uint64) *pendingOrder {
	for _, pending := range o.pending {
		if pending.order.GetId() == id {
			return pending
		}
	}
	return nil
}

// answer passes the result of an order to its caller and removes the order, so that it is answered once.
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
