package operatorapi

import (
	"encoding/json"
	"errors"
	"fmt"

	"fieldrelay/api/operator"
	"fieldrelay/internal/catalog"
)

// RejectionBody is the body of the answer to an order that the catalog refused: with every fault, its item and
// its field.
func RejectionBody(refusal catalog.OrderError) []byte {
	result := &ResultError{HTTPStatus: refusal.Status()}
	detail := operator.RefusalDetail{Code: result.Code(), Message: refusal.Error()}
	if conflict, other := errors.AsType[*catalog.ConflictError](refusal); other {
		current := int64(conflict.Current)
		detail.Gen = &current
	}
	if invalid, faulty := errors.AsType[*catalog.InvalidError](refusal); faulty {
		faults := faultsOf(invalid)
		detail.Faults = &faults
		detail.Message = fmt.Sprintf("the configuration has %d faults", len(invalid.Faults)+invalid.Omitted)
	}
	return marshalRejection(detail)
}

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

// optional is nil for an empty text.
func optional(text string) *string {
	if text == "" {
		return nil
	}
	return &text
}

func marshalRejection(detail operator.RefusalDetail) []byte {
	body, err := json.Marshal(operator.Refusal{Error: detail})
	if err != nil {
		return []byte("{}")
	}
	return body
}

// structuredRejection gives the body of a refusal that only tells its reason as a text the form of all refusals. Any
// other body is returned as it is.
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
