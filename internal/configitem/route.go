package configitem

import (
	"fmt"
	"math"
	"strings"

	"fieldrelay/internal/jsonwalk"
)

// Members of a route. Those up to fieldSplit are judged by validation.
const (
	fieldHost      = "vhost"
	fieldPrefix    = "path-prefix"
	fieldDeadline  = "deadline-ms"
	fieldService   = "backend"
	fieldSplit     = "split"
	fieldKind      = "route-kind"
	fieldTarget    = "target-ms"
	fieldGapAim    = "gap_aim_ms"
	fieldPriority  = "prio"
	fieldTries     = "tries"
	fieldPinned    = "pinned"
	fieldResumable = "resumable"
	fieldHomes     = "home-regions"
	fieldShare     = "share" // of an element of fieldSplit, beside fieldService
)

// Route is the body of a route taken apart: the text of each member that is known, nil where it is missing or null.
type Route struct {
	host, prefix, deadline, service, split                          []byte
	kind, target, gapAim, priority, tries, pinned, resumable, homes []byte
}

// ParseRoute takes the body of a route apart. One that is not a JSON object gives a route without members.
func ParseRoute(body []byte) (route Route) {
	if !jsonwalk.IsObject(body) {
		return route
	}
	for key, value := range jsonwalk.Members(body) {
		if member := route.member(key); member != nil {
			*member = jsonwalk.Present(value)
		}
	}
	return route
}

// member gives the place for the text of a member, nil for a name that is not known.
func (r *Route) member(key []byte) *[]byte {
	switch string(key) {
	case fieldHost:
		return &r.host
	case fieldPrefix:
		return &r.prefix
	case fieldDeadline:
		return &r.deadline
	case fieldService:
		return &r.service
	case fieldSplit:
		return &r.split
	case fieldKind:
		return &r.kind
	case fieldTarget:
		return &r.target
	case fieldGapAim:
		return &r.gapAim
	case fieldPriority:
		return &r.priority
	case fieldTries:
		return &r.tries
	case fieldPinned:
		return &r.pinned
	case fieldResumable:
		return &r.resumable
	case fieldHomes:
		return &r.homes
	}
	return nil
}

// Match is what a request is matched with. No two routes may share one.
type Match struct {
	Host   string // canonical
	Prefix string // of the path; begins with a slash
}

// Faults of a route's place.
var (
	// FaultHost is the fault of a route that tells no host.
	FaultHost = Fault{Field: fieldHost, Reason: "is not a host name"}
	// FaultPrefix is the fault of a route whose prefix no path begins with.
	FaultPrefix = Fault{Field: fieldPrefix, Reason: "does not begin with a slash"}
)

// Match gives the route's place, or what is wrong with it.
func (r *Route) Match() (Match, []Fault) {
	host := optionalText(r.host)
	if host == "" {
		return Match{}, []Fault{FaultHost}
	}
	prefix := optionalText(r.prefix)
	if !strings.HasPrefix(prefix, "/") {
		return Match{}, []Fault{FaultPrefix}
	}
	return Match{Host: CanonicalHost(host), Prefix: prefix}, nil
}

// optionalText decodes a JSON string; any other value gives the empty text.
func optionalText(value []byte) string {
	if !jsonwalk.IsString(value) {
		return ""
	}
	return jsonwalk.Text(value)
}

// Faults of a route's deadline.
var (
	// FaultDeadlineForm is the fault of a deadline that is not a number.
	FaultDeadlineForm = Fault{Field: fieldDeadline, Reason: "is not a number"}
	// FaultDeadlineZero is the fault of a deadline of 0 or less.
	FaultDeadlineZero = Fault{Field: fieldDeadline, Reason: "is not above 0"}
)

// Deadline gives the longest that a request may be held, in milliseconds, or what is wrong with it; 0 if it is not
// told.
func (r *Route) Deadline() (float64, []Fault) {
	if r.deadline == nil {
		return 0, nil
	}
	deadline, ok := jsonwalk.Number(r.deadline)
	if !ok {
		return 0, []Fault{FaultDeadlineForm}
	}
	if deadline <= 0 {
		return 0, []Fault{FaultDeadlineZero}
	}
	return deadline, nil
}

// WeightedService is one service of a route's split.
type WeightedService struct {
	Service []byte  // its name, as by jsonwalk.Unquoted; empty if none is named
	Weight  float64 // relative to the others; 0 or more
}

// Destination is where the requests of a route go.
type Destination struct {
	// Service is the name in "backend", as by jsonwalk.Unquoted; empty if there is none. It gets all requests if
	// there are no shares.
	Service []byte
	// Shares are the elements of "split". The sum of their weights is finite.
	Shares []WeightedService
}

// Faults of a route's destination.
var (
	// FaultServiceForm is the fault of a "backend" that is not text.
	FaultServiceForm = Fault{Field: fieldService, Reason: "is not a name"}
	// FaultNoService is the fault of a route that names no service at all.
	FaultNoService = Fault{Field: fieldService, Reason: "no service is named"}
	// FaultSplitForm is the fault of a "split" that is not a list.
	FaultSplitForm = Fault{Field: fieldSplit, Reason: "is not a list"}
	// FaultNoWeight is the fault of a split whose shares add up to 0.
	FaultNoWeight = Fault{Field: fieldSplit, Reason: "the shares add up to 0"}
	// FaultWeight is the fault of a share that is not a number or is negative; it counts as 0.
	FaultWeight = Fault{Field: fieldSplit, Reason: "a share is not a number of 0 or more"}
	// FaultWeightService is the fault of a share whose service is not text.
	FaultWeightService = Fault{Field: fieldSplit, Reason: "is not a name"}
)

// Destination gives the services that the route names, and what is wrong with them.
func (r *Route) Destination() (Destination, []Fault) {
	var to Destination
	var faults []Fault
	wrongForm := r.service != nil && !jsonwalk.IsString(r.service)
	if wrongForm {
		faults = append(faults, FaultServiceForm)
	} else {
		to.Service = jsonwalk.Unquoted(r.service)
	}
	named := wrongForm || len(to.Service) > 0
	if r.split == nil {
		if !named {
			faults = append(faults, FaultNoService)
		}
		return to, faults
	}
	if !jsonwalk.IsArray(r.split) {
		return to, append(faults, FaultSplitForm)
	}
	var total float64
	to.Shares, total, faults = takeShares(r.split, faults)
	onlyService := len(to.Shares) == 0 && named
	if total <= 0 && !onlyService {
		faults = append(faults, FaultNoWeight)
	}
	return to, faults
}

// takeShares reads the list of a split and adds what is wrong with it to the faults. An element that cannot be read
// is a share of 0 for no service.
func takeShares(list []byte, faults []Fault) ([]WeightedService, float64, []Fault) {
	var shares []WeightedService
	total := 0.0
	for element := range jsonwalk.Elements(list) {
		var share WeightedService
		share, faults = takeShare(element, len(shares), faults)
		shares = append(shares, share)
		total += share.Weight
	}
	if math.IsInf(total, 1) {
		scaleDown(shares)
	}
	return shares, total, faults
}

func takeShare(element []byte, place int, faults []Fault) (WeightedService, []Fault) {
	var share WeightedService
	if !jsonwalk.IsObject(element) {
		return share, append(faults, splitFault("element %d is not an object", place))
	}
	service := jsonwalk.Member(element, fieldService)
	if !jsonwalk.IsString(service) {
		faults = append(faults, FaultWeightService)
	} else if share.Service = jsonwalk.Unquoted(service); len(share.Service) == 0 {
		faults = append(faults, splitFault("element %d names no service", place))
	}
	if weight := jsonwalk.Member(element, fieldShare); weight != nil {
		number, ok := jsonwalk.Number(weight)
		if !ok || number < 0 {
			return share, append(faults, FaultWeight)
		}
		share.Weight = number
	}
	return share, faults
}

func splitFault(format string, place int) Fault {
	return Fault{Field: fieldSplit, Reason: fmt.Sprintf(format, place)}
}

// scaleDown makes the sum of weights finite and leaves them in proportion.
func scaleDown(shares []WeightedService) {
	divisor := 2 * float64(len(shares)) // twice the number: the sum may be rounded up
	for index := range shares {
		shares[index].Weight /= divisor
	}
}
