package route

import (
	"math"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/configitem"
	"fieldrelay/internal/region/jsonwalk"
)

// maxTime is the upper bound of durations in a configuration. Larger values stand for "unlimited", and would overflow.
const maxTime = 24 * time.Hour

// parseRoute parses the route of an item, and returns the faults of the item. The route is nil if its host or path prefix
// is invalid, since no request can match it. Any other invalid member is treated as missing. A route without services is
// kept, since its requests must be rejected (503) and not answered as unknown (404).
func parseRoute(item *pb.Item) (*Route, []configitem.FieldError) {
	object, faults := configitem.Object(item.GetBody())
	if faults != nil {
		return nil, faults
	}
	body := configitem.ParseRoute(object)
	match, faults := body.Match()
	if faults != nil {
		return nil, faults
	}
	deadline, faults := body.Deadline()
	destination, problems := body.Destination()
	faults = append(faults, problems...)
	options, problems := body.Options()
	faults = append(faults, problems...)
	route := &Route{
		Name:           item.GetName(),
		Host:           match.Host,
		PathPrefix:     match.Prefix,
		Kind:           kindOf(options.Kind),
		Deadline:       deadlineOf(deadline),
		Target:         milliseconds(options.Target),
		EventGapTarget: milliseconds(options.EventGapTarget),
		Priority:       integer(options.Priority),
		MaxAttempts:    max(integer(options.MaxAttempts), 1),
		PromptAffinity: options.PromptAffinity,
		Resumable:      options.Resumable,
		HomeRegions:    options.HomeRegions,
	}
	route.Split, route.total = splitOf(destination)
	return route, faults
}

// splitOf returns a route's weighted services and the sum of their weights.
func splitOf(destination configitem.Destination) ([]WeightedService, float64) {
	if len(destination.Split) == 0 {
		if len(destination.Service) == 0 {
			return nil, 0
		}
		return []WeightedService{{Service: jsonwalk.TextOf(destination.Service), Weight: 1}}, 1
	}
	split := make([]WeightedService, 0, len(destination.Split))
	total := 0.0
	for _, weighted := range destination.Split {
		split = append(split, WeightedService{Service: jsonwalk.TextOf(weighted.Service), Weight: weighted.Weight})
		total += weighted.Weight
	}
	return split, total
}

// kindOf converts a route's kind in the configuration. Missing and unknown kinds are converted to KindMutating.
func kindOf(kind configitem.Kind) Kind {
	switch kind {
	case configitem.KindStreaming:
		return KindStreaming
	case configitem.KindIdempotent:
		return KindIdempotent
	default:
		return KindMutating
	}
}

// parseService parses the service of an item, and returns the faults of the item. An invalid member is treated as missing.
func parseService(item *pb.Item) (*Service, []configitem.FieldError) {
	body, faults := configitem.ParseService(item.GetBody())
	service := &Service{
		Name:           item.GetName(),
		HealthPath:     body.HealthPath,
		MaxConnections: integer(body.MaxConnections),
		Warmup:         milliseconds(body.Warmup * 1000),
		WarmRate:       body.WarmRate,
	}
	if body.Runtime != nil {
		service.Runtime = &Runtime{
			Capacity:    integer(body.Runtime.Capacity),
			CacheTokens: integer(body.Runtime.CacheTokens),
			Stride:      integer(body.Runtime.Stride),
			Models:      body.Runtime.Models,
		}
	}
	return service, faults
}

// parseLimits parses the request limits of an item, and returns the faults of the item. An invalid member is treated as
// missing.
func parseLimits(item *pb.Item) (RequestLimits, []configitem.FieldError) {
	body, faults := configitem.ParseLimits(item.GetBody())
	limits := RequestLimits{
		MaxHeaderBytes: int64(integer(body.MaxHeader)),
		MaxBodyBytes:   int64(integer(body.MaxBody)),
		HeaderRead:     milliseconds(body.HeaderRead),
		KeepAlive:      milliseconds(body.KeepAlive),
	}
	return limits, faults
}

// milliseconds converts a number of milliseconds, clamped to the range from 0 to maxTime.
func milliseconds(ms float64) time.Duration {
	return time.Duration(min(max(ms, 0), float64(maxTime/time.Millisecond)) * float64(time.Millisecond))
}

// deadlineOf converts a route's deadline in milliseconds. A positive deadline is never rounded to 0, which means no
// deadline.
func deadlineOf(ms float64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return max(milliseconds(ms), 1)
}

// integer truncates a number to an integer, clamped to the range from 0 to math.MaxInt32.
func integer(number float64) int {
	return int(min(max(number, 0), math.MaxInt32))
}
