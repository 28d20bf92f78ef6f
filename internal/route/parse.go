package route

import (
	"encoding/json"
	"math"
	"strings"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Longest time that is taken from a configuration: larger figures mean "without bound" and must not overflow.
const longestTime = 24 * time.Hour

// Words for the kinds of route.
const (
	wordStreaming  = "streaming"
	wordIdempotent = "idempotent"
	wordMutating   = "mutating"
)

// routeBody is a route as the operator sends it. Numbers may be fractions.
type routeBody struct {
	Host       string      `json:"vhost"`
	PathPrefix string      `json:"path-prefix"`
	Kind       string      `json:"route-kind"`
	DeadlineMS float64     `json:"deadline-ms"`
	TargetMS   float64     `json:"target-ms"`
	Priority   float64     `json:"prio"`
	Service    string      `json:"backend"`
	Split      []shareBody `json:"split"`
	Tries      float64     `json:"tries"`
	Pinned     bool        `json:"pinned"`
	Resumable  bool        `json:"resumable"`
	GapAimMS   float64     `json:"gap_aim_ms"`
	Homes      []string    `json:"home-regions"`
}

type shareBody struct {
	Service string  `json:"backend"`
	Share   float64 `json:"share"`
}

// serviceBody is a service as the operator sends it.
type serviceBody struct {
	HealthPath     string       `json:"health-path"`
	MaxConnections float64      `json:"max-conns"`
	WarmupS        float64      `json:"warmup-s"`
	WarmRate       float64      `json:"warm-rate-s"`
	Runtime        *runtimeBody `json:"runtime"`
}

type runtimeBody struct {
	Capacity    float64     `json:"capacity"`
	CacheTokens float64     `json:"kv-cap"`
	Stride      float64     `json:"stride"`
	Models      []modelBody `json:"models"`
}

type modelBody struct {
	Name string `json:"name"`
}

// limitsBody is the setting "req-limits" as the operator sends it.
type limitsBody struct {
	MaxHeaderBytes float64 `json:"max-header-bytes"`
	MaxBodyBytes   float64 `json:"max-body-bytes"`
	HeaderReadMS   float64 `json:"header-read-ms"`
	KeepAliveMS    float64 `json:"keepalive-ms"`
}

func parseRoute(item *pb.Item) (*Route, error) {
	var body routeBody
	if err := json.Unmarshal(item.GetBody(), &body); err != nil {
		return nil, unreadable(err)
	}
	kind, err := parseKind(body.Kind)
	if err != nil {
		return nil, err
	}
	if body.PathPrefix == "" {
		return nil, FaultNoPrefix
	}
	if min(body.DeadlineMS, body.TargetMS, body.GapAimMS, body.Priority, body.Tries) < 0 {
		return nil, FaultNegative
	}
	route := &Route{
		Name:        item.GetName(),
		Host:        CanonicalHost(body.Host),
		PathPrefix:  body.PathPrefix,
		Kind:        kind,
		Deadline:    milliseconds(body.DeadlineMS),
		Target:      milliseconds(body.TargetMS),
		GapAim:      milliseconds(body.GapAimMS),
		Priority:    count(body.Priority),
		Tries:       max(count(body.Tries), 1),
		Pinned:      body.Pinned,
		Resumable:   body.Resumable,
		HomeRegions: body.Homes,
	}
	route.Split, route.total, err = parseSplit(&body)
	return route, err
}

// parseSplit gives a route's services and the sum of their weights.
func parseSplit(body *routeBody) ([]Share, float64, error) {
	if len(body.Split) == 0 {
		if body.Service == "" {
			return nil, 0, FaultNoService
		}
		return []Share{{Service: body.Service, Weight: 1}}, 1, nil
	}
	split := make([]Share, 0, len(body.Split))
	total := 0.0
	for _, share := range body.Split {
		if share.Share < 0 {
			return nil, 0, FaultNegative
		}
		split = append(split, Share{Service: share.Service, Weight: share.Share})
		total += share.Share
	}
	if total <= 0 || math.IsInf(total, 0) {
		return nil, 0, FaultNoService
	}
	return split, total, nil
}

func parseKind(word string) (Kind, error) {
	switch word {
	case wordStreaming:
		return KindStreaming, nil
	case wordIdempotent:
		return KindIdempotent, nil
	case wordMutating, "": // what may run at most once is the safe reading
		return KindMutating, nil
	}
	return KindMutating, FaultKind
}

func parseService(item *pb.Item) (*Service, error) {
	var body serviceBody
	if err := json.Unmarshal(item.GetBody(), &body); err != nil {
		return nil, unreadable(err)
	}
	if min(body.MaxConnections, body.WarmupS, body.WarmRate) < 0 {
		return nil, FaultNegative
	}
	service := &Service{
		Name:           item.GetName(),
		HealthPath:     body.HealthPath,
		MaxConnections: count(body.MaxConnections),
		Warmup:         milliseconds(body.WarmupS * 1000),
		WarmRate:       body.WarmRate,
	}
	if body.Runtime != nil {
		service.Runtime = parseRuntime(body.Runtime)
	}
	return service, nil
}

func parseRuntime(body *runtimeBody) *Runtime {
	runtime := &Runtime{
		Capacity:    count(body.Capacity),
		CacheTokens: count(body.CacheTokens),
		Stride:      count(body.Stride),
	}
	for _, model := range body.Models {
		runtime.Models = append(runtime.Models, model.Name)
	}
	return runtime
}

func parseLimits(item *pb.Item) (RequestLimits, error) {
	var body limitsBody
	if err := json.Unmarshal(item.GetBody(), &body); err != nil {
		return RequestLimits{}, unreadable(err)
	}
	if min(body.MaxHeaderBytes, body.MaxBodyBytes, body.HeaderReadMS, body.KeepAliveMS) < 0 {
		return RequestLimits{}, FaultNegative
	}
	return RequestLimits{
		MaxHeaderBytes: int64(count(body.MaxHeaderBytes)),
		MaxBodyBytes:   int64(count(body.MaxBodyBytes)),
		HeaderRead:     milliseconds(body.HeaderReadMS),
		KeepAlive:      milliseconds(body.KeepAliveMS),
	}, nil
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(min(max(ms, 0), float64(longestTime/time.Millisecond)) * float64(time.Millisecond))
}

// count gives a whole number from a figure that may be a fraction or out of range.
func count(figure float64) int {
	return int(min(max(figure, 0), math.MaxInt32))
}

// CanonicalHost is a host without its port and in lower case.
func CanonicalHost(host string) string { return strings.ToLower(withoutPort(host)) }

// withoutPort cuts ":port" off a host, which may be an IPv6 address in brackets.
func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.IndexByte(host[colon:], ']') >= 0 {
		return host
	}
	return host[:colon]
}
