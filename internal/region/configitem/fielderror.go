package configitem

import (
	"encoding/json"

	"fieldrelay/internal/region/jsonwalk"
)

// FieldError is one reason why a member of an item, or the item as a whole, cannot be used. It is comparable, and an error.
type FieldError struct {
	Field  string // the member at fault, for example "deadline-ms"; empty for the whole item
	Reason string
}

// Error returns the member and the reason.
func (f FieldError) Error() string {
	if f.Field == "" {
		return f.Reason
	}
	return f.Field + ": " + f.Reason
}

// Faults of items as a whole.
var (
	// ErrNotJSON is the fault of a body that is not JSON.
	ErrNotJSON = FieldError{Reason: "is not JSON"}
	// ErrNotObject is the fault of a body that is not a JSON object.
	ErrNotObject = FieldError{Reason: "is not an object"}
)

// Object checks that the body of an item is a JSON object, and returns it without the space around it.
func Object(body []byte) ([]byte, []FieldError) {
	if !json.Valid(body) {
		return nil, []FieldError{ErrNotJSON}
	}
	object := jsonwalk.Trim(body)
	if !jsonwalk.IsObject(object) {
		return nil, []FieldError{ErrNotObject}
	}
	return object, nil
}
