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
	// maxBufferedResponse is the largest body, in bytes, that is read completely before its headers are sent.
	maxBufferedResponse = 1 << 20
	// copyBufferBytes is the size of the buffer through which larger bodies are forwarded.
	copyBufferBytes = 32 << 10
)

// attempt is one attempt whose server has sent the head of a response.
type attempt struct {
	*exchange
	decision       placement.Decision
	conn           *upstream.Conn
	response       upstream.Response
	stopAbort      func() bool // ends the abort of conn on cancellation; false: it was aborted
	eventForwarded bool        // an event of this server was forwarded
}

// receive forwards the response, or finds that it can't be forwarded. It ends the attempt in any case.
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

// applyHeaderHints evaluates what the head says about the server: that it is draining (Connection: close, unless
// the response is close-delimited and could not do without), warming up, or when to retry.
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

// failResumption ends an attempt whose response can't continue the client's stream. It may have run all the same.
func (a *attempt) failResumption(state executionState) attemptOutcome {
	if state == executed {
		state = possiblyExecuted
	}
	a.close(state, placementOutcomeOfResponse(a.response, state), false)
	return a.failedOrCanceled()
}

// receiveBuffered reads a response completely before it is forwarded, so that one that breaks off can be replaced
// by another server's. One that is too large for that is forwarded while it is read.
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

// readBuffered reads the body up to maxBufferedResponse bytes. complete is false if there is more, or if there is
// no memory for it; the buffer then has the beginning, nil for none. The caller frees the buffer.
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
		return nil, false, nil // no memory: it is forwarded while it is read
	}
	complete, err = buffer.fill(a.response.Body, maxBufferedResponse)
	if errors.Is(err, errNoMemory) {
		return buffer, false, nil
	}
	return buffer, complete, err
}

// recordBrokenResponse ends an attempt whose response broke off. If its head said that the request was not run,
// that still holds.
func (a *attempt) recordBrokenResponse(state executionState, err error) attemptOutcome {
	if state == executed {
		state = possiblyExecuted
	}
	outcome := placementOutcomeOfError(a.conn.BodyError(err))
	a.close(state, outcome, false)
	return a.failedOrCanceled()
}

// close ends the attempt: it records the result, reports it to placement, and releases the connection if it may be
// reused. It may be only if the response was read to its end, the client's cancellation has not aborted it, and the
// server responded as it should.
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

// failedOrCanceled is the outcome of an attempt without a forwarded response.
func (a *attempt) failedOrCanceled() attemptOutcome {
	if a.isCanceled() {
		return outcomeCanceled
	}
	return outcomeFailed
}
