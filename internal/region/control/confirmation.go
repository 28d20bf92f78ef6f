package control

import (
	"bytes"
	"encoding/binary"
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// confirmationTimeout is how long a confirmation token may be used.
const confirmationTimeout = 600 * time.Millisecond

// confirmations guard evacuations, which unlike other orders leave no record of having been executed. A copy of an order
// that was answered long ago, late on its way, would undo what was ordered since. So the head issues a token for each
// evacuation that may be used once, in a result of status 100, and accepts the order only when it comes back with that
// token: an origin sends it again only while its caller waits for the answer. A token is of no use any more once another
// order on the same zone was executed after it was issued: the caller of that one may have waited for this one in vain
// before.
type confirmations struct {
	clock  *clock
	output *stepOutput
	ids    *idSequence

	issued []confirmation
	// executedAt holds, by zone, the newest number of ids when an order on the zone was executed last: tokens up to it
	// are superseded.
	executedAt map[string]uint64
}

// confirmation is a token that was issued for an order.
type confirmation struct {
	origin  string // identity
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

// redeem reports whether an order needs no confirmation, or came with the token issued for it, which is used up by that.
// If it did not, its origin is requested to confirm. A copy that came without the token does not take it back: two copies on their way
// at once would invalidate each other's tokens for as long as the order lives.
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

// discardInvalid forgets the tokens that are expired or superseded.
func (c *confirmations) discardInvalid() {
	c.issued = slices.DeleteFunc(c.issued, func(issued confirmation) bool {
		return c.clock.now >= issued.expires || c.isTokenSuperseded(issued.zone, issued.token)
	})
}

// isSuperseded reports whether another order on the zone was executed after the token of this one was issued.
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

// reset forgets the tokens at a view change: another machine may have been the head in between.
func (c *confirmations) reset() {
	c.issued = nil
	c.executedAt = nil
}
