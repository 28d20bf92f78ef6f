package catalog

import (
	"fmt"
	"net/http"
	"strings"
)

// OrderError is the response to an operator's order that makes no change. Only *InvalidError, *TooLargeError,
// *ConflictError, *AlreadyExecutedError and *ExecutionUnknownError implement it.
type OrderError interface {
	error
	// Status returns the HTTP status of the response.
	Status() int
}

// Fault is one reason why a configuration is invalid.
type Fault struct {
	Item   string // kind and name of the invalid item, for example "routes/r-1"; empty for the configuration as a whole
	Field  string // invalid member of the item, for example "deadline-ms"; may be empty
	Reason string
}

// String returns the item, the field and the reason in the form of the response to the operator.
func (fault Fault) String() string {
	subject := strings.Trim(fault.Item+" "+fault.Field, " ")
	if subject == "" {
		return fault.Reason
	}
	return subject + ": " + fault.Reason
}

// InvalidError rejects an order that cannot be parsed or violates a rule of the operator API.
type InvalidError struct {
	Faults  []Fault // first faults, up to MaxFaults
	Omitted int     // number of further faults
}

// MaxFaults is the maximum number of faults that one InvalidError lists.
const MaxFaults = 20

// Error lists the faults.
func (e *InvalidError) Error() string {
	texts := make([]string, 0, len(e.Faults)+1)
	for _, fault := range e.Faults {
		texts = append(texts, fault.String())
	}
	if e.Omitted > 0 {
		texts = append(texts, fmt.Sprintf("and %d more", e.Omitted))
	}
	return "invalid configuration: " + strings.Join(texts, "; ")
}

// Status returns 400.
func (e *InvalidError) Status() int { return http.StatusBadRequest }

// add adds a fault, or only counts the fault if there are MaxFaults already.
func (e *InvalidError) add(item, field, format string, arguments ...any) {
	if len(e.Faults) >= MaxFaults {
		e.Omitted++
		return
	}
	e.Faults = append(e.Faults, Fault{Item: item, Field: field, Reason: fmt.Sprintf(format, arguments...)})
}

// orNil returns the error if any fault was added, otherwise a nil interface.
func (e *InvalidError) orNil() error {
	if len(e.Faults) == 0 {
		return nil
	}
	return e
}

// invalid returns an error with one fault.
func invalid(item, field, format string, arguments ...any) *InvalidError {
	result := &InvalidError{}
	result.add(item, field, format, arguments...)
	return result
}

// TooLargeError rejects an order that would make the configuration too large. Unlike the bound on the body of one order,
// it also bounds what many amendments add up to.
type TooLargeError struct {
	Bytes int // encoded size that the configuration would have
	Limit int // maximum encoded size
}

// Error names both sizes.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the configuration would take %d bytes, the limit is %d", e.Bytes, e.Limit)
}

// Status returns 413.
func (e *TooLargeError) Status() int { return http.StatusRequestEntityTooLarge }

// ConflictError rejects an order that builds on a generation other than the current one and is not a retry of the order
// that was executed on that generation.
type ConflictError struct {
	Base    uint64 // generation that the order builds on
	Current uint64 // generation in force
}

// Error names both generations.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the order builds on generation %d, but %d is current", e.Base, e.Current)
}

// Status returns 412.
func (e *ConflictError) Status() int { return http.StatusPreconditionFailed }

// AlreadyExecutedError is the response to a retry of an order that has already been executed. The retry is acknowledged
// and makes no change.
type AlreadyExecutedError struct {
	Generation uint64 // generation that the order put in force
}

// Error names the generation that the order put in force.
func (e *AlreadyExecutedError) Error() string {
	return fmt.Sprintf("the order was already executed as generation %d", e.Generation)
}

// Status returns 200.
func (e *AlreadyExecutedError) Status() int { return http.StatusOK }

// ExecutionUnknownError is the response to an order that may or may not have been executed: it builds on a generation
// that the record of executed orders no longer covers.
type ExecutionUnknownError struct {
	Base   uint64 // generation that the order builds on
	Oldest uint64 // oldest generation that the record covers
}

// Error names the generations of the order and of the record.
func (e *ExecutionUnknownError) Error() string {
	return fmt.Sprintf("the order builds on generation %d, orders are remembered from generation %d on", e.Base, e.Oldest)
}

// Status returns 503. A rejection would be wrong if the order was executed.
func (e *ExecutionUnknownError) Status() int { return http.StatusServiceUnavailable }

// SequenceError rejects a change that does not follow the snapshot to which it is applied.
type SequenceError struct {
	Have uint64 // sequence of the snapshot
	Got  uint64 // sequence of the change; Have+1 was expected
}

// Error names both sequences.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("change %d does not follow sequence %d", e.Got, e.Have)
}

// RepairError rejects a malformed repair, or a malformed stored form of a snapshot.
type RepairError struct {
	Reason string
}

// Error names the reason.
func (e *RepairError) Error() string { return "malformed repair: " + e.Reason }
