package route

import (
	"math"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/configitem"
	"fieldrelay/internal/jsonwalk"
)

// Longest time that is taken from a configuration: larger figures mean "without bound" and must not overflow.
const longestTime = 24 * time.Hour

// parseRoute gives the route of an item, with what is wrong with it. It is nil if no request can be matched with it;
// anything else that cannot be used counts as missing. A route without services is kept, since its requests are to be
// refused (503) and not denied (404).
func parseRoute(item *pb.Item) (*Route, []configitem.Fault) {
	object, faults := configitem.Object(item.GetBody())
	if faults != nil {
		return nil, faults
	}
	body := configitem.ParseRoute(object)
	place, faults := body.Match()
	if faults != nil {
		return nil, faults
	}
	deadline, faults := body.Deadline()
	destination, more := body.Destination()
	faults = append(faults, more...)
	terms, more := body.Terms()
	faults = append(faults, more...)
	route := &Route{
		Name:           item.GetName(),
		Host:           place.Host,
		PathPrefix:     place.Prefix,
		Kind:           kindOf(terms.Kind),
		Deadline:       deadlineOf(deadline),
		Target:         milliseconds(terms.Target),
		EventGapTarget: milliseconds(terms.EventGapTarget),
		Priority:       count(terms.Priority),
		MaxAttempts:    max(count(terms.MaxAttempts), 1),
		PromptAffinity: terms.PromptAffinity,
		Resumable:      terms.Resumable,
		HomeRegions:    terms.HomeRegions,
	}
	route.Split, route.total = splitOf(destination)
	return route, faults
}

// splitOf gives a route's services and the sum of their weights.
func splitOf(destination configitem.Destination) ([]WeightedService, float64) {
	if len(destination.Shares) == 0 {
		if len(destination.Service) == 0 {
			return nil, 0
		}
		return []WeightedService{{Service: jsonwalk.TextOf(destination.Service), Weight: 1}}, 1
	}
	split := make([]WeightedService, 0, len(destination.Shares))
	total := 0.0
	for _, share := range destination.Shares {
		split = append(split, WeightedService{Service: jsonwalk.TextOf(share.Service), Weight: share.Weight})
		total += share.Weight
	}
	return split, total
}

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

// parseService gives the service of an item, with what is wrong with it. What cannot be used counts as missing.
func parseService(item *pb.Item) (*Service, []configitem.Fault) {
	body, faults := configitem.ReadService(item.GetBody())
	service := &Service{
		Name:           item.GetName(),
		HealthPath:     body.HealthPath,
		MaxConnections: count(body.MaxConnections),
		Warmup:         milliseconds(body.Warmup * 1000),
		WarmRate:       body.WarmRate,
	}
	if body.Runtime != nil {
		service.Runtime = &Runtime{
			Capacity:    count(body.Runtime.Capacity),
			CacheTokens: count(body.Runtime.CacheTokens),
			Stride:      count(body.Runtime.Stride),
			Models:      body.Runtime.Models,
		}
	}
	return service, faults
}

// parseLimits gives the request limits of an item, with what is wrong with it. What cannot be used counts as missing.
func parseLimits(item *pb.Item) (RequestLimits, []configitem.Fault) {
	body, faults := configitem.ReadLimits(item.GetBody())
	limits := RequestLimits{
		MaxHeaderBytes: int64(count(body.MaxHeader)),
		MaxBodyBytes:   int64(count(body.MaxBody)),
		HeaderRead:     milliseconds(body.HeaderRead),
		KeepAlive:      milliseconds(body.KeepAlive),
	}
	return limits, faults
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(min(max(ms, 0), float64(longestTime/time.Millisecond)) * float64(time.Millisecond))
}

// deadlineOf gives a route's deadline from milliseconds. One that is told stays above 0, which stands for none.
func deadlineOf(ms float64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return max(milliseconds(ms), 1)
}

// count gives a whole number from a figure that may be a fraction or out of range.
func count(figure float64) int {
	return int(min(max(figure, 0), math.MaxInt32))
}
