// Package route holds the operator's configuration as an immutable table: which route a request takes, which
// service a route leads to, and what is known of a service. A change makes a new table; readers never wait.
package route

import (
	"slices"
	"time"
)

// Kind tells what a repeat of a request may do and what its answer looks like.
type Kind uint8

// The kinds of route.
const (
	KindMutating   Kind = iota // runs at most once
	KindIdempotent             // may run more than once
	KindStreaming              // answered by a series of events; runs at most once unless it is resumable
)

// WeightedService is one service of a route's split.
type WeightedService struct {
	Service string
	Weight  float64 // relative to the sum over the split
}

// Route is one route of the configuration. It is immutable.
type Route struct {
	Name           string
	Host           string // canonical: lower case, without a port
	PathPrefix     string // begins with a slash
	Kind           Kind
	Deadline       time.Duration     // longest that a request may be held
	Target         time.Duration     // an answer (a stream's first event) within this has its full worth; 0: not told
	EventGapTarget time.Duration     // longest pause between a stream's events that is still in time; 0: not told
	Priority       int               // 0 is the most urgent
	Split          []WeightedService // empty if no service can be read: requests can only be refused
	MaxAttempts    int               // most servers to which one request may be sent; at least 1
	PromptAffinity bool              // requests name the parts of their prompts
	Resumable      bool              // a stream may be taken up at another server
	HomeRegions    []string          // the only regions where it may be served; empty: any

	total float64 // of the split's weights
}

// IsIdempotent tells whether a request of the route may run more than once.
func (r *Route) IsIdempotent() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStreaming && r.Resumable)
}

// AllowsRegion tells whether the route's requests may be served in a region.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// PickService gives the service of a request by the shares of the split. draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) string {
	rest := draw * r.total
	picked := ""
	for _, share := range r.Split {
		if share.Weight <= 0 {
			continue
		}
		picked = share.Service
		if rest < share.Weight {
			break
		}
		rest -= share.Weight
	}
	return picked
}

// LeadsTo tells whether requests of the route may go to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Split, func(share WeightedService) bool {
		return share.Service == service && share.Weight > 0
	})
}

// Service is what the configuration says of a service's servers. It is immutable.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int           // that one server accepts from all callers together; 0: not told
	Warmup         time.Duration // how long a server stays cold after a start; 0: never cold
	WarmRate       float64       // requests a second that a cold server bears; 0: never cold
	Runtime        *Runtime      // nil: not a model server
}

// HasSlowStart tells whether servers of the service can be cold at all.
func (s *Service) HasSlowStart() bool { return s.Warmup > 0 && s.WarmRate > 0 }

// Runtime describes the engine of a model server.
type Runtime struct {
	Capacity    int // requests that run at once
	CacheTokens int // tokens that running requests and kept parts share
	Stride      int // tokens that an event of a stream may hold
	Models      []string
}

// RequestLimits bound what a client may send and how long it may take. Zero means not told.
type RequestLimits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderRead     time.Duration
	KeepAlive      time.Duration // how long a connection may stay idle
}
