// Package route compiles the operator's configuration into an immutable lookup table: the route of a request, the
// services of the route, and the settings of those services. A change creates a new table, so that readers need no lock.
// Package configitem parses the bodies of items. Servers are the subject of package placement.
// docs/design/regional.md describes the system around the package.
package route

import (
	"slices"
	"time"
)

// Kind says whether a request may be retried and what form its answer has.
type Kind uint8

// The kinds of route.
const (
	KindMutating   Kind = iota // runs at most once
	KindIdempotent             // may run more than once
	KindStreaming              // answered by a stream of events; runs at most once unless the route is resumable
)

// WeightedService is a service of a route's split, with its weight.
type WeightedService struct {
	Service string
	Weight  float64 // relative to the sum of the weights of the split
}

// Route is one route of the configuration. It is immutable.
type Route struct {
	Name           string
	Host           string // canonical: lower case, without a port
	PathPrefix     string // begins with a slash
	Kind           Kind
	Deadline       time.Duration     // maximum duration of a request; 0: not set
	Target         time.Duration     // latency within which an answer (a stream's first event) has its full value; 0: not set
	EventGapTarget time.Duration     // maximum gap between a stream's events that counts as in time; 0: not set
	Priority       int               // priority of requests; 0 is the most urgent
	Split          []WeightedService // weighted services; empty if no service can be parsed: all requests are rejected
	MaxAttempts    int               // maximum number of attempts of one request, each at another server; at least 1
	PromptAffinity bool              // requests list the chunks of their prompts
	Resumable      bool              // a stream may be resumed at another server
	HomeRegions    []string          // the only regions in which requests may be served; empty: any region

	total float64 // sum of the split's weights
}

// IsIdempotent reports whether a request of the route may run more than once.
func (r *Route) IsIdempotent() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStreaming && r.Resumable)
}

// MinSilenceLimit is the shortest silence after which a client gives up a stream.
const MinSilenceLimit = 2 * time.Second

// Clients give up a stream after a silence of the longest of MinSilenceLimit, silencePerTarget times the latency target
// and silencePerGap times the event gap target (the operators' page PROTOCOL, Requests).
const (
	silencePerTarget = 4
	silencePerGap    = 8
)

// SilenceLimit returns the silence after which a client gives up a stream, also before the first event. limited is
// false if the route's answers are no streams.
func (r *Route) SilenceLimit() (limit time.Duration, limited bool) {
	if r.Kind != KindStreaming {
		return 0, false
	}
	return max(MinSilenceLimit, silencePerTarget*r.Target, silencePerGap*r.EventGapTarget), true
}

// AllowsRegion reports whether the route's requests may be served in a region.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// PickService returns the service of a request, chosen by the weights of the split for a draw that is uniform in [0, 1).
// The result is empty if no weight is positive.
func (r *Route) PickService(draw float64) string {
	rest := draw * r.total
	picked := ""
	for _, weighted := range r.Split {
		if weighted.Weight <= 0 {
			continue
		}
		picked = weighted.Service
		if rest < weighted.Weight {
			break
		}
		rest -= weighted.Weight
	}
	return picked
}

// LeadsTo reports whether requests of the route may be sent to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Split, func(weighted WeightedService) bool {
		return weighted.Service == service && weighted.Weight > 0
	})
}

// Service is the configuration of a service and its servers. It is immutable.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int           // maximum number of connections that one server accepts from all callers together; 0: not set
	Warmup         time.Duration // how long a server warms up after a start; 0: no slow start
	WarmRate       float64       // requests per second that a server may get while warming up; 0: no slow start
	Runtime        *Runtime      // nil: not a model server
}

// HasSlowStart reports whether requests to servers of the service are limited while the servers warm up.
func (s *Service) HasSlowStart() bool { return s.Warmup > 0 && s.WarmRate > 0 }

// Runtime describes the engine of a model server.
type Runtime struct {
	Capacity    int // maximum number of concurrent requests
	CacheTokens int // tokens of the KV cache, shared by running requests and cached prefixes
	Stride      int // maximum number of tokens in an event of a stream
	Models      []string
}

// RequestLimits limits the size and duration of what clients send. Zero means not set.
type RequestLimits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderRead     time.Duration // maximum time to read a request's header
	KeepAlive      time.Duration // maximum idle time of a connection
}
