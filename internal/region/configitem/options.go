package configitem

import "fieldrelay/internal/region/jsonwalk"

// Kind classifies a route's requests by whether they may be retried and by the form of their responses.
type Kind string

// The kinds of route.
const (
	KindMutating   Kind = "mutating"
	KindIdempotent Kind = "idempotent"
	KindStreaming  Kind = "streaming"
)

// UnreadableRegion replaces home regions that are set but cannot be parsed. No region has this name, so requests of
// the route are not served at all rather than in a region where they must not be served.
const UnreadableRegion = "(unreadable)"

// RouteOptions holds the members of a route that validation does not check. Times are in milliseconds. A number is 0
// if the member is missing.
type RouteOptions struct {
	Kind           Kind     // KindMutating, the most restrictive kind, if missing
	Target         float64  // latency target of a response, or of the first event of a stream
	EventGapTarget float64  // target for the longest gap between two events of a stream
	Priority       float64  // priority of requests; 0 is the most urgent
	MaxAttempts    float64  // maximum number of servers to which one request may be sent
	PromptAffinity bool     // requests identify the chunks of their prompts
	Resumable      bool     // a stream may be resumed on another server
	HomeRegions    []string // the only regions that may serve the route; empty means any region
}

// Options returns the route's options, and the faults of members that cannot be used.
func (r *Route) Options() (RouteOptions, []FieldError) {
	var d decoder
	options := RouteOptions{
		Kind:           d.kind(r.kind),
		Target:         d.nonNegative(fieldTarget, r.target),
		EventGapTarget: d.nonNegative(fieldEventGapTarget, r.eventGapTarget),
		Priority:       d.nonNegative(fieldPriority, r.priority),
		MaxAttempts:    d.nonNegative(fieldMaxAttempts, r.maxAttempts),
		PromptAffinity: d.boolean(fieldPromptAffinity, r.promptAffinity),
		Resumable:      d.boolean(fieldResumable, r.resumable),
		HomeRegions:    d.homeRegions(r.homeRegions),
	}
	return options, d.faults
}

// kind decodes the kind of a route. A missing or unknown kind is KindMutating.
func (d *decoder) kind(value []byte) Kind {
	switch kind := Kind(d.text(fieldKind, value)); kind {
	case KindMutating, KindIdempotent, KindStreaming:
		return kind
	case "":
	default:
		d.fault(fieldKind, "is not known")
	}
	return KindMutating
}

// homeRegions decodes a list of regions. A restriction on where requests may be served must not be lost because part
// of it cannot be parsed. Names that can be parsed are kept; if there are none, the result is UnreadableRegion, so
// that no region serves the route.
func (d *decoder) homeRegions(value []byte) []string {
	if value == nil {
		return nil
	}
	if !jsonwalk.IsArray(value) {
		d.fault(fieldHomeRegions, "is not a list")
		return []string{UnreadableRegion}
	}
	var regions []string
	restricted := false
	for element := range jsonwalk.Elements(value) {
		restricted = true
		if !jsonwalk.IsString(element) {
			d.fault(fieldHomeRegions, "an element is not a name")
			continue
		}
		regions = append(regions, jsonwalk.Text(element))
	}
	if restricted && regions == nil {
		return []string{UnreadableRegion}
	}
	return regions
}
