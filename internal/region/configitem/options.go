package configitem

import "fieldrelay/internal/region/jsonwalk"

// Kind is what a retry of a route's requests may do and what their answers look like.
type Kind string

// The kinds of route.
const (
	KindMutating   Kind = "mutating"
	KindIdempotent Kind = "idempotent"
	KindStreaming  Kind = "streaming"
)

// UnreadableRegion stands for home regions that are set and cannot be read. No region has this name, so that the
// route's requests are served nowhere rather than in a region where they must not be.
const UnreadableRegion = "(unreadable)"

// RouteOptions are the members of a route that validation does not check. Times are in milliseconds; numbers are 0
// where the member is missing.
type RouteOptions struct {
	Kind           Kind     // KindMutating, the most careful one, if missing
	Target         float64  // latency target of an answer or of a stream's first event
	EventGapTarget float64  // longest gap between events of a stream that is in time
	Priority       float64  // 0 is the most urgent
	MaxAttempts    float64  // most servers to which one request may be sent
	PromptAffinity bool     // requests name the chunks of their prompts
	Resumable      bool     // a stream may be resumed at another server
	HomeRegions    []string // the only regions that may serve the route; empty: any
}

// Options returns these members, and the faults of those that cannot be used.
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

// kind decodes the kind of a route.
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

// homeRegions decodes a list of regions. A restriction on where requests may go must not be lost together with what
// cannot be read: the readable names of a list count, and if there are none, no region may serve the route.
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
