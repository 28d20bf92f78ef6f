// Package coordination has the types and the HTTP server of the calls of applications, generated from api/operator.yaml.
package coordination

import (
	"encoding/json"
	"math"
	"reflect"
	"strconv"
)

// maxExactFloat is the largest whole number up to which float64 holds all of them.
const maxExactFloat = 1 << 53

// WholeNumber is a number in a call that must be whole and not negative. JSON does not tell 3000 from 3000.0, and neither
// do all of its libraries.
type WholeNumber uint64

// UnmarshalJSON accepts each way to write a whole number. Its error is a *json.UnmarshalTypeError.
func (n *WholeNumber) UnmarshalJSON(text []byte) error {
	if whole, err := strconv.ParseUint(string(text), 10, 64); err == nil {
		*n = WholeNumber(whole)
		return nil
	}
	value, err := strconv.ParseFloat(string(text), 64)
	if err != nil || value < 0 || value > maxExactFloat || value != math.Trunc(value) {
		return &json.UnmarshalTypeError{Value: string(text), Type: reflect.TypeFor[WholeNumber]()}
	}
	*n = WholeNumber(value)
	return nil
}
