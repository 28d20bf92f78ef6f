package configitem

import "fieldrelay/internal/jsonwalk"

// Members of the request limits.
const (
	fieldMaxHeader  = "max-header-bytes"
	fieldMaxBody    = "max-body-bytes"
	fieldHeaderRead = "header-read-ms"
	fieldKeepAlive  = "keepalive-ms"
)

// Limits bound what a client may send, in bytes, and how long it may take, in milliseconds. 0 means not told.
type Limits struct {
	MaxHeader  float64
	MaxBody    float64
	HeaderRead float64
	KeepAlive  float64
}

// ReadLimits reads the body of the setting that holds the request limits, and tells which members cannot be used. A
// body that is no JSON object tells no limits.
func ReadLimits(body []byte) (Limits, []Fault) {
	if jsonwalk.IsNull(jsonwalk.Trim(body)) {
		return Limits{}, nil
	}
	object, faults := Object(body)
	if faults != nil {
		return Limits{}, faults
	}
	var odd decoder
	limits := Limits{
		MaxHeader:  odd.figure(fieldMaxHeader, jsonwalk.Member(object, fieldMaxHeader)),
		MaxBody:    odd.figure(fieldMaxBody, jsonwalk.Member(object, fieldMaxBody)),
		HeaderRead: odd.figure(fieldHeaderRead, jsonwalk.Member(object, fieldHeaderRead)),
		KeepAlive:  odd.figure(fieldKeepAlive, jsonwalk.Member(object, fieldKeepAlive)),
	}
	return limits, odd.faults
}
