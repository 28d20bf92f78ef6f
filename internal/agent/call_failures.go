package agent

import (
	"io"
	"strings"
	"syscall"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// failureKind tells how a call failed.
type failureKind int

const (
	failureDialTimeout   failureKind = iota // none came up in time
	failureTimeout                          // the call was not answered, or not read whole, in its time
	failureReset                            // the other side refused the connection or broke it off
	failureErrorResponse                    // the other process answered with an error
	failureOther
	failureKindCount
)

// failureKindOf classifies the error of a call.
func failureKindOf(err error) failureKind {
	switch {
	case errors.Is(err, errDialTimeout):
		return failureDialTimeout
	case connect.IsWireError(err):
		return failureErrorResponse
	case connect.CodeOf(err) == connect.CodeDeadlineExceeded, isStalled(err):
		return failureTimeout
	case isReset(err):
		return failureReset
	}
	return failureOther
}

// isStalled tells whether a call was given up because no answer came, or no more of it.
func isStalled(err error) bool {
	var stalled *stalledError
	return errors.As(err, &stalled)
}

// isReset tells whether nobody listens at the other side, or it has closed the connection.
func isReset(err error) bool {
	for _, cause := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF} {
		if errors.Is(err, cause) {
			return true
		}
	}
	// net/http has no error value for a connection that the other side closed while it carried no call.
	return strings.Contains(err.Error(), "server closed idle connection")
}

// failureCounts count failed calls by kind.
type failureCounts [failureKindCount]uint64

func (c *failureCounts) count(err error) { c[failureKindOf(err)]++ }

// fields are the counts for a line of the log, with names that begin by what was called.
func (c *failureCounts) fields(called string) []zap.Field {
	return []zap.Field{
		zap.Uint64(called+"_no_connection", c[failureDialTimeout]),
		zap.Uint64(called+"_timed_out", c[failureTimeout]),
		zap.Uint64(called+"_reset", c[failureReset]),
		zap.Uint64(called+"_refused", c[failureErrorResponse]),
		zap.Uint64(called+"_failed_otherwise", c[failureOther]),
	}
}
