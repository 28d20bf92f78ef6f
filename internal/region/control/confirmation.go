package control

import (
	"bytes"
	"encoding/binary"
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// confirmationTimeout is how long a confirmation token is valid.
const confirmationTimeout = 600 * time.Millisecond

// confirmations protects evacuations against late duplicates. Unlike other orders, an evacuation leaves no record of
// its execution in the state, so a copy of it that arrives long after it was answered would undo later orders. The head
// therefore issues a single-use token for each evacuation, in a result of status 100, and executes the order only when
// the origin sends the order again with that token, which an origin does only while its caller waits for the answer. A
// token becomes invalid when another order on the same zone is executed after the token was issued: the operator may
// have given up waiting for the first order before submitting the other one.
type confirmations struct {
	clock  *clock
	output *stepOutput
	ids    *idSequence

	issued []confirmation
	// executedAt holds, by zone, the last number that ids had generated when an order on the zone was last executed.
	// Tokens up to that number are superseded.
	executedAt map[string]uint64
}

// confirmation is a token that was issued for an order.
type confirmation struct {
	origin  string // identity of the machine that forwarded the order
	id      uint64
	zone    string
	token   []byte
	expires time.Duration
}

// needsConfirmation reports whether an order is an evacuation.
func needsConfirmation(order *pb.Order) bool {
	kind := order.GetKind()
	return kind == pb.Order_KIND_EVACUATE_BEGIN || kind == pb.Order_KIND_EVACUATE_FINISH
}

// redeem reports whether an order needs no confirmation or carries the token that was issued for the order; the token
// then becomes invalid. Otherwise redeem sends the origin a token. For another copy of the order without a token,
// redeem sends the same token again instead of issuing a new one: two copies in flight would otherwise invalidate each
// other's tokens until the order expires.
func (c *confirmations) redeem(from *pb.Replica, order *pb.Order) bool {
	if !needsConfirmation(order) {
		return true
	}
	c.discardInvalid()
	index := slices.IndexFunc(c.issued, func(issued confirmation) bool {
		return issued.origin == from.GetIdentity() && issued.id == order.GetId()
	})
	if index < 0 {
		c.request(from, order)
		return false
	}
	token := c.issued[index].token
	if !bytes.Equal(token, order.GetBody()) {
		c.sendToken(from, order, token)
		return false
	}
	c.issued = slices.Delete(c.issued, index, index+1)
	return true
}

// request issues a token for an order and sends it to the origin.
func (c *confirmations) request(from *pb.Replica, order *pb.Order) {
	if len(c.issued) >= maxPendingOrders {
		return
	}
	issued := confirmation{
		origin:  from.GetIdentity(),
		id:      order.GetId(),
		zone:    order.GetZone(),
		token:   binary.BigEndian.AppendUint64(nil, c.ids.next()),
		expires: c.clock.now + confirmationTimeout,
	}
	c.issued = append(c.issued, issued)
	c.sendToken(from, order, issued.token)
}

func (c *confirmations) sendToken(to *pb.Replica, order *pb.Order, token []byte) {
	c.output.sendResult(to, &pb.OrderResult{Id: order.GetId(), Status: statusConfirm, Body: token})
}

// discardInvalid removes the tokens that are expired or superseded.
func (c *confirmations) discardInvalid() {
	c.issued = slices.DeleteFunc(c.issued, func(issued confirmation) bool {
		return c.clock.now >= issued.expires || c.isTokenSuperseded(issued.zone, issued.token)
	})
}

// isSuperseded reports whether another order on the zone was executed after the token of this order was issued.
func (c *confirmations) isSuperseded(order *pb.Order) bool {
	return needsConfirmation(order) && c.isTokenSuperseded(order.GetZone(), order.GetBody())
}

func (c *confirmations) isTokenSuperseded(zone string, token []byte) bool {
	return binary.BigEndian.Uint64(token) <= c.executedAt[zone]
}

// observeExecution supersedes all tokens issued so far for the zone of an order.
func (c *confirmations) observeExecution(order *pb.Order) {
	if !needsConfirmation(order) {
		return
	}
	if c.executedAt == nil {
		c.executedAt = make(map[string]uint64)
	}
	c.executedAt[order.GetZone()] = c.ids.last
}

// reset removes all tokens at a view change: another machine may have been the head since they were issued.
func (c *confirmations) reset() {
	c.issued = nil
	c.executedAt = nil
}
