package configitem

import (
	"encoding/json"

	"fieldrelay/internal/region/jsonwalk"
)

// FieldError is a reason why a member of an item, or the whole item, cannot be used. It is comparable, and implements
// error.
type FieldError struct {
	Field  string // name of the member, for example "deadline-ms"; empty for the whole item
	Reason string // what is wrong with the member, for example "is not a number"
}

// Error returns the member and the reason.
func (f FieldError) Error() string {
	if f.Field == "" {
		return f.Reason
	}
	return f.Field + ": " + f.Reason
}

// Faults of whole items.
var (
	// ErrNotJSON is the fault of a body that is not JSON.
	ErrNotJSON = FieldError{Reason: "is not JSON"}
	// ErrNotObject is the fault of a body that is not a JSON object.
	ErrNotObject = FieldError{Reason: "is not an object"}
)

// Object checks that the body of an item is a JSON object, and returns it without surrounding white space.
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
