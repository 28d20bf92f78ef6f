package operatorapi

import (
	"context"
	"net/http"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/operator"
	"fieldrelay/internal/region/httpapi"
)

const (
	// submitTimeout bounds the wait for the result of an order with a small body: operators time out after a second.
	submitTimeout = 900 * time.Millisecond

	// submitTimeoutPerKiB extends the wait for each KiB of the body beyond smallBodyBytes: operators wait longer for the
	// results of large orders.
	submitTimeoutPerKiB = time.Millisecond

	// maxSubmitTimeout bounds the wait for the result of an order of any size.
	maxSubmitTimeout = 5 * time.Second

	// maxConcurrentOrders bounds the number of open orders at this machine.
	maxConcurrentOrders = 64
)

// ReplaceConfiguration replaces the whole configuration in force.
func (s *Server) ReplaceConfiguration(w http.ResponseWriter, r *http.Request, params operator.ReplaceConfigurationParams) {
	s.configure(w, r, pb.Order_KIND_REPLACE, params.XFieldrelayBaseRev)
}

// AmendConfiguration changes named items of the configuration in force.
func (s *Server) AmendConfiguration(w http.ResponseWriter, r *http.Request, params operator.AmendConfigurationParams) {
	s.configure(w, r, pb.Order_KIND_AMEND, params.XFieldrelayBaseRev)
}

// ReadConfiguration responds with the newest acknowledged configuration.
func (s *Server) ReadConfiguration(w http.ResponseWriter, r *http.Request) {
	s.submit(w, r, &pb.Order{Kind: pb.Order_KIND_READ})
}

// BeginEvacuation begins the evacuation of a zone: its servers get no new requests.
func (s *Server) BeginEvacuation(w http.ResponseWriter, r *http.Request, zone operator.Zone) {
	s.evacuate(w, r, &pb.Order{Kind: pb.Order_KIND_EVACUATE_BEGIN, Zone: zone})
}

// FinishEvacuation ends the evacuation of a zone.
func (s *Server) FinishEvacuation(w http.ResponseWriter, r *http.Request, zone operator.Zone) {
	s.evacuate(w, r, &pb.Order{Kind: pb.Order_KIND_EVACUATE_FINISH, Zone: zone})
}

// evacuate submits an order to evacuate a zone, unless the order may have been delayed in the network and its caller has
// disconnected.
func (s *Server) evacuate(w http.ResponseWriter, r *http.Request, order *pb.Order) {
	if !s.options.ZoneKnown(order.Zone) {
		s.reject(w, s.unknownZone(order.Zone))
		return
	}
	if !isFresh(r) && !callerStillConnected(r) {
		s.reject(w, &CallerDisconnectedError{})
		return
	}
	s.submit(w, r, order)
}

// unknownZone returns the rejection of an order for a zone that is not known here. A machine that is not authoritative
// may not have learned of a new zone yet.
func (s *Server) unknownZone(zone string) httpapi.RejectionError {
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
		s.reject(w, &httpapi.NotReadyError{})
		return
	}
	if r.ContentLength > s.options.MaxBodyBytes {
		s.reject(w, &httpapi.BodyTooLargeError{LimitBytes: s.options.MaxBodyBytes})
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

// submit submits an order and responds with its result.
func (s *Server) submit(w http.ResponseWriter, r *http.Request, order *pb.Order) {
	if !s.options.Ready() {
		s.reject(w, &httpapi.NotReadyError{})
		return
	}
	if !s.orderSlots.TryAcquire() {
		s.reject(w, &BusyError{})
		return
	}
	defer s.orderSlots.Release()
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeoutFor(len(order.Body)))
	defer cancel()
	s.writeResult(w, s.options.Orders.Submit(ctx, order))
}

// submitTimeoutFor returns the longest wait for the result of an order with a body of that size.
func submitTimeoutFor(bodyBytes int) time.Duration {
	beyond := max(0, bodyBytes-smallBodyBytes)
	timeout := submitTimeout + time.Duration(beyond>>10)*submitTimeoutPerKiB
	return min(timeout, maxSubmitTimeout)
}
