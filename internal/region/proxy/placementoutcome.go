package proxy

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/region/placement"
	"fieldrelay/internal/region/proxy/upstream"
)

// placementOutcomeOfError maps an error from package upstream to the outcome that is reported to placement.
func placementOutcomeOfError(err error) placement.Outcome {
	var dialError *upstream.DialError
	if errors.As(err, &dialError) && dialError.TimedOut {
		return placement.Unreachable
	}
	var responseError *upstream.ResponseError
	if !errors.As(err, &responseError) {
		return placement.Reset
	}
	switch responseError.Fault {
	case upstream.FaultUnreachable:
		return placement.Unreachable
	case upstream.FaultDeadline:
		return placement.TimedOut
	case upstream.FaultBroken:
		return placement.Reset
	default:
		return placement.Failed
	}
}

// placementOutcomeOfResponse maps a response to the outcome that is reported to placement.
func placementOutcomeOfResponse(response upstream.Response, state executionState) placement.Outcome {
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		return placement.Misdirected
	case state == notExecuted:
		return placement.Rejected
	case state == possiblyExecuted, isServerFailure(response.StatusCode):
		return placement.Failed
	default:
		return placement.Done
	}
}

// isServerFailure reports whether a status indicates a failure of the server, so that another server may succeed.
func isServerFailure(status int) bool { return status >= http.StatusInternalServerError }
