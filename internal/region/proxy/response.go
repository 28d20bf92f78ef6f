package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/region/placement"
	"fieldrelay/internal/region/proxy/upstream"
	"fieldrelay/internal/region/route"
)

const (
	// maxBufferedResponse is the size in bytes of the largest response body that is read completely before the response
	// is forwarded.
	maxBufferedResponse = 1 << 20
	// copyBufferBytes is the size of the buffer with which larger bodies are forwarded.
	copyBufferBytes = 32 << 10
)

// attempt is an attempt whose server has sent the head of a response.
type attempt struct {
	*exchange
	decision       placement.Decision
	conn           *upstream.Conn
	response       upstream.Response
	stopAbort      func() bool // unregisters the abort of conn on cancellation; returns false if conn was aborted
	eventForwarded bool        // an event of this server was forwarded to the client
}

// receive forwards the response to the client if possible. It ends the attempt in any case.
func (a *attempt) receive() attemptOutcome {
	a.applyHeaderHints()
	state := executionOfResponse(a.response.StatusCode, a.response.Header)
	if state == executed && a.isStream() {
		return a.receiveStream()
	}
	if a.stream != nil {
		return a.failResumption(state)
	}
	return a.receiveBuffered(state)
}

// applyHeaderHints evaluates what the head of the response says about the server: that it is draining (Connection:
// close, which is ignored for close-delimited responses, since these always have that header), that it is warming up,
// and when to retry.
func (a *attempt) applyHeaderHints() {
	if !a.response.IsCloseDelimited() {
		a.handler.dispatcher.responseReceived(a.decision.ServerID, a.response.Close)
	}
	if values := a.response.Header[headerWarmup]; len(values) > 0 {
		if milliseconds, err := strconv.ParseUint(values[0], 10, 31); err == nil && milliseconds > 0 {
			a.handler.dispatcher.serverWarmingUp(a.decision.ServerID, time.Duration(milliseconds)*time.Millisecond)
		}
	}
	if values := a.response.Header["Retry-After"]; len(values) > 0 {
		if seconds, err := strconv.ParseFloat(values[0], 64); err == nil && seconds > 0 && seconds < maxDeadline.Seconds() {
			a.retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
}

// isStream reports whether the response is a stream of server-sent events.
func (a *attempt) isStream() bool {
	return isSuccess(a.response.StatusCode) &&
		a.route.Kind == route.KindStreaming &&
		strings.HasPrefix(strings.ToLower(a.response.Header.Get("Content-Type")), "text/event-stream")
}

// failResumption ends an attempt whose response can't continue the client's stream. The server may nevertheless have run
// the request.
func (a *attempt) failResumption(state executionState) attemptOutcome {
	if state == executed {
		state = possiblyExecuted
	}
	a.close(state, placementOutcomeOfResponse(a.response, state), false)
	return a.failedOrCanceled()
}

// receiveBuffered reads a response completely before forwarding it, so that a response that ends early can be replaced by
// the response of another server. A response that is too large to be buffered is forwarded while it is received.
func (a *attempt) receiveBuffered(state executionState) attemptOutcome {
	a.handler.dispatcher.started(a.decision.Attempt)
	a.firstByte = time.Now()
	buffer, complete, err := a.readBuffered()
	defer buffer.free()
	if err != nil {
		return a.recordBrokenResponse(state, err)
	}
	if !state.usable() {
		a.close(state, placementOutcomeOfResponse(a.response, state), complete)
		return a.failedOrCanceled()
	}
	if !complete {
		return a.forwardLarge(buffer)
	}
	a.close(state, placementOutcomeOfResponse(a.response, state), true)
	if isServerFailure(a.response.StatusCode) && a.mayRetry() {
		return a.failedOrCanceled()
	}
	return a.forwardBuffered(buffer)
}

// readBuffered reads the body up to maxBufferedResponse bytes. complete is false if the body is larger or the memory limit
// is reached; the buffer then has the beginning of the body, or is nil if nothing was read. The caller frees the buffer.
func (a *attempt) readBuffered() (buffer *chargedBuffer, complete bool, err error) {
	if a.response.Body == http.NoBody {
		return nil, true, nil
	}
	size := initialBodyBytes
	if length := a.response.ContentLength; length >= 0 {
		size = int(min(length, maxBufferedResponse)) + 1
	}
	buffer, err = newChargedBuffer(a.handler.memory, size)
	if err != nil {
		return nil, false, nil // the memory limit is reached: the response is forwarded while it is received
	}
	complete, err = buffer.fill(a.response.Body, maxBufferedResponse)
	if errors.Is(err, errNoMemory) {
		return buffer, false, nil
	}
	return buffer, complete, err
}

// recordBrokenResponse ends an attempt whose response ended early. If the head of the response guaranteed that the
// request was not run, the guarantee still holds.
func (a *attempt) recordBrokenResponse(state executionState, err error) attemptOutcome {
	if state == executed {
		state = possiblyExecuted
	}
	outcome := placementOutcomeOfError(a.conn.BodyError(err))
	a.close(state, outcome, false)
	return a.failedOrCanceled()
}

// close ends the attempt: it records the result, reports it to placement, and releases the connection to the pool or
// discards it. The connection is reused only if the response was read completely, the connection was not aborted by a
// cancellation, and the server's response was neither ambiguous nor 421.
func (a *attempt) close(state executionState, outcome placement.Outcome, readToEnd bool) {
	a.record(state)
	a.placement.Excluded = append(a.placement.Excluded, a.decision.ServerID)
	if a.isCanceled() && !readToEnd {
		outcome = placement.Canceled
	}
	a.finishAttempt(a.decision, outcome)
	notAborted := a.stopAbort()
	reusable := state != possiblyExecuted && a.response.StatusCode != http.StatusMisdirectedRequest
	if readToEnd && notAborted && reusable {
		a.handler.pool.Release(a.conn)
		return
	}
	a.handler.pool.Discard(a.conn)
}

// failedOrCanceled returns the outcome of an attempt that did not complete the client's response.
func (a *attempt) failedOrCanceled() attemptOutcome {
	if a.isCanceled() {
		return outcomeCanceled
	}
	return outcomeFailed
}
