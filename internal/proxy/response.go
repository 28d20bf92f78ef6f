package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"fieldrelay/internal/placement"
	"fieldrelay/internal/proxy/upstream"
	"fieldrelay/internal/route"
)

const (
	// maxBufferedResponse is the largest answer that is read whole before its status goes to the client.
	maxBufferedResponse = 1 << 20
	// copyBufferBytes is the size of the pieces in which larger answers are passed on.
	copyBufferBytes = 32 << 10
)

// attempt is a request at one server from the head of the answer on.
type attempt struct {
	*exchange
	decision       placement.Decision
	conn           *upstream.Conn
	response       upstream.Response
	stopAbort      func() bool // keeps the client's leaving from closing the connection
	eventForwarded bool        // an event of this server was passed on
}

// receive passes the answer on, or finds that it can't be.
func (a *attempt) receive() attemptOutcome {
	a.applyHeaderHints()
	state := executionOfResponse(a.response.StatusCode, a.response.Header)
	if state == executed && a.isStream() {
		return a.receiveStream()
	}
	if a.exchange.stream != nil {
		return a.failResumption(state)
	}
	return a.receiveBuffered(state)
}

// applyHeaderHints takes in what the head tells about the server.
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
		if seconds, err := strconv.ParseFloat(values[0], 64); err == nil && seconds > 0 && seconds < longestDeadline.Seconds() {
			a.exchange.retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
}

func (a *attempt) isStream() bool {
	return isSuccess(a.response.StatusCode) &&
		a.route.Kind == route.KindStreaming &&
		strings.HasPrefix(strings.ToLower(a.response.Header.Get("Content-Type")), "text/event-stream")
}

// failResumption takes in an answer with which a stream can't be taken up.
func (a *attempt) failResumption(state executionState) attemptOutcome {
	if state == executed {
		state = possiblyExecuted
	}
	a.close(state, placementOutcomeOfResponse(a.response, state), false)
	return a.failedOrCanceled()
}

// receiveBuffered reads an answer whole before it passes it on, so that one that breaks off can be replaced.
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

// readBuffered reads the body up to the bound on whole answers.
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
		return nil, false, nil // passed on in pieces
	}
	complete, err = buffer.fill(a.response.Body, maxBufferedResponse)
	if err == errNoMemory {
		return buffer, false, nil
	}
	return buffer, complete, err
}

// recordBrokenResponse takes in an answer whose body did not come whole. A promise holds all the same.
func (a *attempt) recordBrokenResponse(state executionState, err error) attemptOutcome {
	if state == executed {
		state = possiblyExecuted
	}
	outcome := placementOutcomeOfError(a.conn.BodyError(err))
	a.close(state, outcome, false)
	return a.failedOrCanceled()
}

// close ends the attempt at the server. The connection is kept only if the answer was read to its end.
func (a *attempt) close(state executionState, outcome placement.Outcome, readToEnd bool) {
	a.record(state)
	a.placement.Excluded = append(a.placement.Excluded, a.decision.ServerID)
	if a.isCanceled() && !readToEnd {
		outcome = placement.ClientGone
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

func (a *attempt) failedOrCanceled() attemptOutcome {
	if a.isCanceled() {
		return outcomeCanceled
	}
	return outcomeFailed
}
