package agent

import (
	"io"
	"strings"
	"syscall"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// failureKind classifies failed calls.
type failureKind int

const (
	failureDialTimeout   failureKind = iota // no connection was established in time
	failureTimeout                          // the response did not start, or was not read completely, in time
	failureReset                            // the connection was refused, or closed by the peer
	failureErrorResponse                    // the peer responded with an error
	failureOther                            // any other error
	failureKindCount                        // number of kinds
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

// isStalled reports whether a call was canceled because its response did not start or made no progress.
func isStalled(err error) bool {
	var stalled *stalledError
	return errors.As(err, &stalled)
}

// isReset reports whether the peer refused the connection, since no process listens there, or closed it.
func isReset(err error) bool {
	for _, cause := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF} {
		if errors.Is(err, cause) {
			return true
		}
	}
	// net/http has no error value for an idle connection that the peer closed.
	return strings.Contains(err.Error(), "server closed idle connection")
}

// failureCounts count failed calls by kind.
type failureCounts [failureKindCount]uint64

func (c *failureCounts) count(err error) { c[failureKindOf(err)]++ }

// fields returns the counts for the counters log line. Each key begins with called, which names the callee.
func (c *failureCounts) fields(called string) []zap.Field {
	return []zap.Field{
		zap.Uint64(called+"_dial_timeouts", c[failureDialTimeout]),
		zap.Uint64(called+"_timeouts", c[failureTimeout]),
		zap.Uint64(called+"_resets", c[failureReset]),
		zap.Uint64(called+"_error_responses", c[failureErrorResponse]),
		zap.Uint64(called+"_other_failures", c[failureOther]),
	}
}
