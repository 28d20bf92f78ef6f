package operatorapi

import (
	"encoding/json"
	"errors"
	"fmt"

	"fieldrelay/api/operator"
	"fieldrelay/internal/catalog"
)

// RejectionBody returns the body of the response to an order that the catalog rejected. It lists every fault with its
// item and field.
func RejectionBody(rejection catalog.OrderError) []byte {
	result := &ResultError{HTTPStatus: rejection.Status()}
	detail := operator.RefusalDetail{Code: result.Code(), Message: rejection.Error()}
	if conflict, isConflict := errors.AsType[*catalog.ConflictError](rejection); isConflict {
		current := int64(conflict.Current)
		detail.Gen = &current
	}
	if invalid, isInvalid := errors.AsType[*catalog.InvalidError](rejection); isInvalid {
		faults := faultsOf(invalid)
		detail.Faults = &faults
		detail.Message = fmt.Sprintf("the configuration has %d faults", len(invalid.Faults)+invalid.Omitted)
	}
	return marshalRejection(detail)
}

// faultsOf converts the faults of a configuration to the form of the API.
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

// optional returns nil for an empty text.
func optional(text string) *string {
	if text == "" {
		return nil
	}
	return &text
}

// marshalRejection returns the body of a rejection.
func marshalRejection(detail operator.RefusalDetail) []byte {
	body, err := json.Marshal(operator.Refusal{Error: detail})
	if err != nil {
		return []byte("{}")
	}
	return body
}

// structuredRejection converts the body of a rejection that has only a text, as the control state returns it, into the
// form of all rejections. Any other body is returned unchanged.
func structuredRejection(status int, body []byte) []byte {
	var plain struct {
		Error string `json:"error"`
	}
	if len(body) == 0 || json.Unmarshal(body, &plain) != nil || plain.Error == "" {
		return body
	}
	code := (&ResultError{HTTPStatus: status}).Code()
	return marshalRejection(operator.RefusalDetail{Code: code, Message: plain.Error})
}
