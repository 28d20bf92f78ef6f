package operatorapi

import (
	"fmt"
	"net/http"

	"fieldrelay/internal/region/operatorapi/rejection"
)

// NotAuthoritativeError rejects a call because this machine's knowledge may be stale.
type NotAuthoritativeError struct{}

// Error returns the message of the response.
func (*NotAuthoritativeError) Error() string { return "this machine is out of touch with the others" }

// Status returns 503.
func (*NotAuthoritativeError) Status() int { return http.StatusServiceUnavailable }

// Code returns out_of_touch.
func (*NotAuthoritativeError) Code() string { return "out_of_touch" }

// BusyError rejects an order because the limit of open orders or of large bodies in memory is reached.
type BusyError struct{}

// Error returns the message of the response.
func (*BusyError) Error() string { return "too many orders are under way at this machine" }

// Status returns 503.
func (*BusyError) Status() int { return http.StatusServiceUnavailable }

// Code returns busy.
func (*BusyError) Code() string { return "busy" }

// CallerDisconnectedError rejects an order whose caller closed the connection before the order was submitted.
type CallerDisconnectedError struct{}

// Error returns the message of the response.
func (*CallerDisconnectedError) Error() string { return "the caller has given the order up" }

// Status returns 503.
func (*CallerDisconnectedError) Status() int { return http.StatusServiceUnavailable }

// Code returns caller_gone.
func (*CallerDisconnectedError) Code() string { return "caller_gone" }

// NoEndpointsError rejects a lookup because no proxy is known to accept requests.
type NoEndpointsError struct{}

// Error returns the message of the response.
func (*NoEndpointsError) Error() string { return "no edge address is known here" }

// Status returns 503.
func (*NoEndpointsError) Status() int { return http.StatusServiceUnavailable }

// Code returns no_endpoints.
func (*NoEndpointsError) Code() string { return "no_endpoints" }

// BadParameterError rejects a call with a missing or malformed parameter in a header, the path or the query.
type BadParameterError struct{ Cause error }

// Error returns the message of the response.
func (e *BadParameterError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *BadParameterError) Unwrap() error { return e.Cause }

// Status returns 400.
func (*BadParameterError) Status() int { return http.StatusBadRequest }

// Code returns bad_parameter.
func (*BadParameterError) Code() string { return "bad_parameter" }

// MissingBaseError rejects a configuration that does not name the generation that it is based on.
type MissingBaseError struct{}

// Error returns the message of the response.
func (*MissingBaseError) Error() string { return "the header X-Fieldrelay-Base-Rev is missing" }

// Status returns 400.
func (*MissingBaseError) Status() int { return http.StatusBadRequest }

// Code returns missing_base.
func (*MissingBaseError) Code() string { return "missing_base" }

// UnknownZoneError rejects the evacuation of a zone that does not exist.
type UnknownZoneError struct{ Zone string }

// Error returns the message of the response.
func (e *UnknownZoneError) Error() string { return fmt.Sprintf("no zone is named %q", e.Zone) }

// Status returns 404.
func (*UnknownZoneError) Status() int { return http.StatusNotFound }

// Code returns unknown_zone.
func (*UnknownZoneError) Code() string { return "unknown_zone" }

// ResultError rejects an order whose result has an error status but no body, or for which no result is known.
type ResultError struct{ HTTPStatus int }

// Error returns the message of the response.
func (e *ResultError) Error() string {
	if e.HTTPStatus == http.StatusServiceUnavailable {
		return "the fate of the order is not known; it may be sent again"
	}
	return "the order was refused: " + http.StatusText(e.HTTPStatus)
}

// Status returns the status of the result.
func (e *ResultError) Status() int { return e.HTTPStatus }

// Code returns the code for the status.
func (e *ResultError) Code() string { return rejection.Code(e.HTTPStatus) }
