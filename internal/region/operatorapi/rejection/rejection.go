// Package rejection encodes the bodies of responses to rejected orders, as specified by api/operator.yaml. The control
// machine that validates an order encodes the body, and package operatorapi forwards it.
package rejection

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"fieldrelay/api/operator"
	"fieldrelay/internal/region/catalog"
)

// Body returns the body of the response to an order that the catalog rejected. It lists every fault with its
// item and field.
func Body(rejection catalog.OrderError) []byte {
	detail := operator.RefusalDetail{Code: Code(rejection.Status()), Message: rejection.Error()}
	if conflict, isConflict := errors.AsType[*catalog.ConflictError](rejection); isConflict {
		current := int64(conflict.Current)
		detail.Gen = &current
	}
	if invalid, isInvalid := errors.AsType[*catalog.InvalidError](rejection); isInvalid {
		faults := faultsOf(invalid)
		detail.Faults = &faults
		detail.Message = fmt.Sprintf("the configuration has %d faults", len(invalid.Faults)+invalid.Omitted)
	}
	return Marshal(detail)
}

// faultsOf converts the faults of a configuration to the type of the API.
func faultsOf(invalid *catalog.InvalidError) []operator.Fault {
	faults := make([]operator.Fault, 0, len(invalid.Faults))
	for _, fault := range invalid.Faults {
		faults = append(faults, operator.Fault{
			Item:    optional(fault.Item),
			Field:   optional(fault.Field),
			Message: fault.Reason,
		})
	}
	return faults
}

// optional returns a pointer to text, or nil if text is empty.
func optional(text string) *string {
	if text == "" {
		return nil
	}
	return &text
}

// Marshal returns the body of a rejection.
func Marshal(detail operator.RefusalDetail) []byte {
	body, err := json.Marshal(operator.Refusal{Error: detail})
	if err != nil {
		return []byte("{}")
	}
	return body
}

// Structured converts a body whose error is a plain text, as control machines of earlier versions return it, into the
// form of all rejections. Any other body is returned unchanged.
func Structured(status int, body []byte) []byte {
	var plain struct {
		Error string `json:"error"`
	}
	if len(body) == 0 || json.Unmarshal(body, &plain) != nil || plain.Error == "" {
		return body
	}
	return Marshal(operator.RefusalDetail{Code: Code(status), Message: plain.Error})
}

// Code returns the code of a rejection with the given HTTP status.
func Code(status int) string {
	switch status {
	case http.StatusBadRequest:
		return "invalid"
	case http.StatusConflict:
		return "conflict"
	case http.StatusPreconditionFailed:
		return "wrong_base"
	case http.StatusRequestEntityTooLarge:
		return "body_too_large"
	case http.StatusUnprocessableEntity:
		return "unprocessable"
	default:
		return "unavailable"
	}
}
