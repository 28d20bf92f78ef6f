package configitem

import (
	"fmt"
	"math"

	"fieldrelay/internal/region/jsonwalk"
)

// WeightedService is one element of a route's split.
type WeightedService struct {
	Service []byte  // service name, as returned by jsonwalk.Unquoted; empty if missing
	Weight  float64 // weight relative to the other elements; 0 or more
}

// Destination is the service, or the weighted services, to which a route sends its requests.
type Destination struct {
	// Service is the service name in "backend", as returned by jsonwalk.Unquoted; empty if missing. Without a split, the
	// service receives all requests.
	Service []byte
	// Split holds the elements of "split". The sum of their weights is finite.
	Split []WeightedService
}

// Faults of a route's destination.
var (
	// ErrServiceNotText is the fault of a "backend" that is not a string.
	ErrServiceNotText = FieldError{Field: fieldService, Reason: "is not a name"}
	// ErrNoService is the fault of a route that has no "split" and names no service in "backend".
	ErrNoService = FieldError{Field: fieldService, Reason: "no service is named"}
	// ErrSplitNotList is the fault of a "split" that is not a list.
	ErrSplitNotList = FieldError{Field: fieldSplit, Reason: "is not a list"}
	// ErrNoWeight is the fault of a split whose weights add up to 0.
	ErrNoWeight = FieldError{Field: fieldSplit, Reason: "the shares add up to 0"}
	// ErrWeight is the fault of a weight that is not a number or is negative; it counts as 0.
	ErrWeight = FieldError{Field: fieldSplit, Reason: "a share is not a number of 0 or more"}
	// ErrSplitServiceNotText is the fault of an element of a split whose service is not a string.
	ErrSplitServiceNotText = FieldError{Field: fieldSplit, Reason: "is not a name"}
)

// Destination returns the services that the route names, and the faults of their members.
func (r *Route) Destination() (Destination, []FieldError) {
	var destination Destination
	var faults []FieldError
	notString := r.service != nil && !jsonwalk.IsString(r.service)
	if notString {
		faults = append(faults, ErrServiceNotText)
	} else {
		destination.Service = jsonwalk.Unquoted(r.service)
	}
	named := notString || len(destination.Service) > 0
	if r.split == nil {
		if !named {
			faults = append(faults, ErrNoService)
		}
		return destination, faults
	}
	if !jsonwalk.IsArray(r.split) {
		return destination, append(faults, ErrSplitNotList)
	}
	var total float64
	destination.Split, total, faults = parseSplit(r.split, faults)
	onlyService := len(destination.Split) == 0 && named
	if total <= 0 && !onlyService {
		faults = append(faults, ErrNoWeight)
	}
	return destination, faults
}

// parseSplit parses the list of a split. It returns the elements, the sum of their weights, and faults with the
// faults of the list appended. An element that cannot be parsed has weight 0 and no service.
func parseSplit(list []byte, faults []FieldError) ([]WeightedService, float64, []FieldError) {
	var services []WeightedService
	total := 0.0
	for element := range jsonwalk.Elements(list) {
		var service WeightedService
		service, faults = parseWeightedService(element, len(services), faults)
		services = append(services, service)
		total += service.Weight
	}
	if math.IsInf(total, 1) {
		scaleDown(services)
	}
	return services, total, faults
}

// parseWeightedService parses one element of a split. It returns the element, and faults with the faults of the
// element appended.
func parseWeightedService(element []byte, index int, faults []FieldError) (WeightedService, []FieldError) {
	var weighted WeightedService
	if !jsonwalk.IsObject(element) {
		return weighted, append(faults, splitFault("element %d is not an object", index))
	}
	service := jsonwalk.Member(element, fieldService)
	if !jsonwalk.IsString(service) {
		faults = append(faults, ErrSplitServiceNotText)
	} else if weighted.Service = jsonwalk.Unquoted(service); len(weighted.Service) == 0 {
		faults = append(faults, splitFault("element %d names no service", index))
	}
	if weight := jsonwalk.Member(element, fieldWeight); weight != nil {
		number, ok := jsonwalk.Number(weight)
		if !ok || number < 0 {
			return weighted, append(faults, ErrWeight)
		}
		weighted.Weight = number
	}
	return weighted, faults
}

func splitFault(format string, index int) FieldError {
	return FieldError{Field: fieldSplit, Reason: fmt.Sprintf(format, index)}
}

// scaleDown makes the sum of the weights finite and preserves their proportions.
func scaleDown(services []WeightedService) {
	divisor := 2 * float64(len(services)) // twice the number of services, because the sum may be rounded up
	for index := range services {
		services[index].Weight /= divisor
	}
}
