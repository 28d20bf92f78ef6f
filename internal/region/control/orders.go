package control

import (
	"net/http"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

// Timeouts and limits of orders.
const (
	// orderTimeout is the time after which an order is answered 503; the transferTime of the body is added.
	orderTimeout = 900 * time.Millisecond
	// orderResendInterval is the time after which an unanswered order is resent; the transferTime of the body is added.
	orderResendInterval = 300 * time.Millisecond
	// minLinkRate is the minimum rate, in bytes per second, at which a link is assumed to transfer a message.
	minLinkRate = 250_000
	// maxPendingOrders is the maximum number of pending orders of one machine as their origin, and separately as the
	// head.
	maxPendingOrders = 64
)

// statusConfirm is the status of a result by which the head requests a confirmation (see confirmations).
const statusConfirm = http.StatusContinue

// transferTime is the time that a body of this length takes on a link at minLinkRate.
func transferTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / minLinkRate
}

// orderTimeoutOf is the timeout of an order, including the transfer of its body.
func orderTimeoutOf(order *pb.Order) time.Duration {
	return orderTimeout + transferTime(len(order.GetBody()))
}

func unavailable(id uint64) *pb.OrderResult {
	return &pb.OrderResult{Id: id, Status: http.StatusServiceUnavailable}
}

// readResult returns the result of a read: the configuration in a state.
func readResult(id uint64, state *catalog.Snapshot) *pb.OrderResult {
	body, err := state.Configuration()
	if err != nil {
		return &pb.OrderResult{Id: id, Status: http.StatusInternalServerError}
	}
	return &pb.OrderResult{Id: id, Status: http.StatusOK, Body: body}
}

// idSequence generates numbers that are unique within a run of the process. It starts at a random value, so that
// numbers of different runs rarely coincide. Quorum checks and confirmation tokens share one sequence, so that their
// numbers are ordered among each other.
type idSequence struct{ last uint64 }

func (s *idSequence) next() uint64 {
	s.last++
	return s.last
}
