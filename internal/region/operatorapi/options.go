package operatorapi

import (
	"context"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// DefaultMaxBodyBytes is the default of Options.MaxBodyBytes, 16 MiB.
const DefaultMaxBodyBytes = 16 << 20

// Orders is the replicated control state as this package uses it.
type Orders interface {
	// Submit submits an order and waits for its result, at most until ctx ends. The status of the result is an HTTP
	// status; it is 503 if it is not known whether the order was executed.
	Submit(ctx context.Context, order *pb.Order) *pb.OrderResult
}

// Options configures a Server. All functions are required, are called concurrently and must not block.
type Options struct {
	// Orders executes the operator's orders. Required.
	Orders Orders

	// Ready reports whether this machine knows a view and can therefore submit orders. While it reports false, the
	// operator's calls are rejected at once with 503 and the code not_ready.
	Ready func() bool

	// Authoritative reports whether this machine's knowledge is confirmed by a majority. While it reports false, an
	// order for an unknown zone is rejected with 503 (out_of_touch) instead of 404: the zone may be new.
	Authoritative func() bool

	// ZoneKnown reports whether the deployment has a zone of this name. The evacuation of an unknown zone is rejected.
	ZoneKnown func(zone string) bool

	// Endpoints returns the edge addresses for clients of a host in a region and zone; each argument may be empty.
	// If it returns no address, the lookup is rejected with 503 (no_endpoints).
	Endpoints func(host, region, zone string) []string

	// EndpointsLifetime returns how long clients may use the answer to a lookup. It is sent in whole seconds, rounded
	// down, but as at least one.
	EndpointsLifetime func() time.Duration

	// MaxBodyBytes bounds the body of an order, in bytes; a larger one is rejected with 413. Default (0):
	// DefaultMaxBodyBytes.
	MaxBodyBytes int64

	// Counters counts calls. Default (nil): counters that only the server itself can access.
	Counters *Counters
}
