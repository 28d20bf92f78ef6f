package configitem

import (
	"strings"

	"fieldrelay/internal/region/jsonwalk"
)

// Names of the members of a route. Validation checks the members up to fieldSplit.
const (
	fieldHost           = "vhost"
	fieldPrefix         = "path-prefix"
	fieldDeadline       = "deadline-ms"
	fieldService        = "backend"
	fieldSplit          = "split"
	fieldKind           = "route-kind"
	fieldTarget         = "target-ms"
	fieldEventGapTarget = "gap_aim_ms"
	fieldPriority       = "prio"
	fieldMaxAttempts    = "tries"
	fieldPromptAffinity = "pinned"
	fieldResumable      = "resumable"
	fieldHomeRegions    = "home-regions"
	fieldWeight         = "share" // member of an element of fieldSplit, together with fieldService
)

// Route is the parsed body of a route. It holds the JSON text of each known member, or nil if the member is missing
// or null. The texts are slices of the body.
type Route struct {
	host, prefix, deadline, service, split                                                      []byte
	kind, target, eventGapTarget, priority, maxAttempts, promptAffinity, resumable, homeRegions []byte
}

// ParseRoute splits the body of a route into its members. A body that is not a JSON object results in a route without
// members.
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

// member returns a pointer to the field that stores a member, or nil if the name is unknown.
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
	case fieldEventGapTarget:
		return &r.eventGapTarget
	case fieldPriority:
		return &r.priority
	case fieldMaxAttempts:
		return &r.maxAttempts
	case fieldPromptAffinity:
		return &r.promptAffinity
	case fieldResumable:
		return &r.resumable
	case fieldHomeRegions:
		return &r.homeRegions
	}
	return nil
}

// Match holds the criteria by which a route is found for a request. No two routes may have the same Match.
type Match struct {
	Host   string // as returned by CanonicalHost
	Prefix string // path prefix; begins with a slash
}

// Faults of a route's match.
var (
	// ErrHost is the fault of a route without a host.
	ErrHost = FieldError{Field: fieldHost, Reason: "is not a host name"}
	// ErrPathPrefix is the fault of a route whose path prefix does not begin with a slash, so that it matches no path.
	ErrPathPrefix = FieldError{Field: fieldPrefix, Reason: "does not begin with a slash"}
)

// Match returns the route's match criteria, or the fault that makes them invalid.
func (r *Route) Match() (Match, []FieldError) {
	host := optionalText(r.host)
	if host == "" {
		return Match{}, []FieldError{ErrHost}
	}
	prefix := optionalText(r.prefix)
	if !strings.HasPrefix(prefix, "/") {
		return Match{}, []FieldError{ErrPathPrefix}
	}
	return Match{Host: CanonicalHost(host), Prefix: prefix}, nil
}

// Faults of a route's deadline.
var (
	// ErrDeadlineNotNumber is the fault of a deadline that is not a number.
	ErrDeadlineNotNumber = FieldError{Field: fieldDeadline, Reason: "is not a number"}
	// ErrDeadlineNotPositive is the fault of a deadline of 0 or less.
	ErrDeadlineNotPositive = FieldError{Field: fieldDeadline, Reason: "is not above 0"}
)

// Deadline returns the longest time that a request may take, in milliseconds, or the fault of the member. It returns
// 0 if the member is missing.
func (r *Route) Deadline() (float64, []FieldError) {
	if r.deadline == nil {
		return 0, nil
	}
	deadline, ok := jsonwalk.Number(r.deadline)
	if !ok {
		return 0, []FieldError{ErrDeadlineNotNumber}
	}
	if deadline <= 0 {
		return 0, []FieldError{ErrDeadlineNotPositive}
	}
	return deadline, nil
}
