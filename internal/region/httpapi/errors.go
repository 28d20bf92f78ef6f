// Package httpapi has the common parts of the HTTP APIs of a control machine: errors that have their own responses, the
// limited reading of request bodies, the limit on open calls, and JSON responses.
package httpapi

import (
	"fmt"
	"net/http"
)

// RejectionError is an error with its own response: an HTTP status, a code for programs and a message, which Error
// returns.
type RejectionError interface {
	error
	// Status returns the HTTP status of the response.
	Status() int
	// Code returns the code of the response.
	Code() string
}

// NotReadyError rejects a call because this machine knows no view yet.
type NotReadyError struct{}

// Error returns the message of the response.
func (*NotReadyError) Error() string { return "this machine has not joined the others yet" }

// Status returns 503.
func (*NotReadyError) Status() int { return http.StatusServiceUnavailable }

// Code returns not_ready.
func (*NotReadyError) Code() string { return "not_ready" }

// BodyTooLargeError rejects a body that exceeds the size limit.
type BodyTooLargeError struct{ LimitBytes int64 }

// Error returns the message of the response.
func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("the body exceeds %d bytes", e.LimitBytes)
}

// Status returns 413.
func (*BodyTooLargeError) Status() int { return http.StatusRequestEntityTooLarge }

// Code returns body_too_large.
func (*BodyTooLargeError) Code() string { return "body_too_large" }

// BodyTimeoutError rejects a body that did not arrive in time.
type BodyTimeoutError struct{}

// Error returns the message of the response.
func (*BodyTimeoutError) Error() string { return "the body did not arrive in time" }

// Status returns 408.
func (*BodyTimeoutError) Status() int { return http.StatusRequestTimeout }

// Code returns body_slow.
func (*BodyTimeoutError) Code() string { return "body_slow" }

// BodyIncompleteError rejects a body that ended early or was malformed on the wire. A retry may succeed, hence 408.
type BodyIncompleteError struct{ Cause error }

// Error returns the message of the response.
func (e *BodyIncompleteError) Error() string {
	return "the body did not arrive whole: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BodyIncompleteError) Unwrap() error { return e.Cause }

// Status returns 408.
func (*BodyIncompleteError) Status() int { return http.StatusRequestTimeout }

// Code returns body_broken.
func (*BodyIncompleteError) Code() string { return "body_broken" }
