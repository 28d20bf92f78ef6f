package configitem

import "fieldrelay/internal/jsonwalk"

// Kind tells what a repeat of a route's requests may do and what their answers look like.
type Kind string

// The kinds of route.
const (
	KindMutating   Kind = "mutating"
	KindIdempotent Kind = "idempotent"
	KindStreaming  Kind = "streaming"
)

// UnreadableRegion stands for homes that are told and cannot be read. No region has this name, so that the route's
// requests are served nowhere rather than in a region where they may not be.
const UnreadableRegion = "(unreadable)"

// Terms are the members of a route that validation does not judge. Times are in milliseconds, 0 where not told.
type Terms struct {
	Kind           Kind // KindMutating, which may run at most once, where not told
	Target         float64
	EventGapTarget float64
	Priority       float64
	MaxAttempts    float64
	PromptAffinity bool
	Resumable      bool
	HomeRegions    []string // the only regions that may serve the route; empty: any
}

// Terms gives these members, and which of them cannot be used.
func (r *Route) Terms() (Terms, []Fault) {
	var odd decoder
	terms := Terms{
		Kind:           odd.kind(r.kind),
		Target:         odd.figure(fieldTarget, r.target),
		EventGapTarget: odd.figure(fieldGapAim, r.gapAim),
		Priority:       odd.figure(fieldPriority, r.priority),
		MaxAttempts:    odd.figure(fieldTries, r.tries),
		PromptAffinity: odd.flag(fieldPinned, r.pinned),
		Resumable:      odd.flag(fieldResumable, r.resumable),
		HomeRegions:    odd.homes(r.homes),
	}
	return terms, odd.faults
}

// decoder decodes members that validation does not judge, and collects the faults of those that it takes for missing.
type decoder struct {
	faults []Fault
}

func (d *decoder) fault(field, reason string) {
	d.faults = append(d.faults, Fault{Field: field, Reason: reason})
}

// figure decodes a number of 0 or more.
func (d *decoder) figure(field string, value []byte) float64 {
	if value == nil {
		return 0
	}
	number, ok := jsonwalk.Number(value)
	switch {
	case !ok:
		d.fault(field, "is not a number")
		return 0
	case number < 0:
		d.fault(field, "is below 0")
		return 0
	}
	return number
}

func (d *decoder) flag(field string, value []byte) bool {
	switch string(value) {
	case "true":
		return true
	case "", "false":
		return false
	}
	d.fault(field, "is neither true nor false")
	return false
}

func (d *decoder) text(field string, value []byte) string {
	if value != nil && !jsonwalk.IsString(value) {
		d.fault(field, "is not text")
	}
	return optionalText(value)
}

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

// homes decodes a list of regions. What limits where requests may go must not be lost with what cannot be read: of a
// list its readable names count, and if there are none no region may serve the route.
func (d *decoder) homes(value []byte) []string {
	if value == nil {
		return nil
	}
	if !jsonwalk.IsArray(value) {
		d.fault(fieldHomes, "is not a list")
		return []string{UnreadableRegion}
	}
	var regions []string
	told := false
	for element := range jsonwalk.Elements(value) {
		told = true
		if !jsonwalk.IsString(element) {
			d.fault(fieldHomes, "an element is not a name")
			continue
		}
		regions = append(regions, jsonwalk.Text(element))
	}
	if told && regions == nil {
		return []string{UnreadableRegion}
	}
	return regions
}
