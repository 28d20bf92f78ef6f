package configitem

import (
	"encoding/json"

	"fieldrelay/internal/jsonwalk"
)

// Fault is one reason why a member of an item, or the item as a whole, cannot be used. It is comparable, and an error.
type Fault struct {
	Field  string // the member at fault, for example "deadline-ms"; empty for the whole item
	Reason string
}

// Error returns the member and the reason.
func (f Fault) Error() string {
	if f.Field == "" {
		return f.Reason
	}
	return f.Field + ": " + f.Reason
}

// Faults of items as a whole.
var (
	// ErrNotJSON is the fault of a body that is not JSON.
	ErrNotJSON = Fault{Reason: "is not JSON"}
	// ErrNotObject is the fault of a body that is not a JSON object.
	ErrNotObject = Fault{Reason: "is not an object"}
)

// Object checks that the body of an item is a JSON object, and returns it without the space around it.
func Object(body []byte) ([]byte, []Fault) {
	if !json.Valid(body) {
		return nil, []Fault{ErrNotJSON}
	}
	object := jsonwalk.Trim(body)
	if !jsonwalk.IsObject(object) {
		return nil, []Fault{ErrNotObject}
	}
	return object, nil
}
