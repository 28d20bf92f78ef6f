package configitem

import "fieldrelay/internal/region/jsonwalk"

// Names of the members of the request limits.
const (
	fieldMaxHeader  = "max-header-bytes"
	fieldMaxBody    = "max-body-bytes"
	fieldHeaderRead = "header-read-ms"
	fieldKeepAlive  = "keepalive-ms"
)

// Limits bounds what a client may send and how long it may take. 0 means that the member is missing.
type Limits struct {
	MaxHeader  float64 // maximum size of a request's header, in bytes
	MaxBody    float64 // maximum size of a request's body, in bytes
	HeaderRead float64 // maximum time to read a request's header, in milliseconds
	KeepAlive  float64 // maximum time that a connection may stay idle, in milliseconds
}

// ParseLimits parses the body of the setting that holds the request limits. It also returns the faults of members
// that cannot be used. A body that is not a JSON object sets no limits.
func ParseLimits(body []byte) (Limits, []FieldError) {
	if jsonwalk.IsNull(jsonwalk.Trim(body)) {
		return Limits{}, nil
	}
	object, faults := Object(body)
	if faults != nil {
		return Limits{}, faults
	}
	var d decoder
	limits := Limits{
		MaxHeader:  d.nonNegative(fieldMaxHeader, jsonwalk.Member(object, fieldMaxHeader)),
		MaxBody:    d.nonNegative(fieldMaxBody, jsonwalk.Member(object, fieldMaxBody)),
		HeaderRead: d.nonNegative(fieldHeaderRead, jsonwalk.Member(object, fieldHeaderRead)),
		KeepAlive:  d.nonNegative(fieldKeepAlive, jsonwalk.Member(object, fieldKeepAlive)),
	}
	return limits, d.faults
}
