package catalog

import (
	"fmt"
	"net/http"
	"strings"
)

// OrderError is an answer to an operator's order that leads to no change. InvalidError, ConflictError,
// AlreadyExecutedError and ExecutionUnknownError are the only ones.
type OrderError interface {
	error
	// Status is the HTTP status of the answer.
	Status() int
}

// Fault is one reason why a configuration is invalid.
type Fault struct {
	Item   string // for example "routes/r-1"; empty for the configuration as a whole
	Field  string // the member at fault, for example "deadline-ms"; may be empty
	Reason string
}

// String names the item and field and tells the reason.
func (fault Fault) String() string {
	subject := strings.Trim(fault.Item+" "+fault.Field, " ")
	if subject == "" {
		return fault.Reason
	}
	return subject + ": " + fault.Reason
}

// InvalidError refuses a configuration that cannot be read or breaks a rule of the operator's API.
type InvalidError struct {
	Faults  []Fault // the first MaxFaults
	Omitted int     // faults found beyond those
}

// MaxFaults is the number of faults that one InvalidError lists.
const MaxFaults = 20

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

// Status is 400.
func (e *InvalidError) Status() int { return http.StatusBadRequest }

func (e *InvalidError) add(item, field, format string, arguments ...any) {
	if len(e.Faults) >= MaxFaults {
		e.Omitted++
		return
	}
	e.Faults = append(e.Faults, Fault{Item: item, Field: field, Reason: fmt.Sprintf(format, arguments...)})
}

// orNil returns the error if any fault was added, as an untyped nil otherwise.
func (e *InvalidError) orNil() error {
	if len(e.Faults) == 0 {
		return nil
	}
	return e
}

func invalid(item, field, format string, arguments ...any) *InvalidError {
	result := &InvalidError{}
	result.add(item, field, format, arguments...)
	return result
}

// ConflictError refuses an order that builds on another generation than the current one.
type ConflictError struct {
	Base    uint64 // generation that the order builds on
	Current uint64 // generation in force
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the order builds on generation %d, but %d is current", e.Base, e.Current)
}

// Status is 412.
func (e *ConflictError) Status() int { return http.StatusPreconditionFailed }

// AlreadyExecutedError tells that the same order was taken before and needs no further change: it is
// acknowledged.
type AlreadyExecutedError struct {
	Generation uint64 // that the order brought into force
}

func (e *AlreadyExecutedError) Error() string {
	return fmt.Sprintf("the order was taken before, as generation %d", e.Generation)
}

// Status is 200.
func (e *AlreadyExecutedError) Status() int { return http.StatusOK }

// ExecutionUnknownError tells that it is not known any more whether an order was taken: it builds on a generation that
// the record of taken orders no longer reaches.
type ExecutionUnknownError struct {
	Base   uint64 // generation that the order builds on
	Oldest uint64 // generation up to which the record reaches back
}

func (e *ExecutionUnknownError) Error() string {
	return fmt.Sprintf("the order builds on generation %d, orders are remembered from generation %d on", e.Base, e.Oldest)
}

// Status is 503: the order was perhaps taken, so it is not refused.
func (e *ExecutionUnknownError) Status() int { return http.StatusServiceUnavailable }

// SequenceError refuses a change that does not follow the snapshot that it was applied to.
type SequenceError struct {
	Have uint64 // sequence of the snapshot
	Got  uint64 // sequence of the change; Have+1 was wanted
}

func (e *SequenceError) Error() string {
	return fmt.Sprintf("change %d does not follow sequence %d", e.Got, e.Have)
}

// RepairError refuses a repair, or the stored form of a snapshot, that is not well formed.
type RepairError struct {
	Reason string
}

func (e *RepairError) Error() string { return "malformed repair: " + e.Reason }
