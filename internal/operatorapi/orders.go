package operatorapi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/operator"
)

const (
	// submitTimeout is the longest wait for the result of an order with a small body: the caller waits a second.
	submitTimeout = 900 * time.Millisecond

	// smallBodyBytes is the size up to which a body counts as small.
	smallBodyBytes = 64 << 10

	// submitTimeoutPerKiB lengthens the wait for each KiB beyond a small body: callers wait longer for large ones.
	submitTimeoutPerKiB = time.Millisecond

	// maxSubmitTimeout bounds the wait whatever the size.
	maxSubmitTimeout = 5 * time.Second

	// bodyReadTimeout is the longest time in which a body may arrive.
	bodyReadTimeout = 10 * time.Second

	// maxConcurrentOrders bounds the orders under way at this machine.
	maxConcurrentOrders = 64

	// maxConcurrentLargeBodies bounds the bodies in memory that are not small.
	maxConcurrentLargeBodies = 3
)

// ReplaceConfiguration puts a whole configuration in force.
func (s *Server) ReplaceConfiguration(w http.ResponseWriter, r *http.Request, params operator.ReplaceConfigurationParams) {
	s.configure(w, r, pb.Order_KIND_REPLACE, params.XFieldrelayBaseRev)
}

// AmendConfiguration changes named items of the configuration in force.
func (s *Server) AmendConfiguration(w http.ResponseWriter, r *http.Request, params operator.AmendConfigurationParams) {
	s.configure(w, r, pb.Order_KIND_AMEND, params.XFieldrelayBaseRev)
}

// ReadConfiguration answers the newest acknowledged configuration.
func (s *Server) ReadConfiguration(w http.ResponseWriter, r *http.Request) {
	s.submit(w, r, &pb.Order{Kind: pb.Order_KIND_READ})
}

// BeginEvacuation begins to empty a zone.
func (s *Server) BeginEvacuation(w http.ResponseWriter, r *http.Request, zone operator.Zone) {
	s.evacuate(w, r, &pb.Order{Kind: pb.Order_KIND_EVACUATE_BEGIN, Zone: zone})
}

// FinishEvacuation takes the evacuation of a zone back.
func (s *Server) FinishEvacuation(w http.ResponseWriter, r *http.Request, zone operator.Zone) {
	s.evacuate(w, r, &pb.Order{Kind: pb.Order_KIND_EVACUATE_FINISH, Zone: zone})
}

func (s *Server) evacuate(w http.ResponseWriter, r *http.Request, order *pb.Order) {
	if !s.options.ZoneKnown(order.Zone) {
		s.reject(w, s.unknownZone(order.Zone))
		return
	}
	if !isFresh(r) && !callerRemains(r) {
		s.reject(w, &CallerGoneError{})
		return
	}
	s.submit(w, r, order)
}

// unknownZone is what an order on a zone that is not known here is refused with. A machine that is out of touch
// may only have missed that it was added.
func (s *Server) unknownZone(zone string) RejectionError {
	if !s.options.Authoritative() {
		return &NotAuthoritativeError{}
	}
	return &UnknownZoneError{Zone: zone}
}

// configure reads the body of a configuration order and submits it.
func (s *Server) configure(w http.ResponseWriter, r *http.Request, kind pb.Order_Kind, base *uint64) {
	if base == nil {
		s.reject(w, &MissingBaseError{})
		return
	}
	if !s.options.Ready() {
		s.reject(w, &NotReadyError{})
		return
	}
	if r.ContentLength > s.options.MaxBodyBytes {
		s.reject(w, &BodyTooLargeError{LimitBytes: s.options.MaxBodyBytes})
		return
	}
	large := &largeBodySlot{slots: s.largeBodySlots}
	defer large.release()
	body, err := s.readBody(w, r, large)
	if err != nil {
		s.reject(w, err)
		return
	}
	s.submit(w, r, &pb.Order{Kind: kind, Base: *base, Body: body})
}

// submit hands an order over and answers with its result.
func (s *Server) submit(w http.ResponseWriter, r *http.Request, order *pb.Order) {
	if !s.options.Ready() {
		s.reject(w, &NotReadyError{})
		return
	}
	if !tryAcquire(s.orderSlots) {
		s.reject(w, &BusyError{})
		return
	}
	defer releaseSlot(s.orderSlots)
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeoutFor(len(order.Body)))
	defer cancel()
	s.writeResult(w, s.options.Orders.Submit(ctx, order))
}

// submitTimeoutFor is the longest wait for the result of an order with a body of that size.
func submitTimeoutFor(bodyBytes int) time.Duration {
	beyond := max(0, bodyBytes-smallBodyBytes)
	limit := submitTimeout + time.Duration(beyond>>10)*submitTimeoutPerKiB
	return min(limit, maxSubmitTimeout)
}

// largeBodySlot is the place of one body among the large ones in memory, if it is large.
type largeBodySlot struct {
	slots    chan struct{}
	acquired bool
}

// claim takes a place. The error is a *BusyError if there is none.
func (l *largeBodySlot) acquire() error {
	if !tryAcquire(l.slots) {
		return &BusyError{}
	}
	l.acquired = true
	return nil
}

func (l *largeBodySlot) release() {
	if l.acquired {
		releaseSlot(l.slots)
	}
}

// readBody reads the whole body within the bounds of size and time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, large *largeBodySlot) ([]byte, error) {
	// An error only means that the connection's own limits stay in force.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
	limited := http.MaxBytesReader(w, r.Body, s.options.MaxBodyBytes)
	body, err := readAll(limited, r.ContentLength, large)
	if err == nil {
		return body, nil
	}
	if busy, full := errors.AsType[*BusyError](err); full {
		return nil, busy
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &BodyTooLargeError{LimitBytes: s.options.MaxBodyBytes}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &BodyTimeoutError{}
	}
	return nil, &BodyIncompleteError{Cause: err}
}

// readAll reads to the end, into a buffer of the right size if the length is known. A body claims its place
// once it is known to be large.
func readAll(reader io.Reader, length int64, large *largeBodySlot) ([]byte, error) {
	if length < 0 {
		return readUnsized(reader, large)
	}
	if length > smallBodyBytes {
		if err := large.acquire(); err != nil {
			return nil, err
		}
	}
	body := make([]byte, length)
	_, err := io.ReadFull(reader, body)
	if err != nil && length > 0 {
		return nil, err
	}
	return body, nil
}

// readUnsized reads a body whose length is not told.
func readUnsized(reader io.Reader, large *largeBodySlot) ([]byte, error) {
	start, err := io.ReadAll(io.LimitReader(reader, smallBodyBytes+1))
	if err != nil || len(start) <= smallBodyBytes {
		return start, err
	}
	if err := large.acquire(); err != nil {
		return nil, err
	}
	rest, err := io.ReadAll(reader)
	return append(start, rest...), err
}

// take takes one token if there is room.
func tryAcquire(tokens chan struct{}) bool {
	select {
	case tokens <- struct{}{}:
		return true
	default:
		return false
	}
}

func releaseSlot(tokens chan struct{}) { <-tokens }
