// Package configitem reads the bodies of the items of the operator's configuration: routes, services and request
// limits. It is the only reader of them: validation (package catalog) and the proxies' table (package route) both go by
// what it gives, so that a route that is accepted is served as it was judged.
//
// Names of members are compared exactly. Where a member comes more than once the last one counts, and null counts as
// missing. Of a route, the members that validation judges (host, path prefix, deadline, services and shares) come with
// the faults that make the route invalid. All others, and those of services and limits, are judged by nobody: where
// one cannot be used it counts as missing, which its Fault tells.
package configitem

import (
	"encoding/json"

	"fieldrelay/internal/jsonwalk"
)

// Fault is one reason why a member of an item, or the item as a whole, cannot be used.
type Fault struct {
	Field  string // the member at fault, for example "deadline-ms"; empty for the whole item
	Reason string
}

// Error names the member and tells the reason.
func (f Fault) Error() string {
	if f.Field == "" {
		return f.Reason
	}
	return f.Field + ": " + f.Reason
}

// Faults of items as a whole.
var (
	// FaultNoJSON is the fault of a body that is not JSON.
	FaultNoJSON = Fault{Reason: "is not JSON"}
	// FaultNoObject is the fault of a body that is not a JSON object.
	FaultNoObject = Fault{Reason: "is not an object"}
)

// Object checks that the body of an item is a JSON object and returns it without space around it.
func Object(body []byte) ([]byte, []Fault) {
	if !json.Valid(body) {
		return nil, []Fault{FaultNoJSON}
	}
	object := jsonwalk.Trim(body)
	if !jsonwalk.IsObject(object) {
		return nil, []Fault{FaultNoObject}
	}
	return object, nil
}
