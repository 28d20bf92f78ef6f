package operatorapi

import (
	"fmt"
	"net/http"
)

// RejectionError is a failure with an answer of its own: a status and a word for programs.
type RejectionError interface {
	error
	// Status is the HTTP status of the answer.
	Status() int
	// Code names the kind of failure.
	Code() string
}

// NotReadyError refuses a call because this machine knows no agreed view yet.
type NotReadyError struct{}

func (*NotReadyError) Error() string { return "this machine has not joined the others yet" }

// Status is 503.
func (*NotReadyError) Status() int { return http.StatusServiceUnavailable }

// Code is not_ready.
func (*NotReadyError) Code() string { return "not_ready" }

// NotAuthoritativeError refuses a call because what this machine knows may be old.
type NotAuthoritativeError struct{}

func (*NotAuthoritativeError) Error() string { return "this machine is out of touch with the others" }

// Status is 503.
func (*NotAuthoritativeError) Status() int { return http.StatusServiceUnavailable }

// Code is out_of_touch.
func (*NotAuthoritativeError) Code() string { return "out_of_touch" }

// BusyError refuses an order because as many as allowed are under way.
type BusyError struct{}

func (*BusyError) Error() string { return "too many orders are under way at this machine" }

// Status is 503.
func (*BusyError) Status() int { return http.StatusServiceUnavailable }

// Code is busy.
func (*BusyError) Code() string { return "busy" }

// CallerGoneError refuses an order whose caller closed the connection before the order was taken.
type CallerGoneError struct{}

func (*CallerGoneError) Error() string { return "the caller has given the order up" }

// Status is 503.
func (*CallerGoneError) Status() int { return http.StatusServiceUnavailable }

// Code is caller_gone.
func (*CallerGoneError) Code() string { return "caller_gone" }

// NoEndpointsError refuses a lookup because no proxy is known to take requests.
type NoEndpointsError struct{}

func (*NoEndpointsError) Error() string { return "no edge address is known here" }

// Status is 503.
func (*NoEndpointsError) Status() int { return http.StatusServiceUnavailable }

// Code is no_endpoints.
func (*NoEndpointsError) Code() string { return "no_endpoints" }

// BodyTooLargeError refuses a body over the bound.
type BodyTooLargeError struct{ LimitBytes int64 }

func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("the body exceeds %d bytes", e.LimitBytes)
}

// Status is 413.
func (*BodyTooLargeError) Status() int { return http.StatusRequestEntityTooLarge }

// Code is body_too_large.
func (*BodyTooLargeError) Code() string { return "body_too_large" }

// BodyTimeoutError refuses a body that did not arrive in time.
type BodyTimeoutError struct{}

func (*BodyTimeoutError) Error() string { return "the body did not arrive in time" }

// Status is 408.
func (*BodyTimeoutError) Status() int { return http.StatusRequestTimeout }

// Code is body_slow.
func (*BodyTimeoutError) Code() string { return "body_slow" }

// BodyIncompleteError refuses a body that ended early or was malformed on the wire. It may come whole when it is
// sent again.
type BodyIncompleteError struct{ Cause error }

func (e *BodyIncompleteError) Error() string {
	return "the body did not arrive whole: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BodyIncompleteError) Unwrap() error { return e.Cause }

// Status is 408.
func (*BodyIncompleteError) Status() int { return http.StatusRequestTimeout }

// Code is body_broken.
func (*BodyIncompleteError) Code() string { return "body_broken" }

// BadParameterError refuses a call whose header, path or query is missing something or malformed.
type BadParameterError struct{ Cause error }

func (e *BadParameterError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *BadParameterError) Unwrap() error { return e.Cause }

// Status is 400.
func (*BadParameterError) Status() int { return http.StatusBadRequest }

// Code is bad_parameter.
func (*BadParameterError) Code() string { return "bad_parameter" }

// MissingBaseError refuses a configuration that does not say what it builds on.
type MissingBaseError struct{}

func (*MissingBaseError) Error() string { return "the header X-Fieldrelay-Base-Rev is missing" }

// Status is 400.
func (*MissingBaseError) Status() int { return http.StatusBadRequest }

// Code is missing_base.
func (*MissingBaseError) Code() string { return "missing_base" }

// UnknownZoneError refuses the evacuation of a zone that does not exist.
type UnknownZoneError struct{ Zone string }

func (e *UnknownZoneError) Error() string { return fmt.Sprintf("no zone is named %q", e.Zone) }

// Status is 404.
func (*UnknownZoneError) Status() int { return http.StatusNotFound }

// Code is unknown_zone.
func (*UnknownZoneError) Code() string { return "unknown_zone" }

// ResultError stands for the result of an order that came without a body.
type ResultError struct{ HTTPStatus int }

func (e *ResultError) Error() string {
	if e.HTTPStatus == http.StatusServiceUnavailable {
		return "the fate of the order is not known; it may be sent again"
	}
	return "the order was refused: " + http.StatusText(e.HTTPStatus)
}

// Status is that of the result.
func (e *ResultError) Status() int { return e.HTTPStatus }

// Code follows the status.
func (e *ResultError) Code() string {
	switch e.HTTPStatus {
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
