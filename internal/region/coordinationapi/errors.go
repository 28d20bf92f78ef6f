package coordinationapi

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	validation "github.com/go-ozzo/ozzo-validation/v4"

	"fieldrelay/api/coordination"
)

// MalformedBodyError rejects a body that is not a JSON object of well-formed text.
type MalformedBodyError struct {
	Offset int64 // offset of the byte before which the fault was found
	Reason string
}

// Error returns the message of the response.
func (e *MalformedBodyError) Error() string {
	return fmt.Sprintf("the body cannot be read at byte %d: %s", e.Offset, e.Reason)
}

// Status returns 400.
func (*MalformedBodyError) Status() int { return http.StatusBadRequest }

// Code returns malformed_body.
func (*MalformedBodyError) Code() string { return "malformed_body" }

// InvalidCallError rejects a call whose path, query or body has missing or invalid members.
type InvalidCallError struct{ Faults []coordination.Fault }

// Error returns the message of the response, which lists all faults.
func (e *InvalidCallError) Error() string {
	texts := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		texts = append(texts, *fault.Field+": "+fault.Message)
	}
	return strings.Join(texts, "; ")
}

// Status returns 400.
func (*InvalidCallError) Status() int { return http.StatusBadRequest }

// Code returns invalid_call.
func (*InvalidCallError) Code() string { return "invalid_call" }

// invalidField returns an InvalidCallError with one faulty member.
func invalidField(field, message string) *InvalidCallError {
	return &InvalidCallError{Faults: []coordination.Fault{{Field: &field, Message: message}}}
}

// invalidFields returns an InvalidCallError with all faulty members in the order of their names, or nil if no member is
// faulty.
func invalidFields(faults validation.Errors) error {
	invalid := &InvalidCallError{}
	for field, fault := range faults {
		if fault != nil {
			invalid.Faults = append(invalid.Faults, coordination.Fault{Field: &field, Message: fault.Error()})
		}
	}
	if len(invalid.Faults) == 0 {
		return nil
	}
	slices.SortFunc(invalid.Faults, func(a, b coordination.Fault) int { return strings.Compare(*a.Field, *b.Field) })
	return invalid
}

// TooManyCallsError rejects a call because the limit of open calls at this machine is reached.
type TooManyCallsError struct{}

// Error returns the message of the response.
func (*TooManyCallsError) Error() string { return "too many calls are under way at this machine" }

// Status returns 429.
func (*TooManyCallsError) Status() int { return http.StatusTooManyRequests }

// Code returns busy.
func (*TooManyCallsError) Code() string { return "busy" }

// NameBusyError rejects a call because too many calls wait for its name, or because the name has no room for another
// value.
type NameBusyError struct{}

// Error returns the message of the response.
func (*NameBusyError) Error() string { return "too many calls wait for this name, or it has no room" }

// Status returns 429.
func (*NameBusyError) Status() int { return http.StatusTooManyRequests }

// Code returns busy_name.
func (*NameBusyError) Code() string { return "busy_name" }

// LockHeldError rejects a call for a lock that another caller holds or that this caller no longer holds.
type LockHeldError struct{}

// Error returns the message of the response.
func (*LockHeldError) Error() string { return "another caller holds the lock, or it is lost" }

// Status returns 409.
func (*LockHeldError) Status() int { return http.StatusConflict }

// Code returns lock_held.
func (*LockHeldError) Code() string { return "lock_held" }

// KeyNotFoundError rejects the read of a key that was never written.
type KeyNotFoundError struct{}

// Error returns the message of the response.
func (*KeyNotFoundError) Error() string { return "the key was never written" }

// Status returns 404.
func (*KeyNotFoundError) Status() int { return http.StatusNotFound }

// Code returns not_found.
func (*KeyNotFoundError) Code() string { return "not_found" }

// CompactedError rejects a watch from a revision if the puts that follow it are no longer stored.
type CompactedError struct{}

// Error returns the message of the response.
func (*CompactedError) Error() string { return "what follows this revision is not kept any more" }

// Status returns 410.
func (*CompactedError) Status() int { return http.StatusGone }

// Code returns compacted.
func (*CompactedError) Code() string { return "compacted" }

// NotExecutedError reports that a call was not executed and never will be.
type NotExecutedError struct{}

// Error returns the message of the response.
func (*NotExecutedError) Error() string { return "the call was not executed; it may be sent again" }

// Status returns 503.
func (*NotExecutedError) Status() int { return http.StatusServiceUnavailable }

// Code returns unavailable.
func (*NotExecutedError) Code() string { return "unavailable" }

// UnknownOutcomeError reports that a call may have been executed or may still be.
type UnknownOutcomeError struct{}

// Error returns the message of the response.
func (*UnknownOutcomeError) Error() string {
	return "it is not known whether the call was executed; it may be sent again"
}

// Status returns 504.
func (*UnknownOutcomeError) Status() int { return http.StatusGatewayTimeout }

// Code returns unknown_outcome.
func (*UnknownOutcomeError) Code() string { return "unknown_outcome" }
