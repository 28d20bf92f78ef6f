package upstream

import "fmt"

// DialError reports that no connection to a server could be opened. No byte of a request was sent.
type DialError struct {
	Server   Server
	TimedOut bool  // the machine did not answer within DialTimeouts.Dial; false if it refused the connection
	Err      error // cause
}

// Error implements error.
func (e *DialError) Error() string {
	return fmt.Sprintf("connect to server %s at %s: %v", e.Server.ID, e.Server.Address, e.Err)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// SendError reports that a request was not written completely. If Written is 0, the server has not executed the
// request.
type SendError struct {
	Server  Server
	Written int64 // bytes that the kernel accepted before the failure
	Err     error // cause
}

// Error implements error.
func (e *SendError) Error() string {
	return fmt.Sprintf("send to server %s after %d bytes: %v", e.Server.ID, e.Written, e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Fault classifies why a response is not usable.
type Fault uint8

// Faults of a response.
const (
	FaultBroken      Fault = iota // the connection was closed or reset before the response was complete
	FaultUnreachable              // the machine acknowledged nothing for DialTimeouts.Unacknowledged
	FaultDeadline                 // the connection's deadline passed
	FaultMalformed                // the bytes received are not an HTTP/1 response
	FaultMismatched               // the response carries the id of another request, or no id
)

// String returns the name of the fault.
func (f Fault) String() string {
	switch f {
	case FaultBroken:
		return "connection broken"
	case FaultUnreachable:
		return "machine unreachable"
	case FaultDeadline:
		return "deadline exceeded"
	case FaultMalformed:
		return "malformed response"
	case FaultMismatched:
		return "response to another request"
	default:
		return "unknown fault"
	}
}

// ResponseError reports that no usable response to a request was received. The server may have executed the request.
type ResponseError struct {
	Server Server
	Fault  Fault
	Err    error // cause; nil for FaultMismatched
}

// Error implements error.
func (e *ResponseError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("receive from server %s: %s", e.Server.ID, e.Fault)
	}
	return fmt.Sprintf("receive from server %s: %s: %v", e.Server.ID, e.Fault, e.Err)
}

// Unwrap returns the cause.
func (e *ResponseError) Unwrap() error { return e.Err }
