package upstream

import "fmt"

// DialError tells that no connection came up. Nothing of a request was sent.
type DialError struct {
	Server   Server
	TimedOut bool // the machine gave no sign of itself for the whole of Patience.Dial
	Err      error
}

func (e *DialError) Error() string {
	return fmt.Sprintf("connect to server %s at %s: %v", e.Server.ID, e.Server.Address, e.Err)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// SendError tells that a request could not be written whole.
type SendError struct {
	Server  Server
	Written int64 // bytes that the system took before the failure
	Err     error
}

func (e *SendError) Error() string {
	return fmt.Sprintf("send to server %s after %d bytes: %v", e.Server.ID, e.Written, e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Fault classifies what was wrong with an answer.
type Fault uint8

// Faults of an answer.
const (
	FaultBroken      Fault = iota // the connection ended or was reset
	FaultUnreachable              // the machine gave no sign of itself for Patience.Contact
	FaultDeadline                 // nothing came until the deadline
	FaultMalformed                // the bytes form no answer
	FaultMismatched               // the answer belongs to another request
)

// String returns the name of the fault.
func (f Fault) String() string {
	switch f {
	case FaultBroken:
		return "broken"
	case FaultUnreachable:
		return "silent"
	case FaultDeadline:
		return "timeout"
	case FaultMalformed:
		return "garbage"
	case FaultMismatched:
		return "foreign"
	default:
		return "unknown"
	}
}

// AnswerError tells that no usable answer to the request came. The request may have run.
type AnswerError struct {
	Server Server
	Fault  Fault
	Err    error // may be nil
}

func (e *AnswerError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("answer of server %s: %s", e.Server.ID, e.Fault)
	}
	return fmt.Sprintf("answer of server %s: %s: %v", e.Server.ID, e.Fault, e.Err)
}

// Unwrap returns the cause.
func (e *AnswerError) Unwrap() error { return e.Err }
