package proxy

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/placement"
	"fieldrelay/internal/proxy/upstream"
	"fieldrelay/internal/route"
)

const (
	// maxWholeAnswer is the largest answer that is read whole before its status goes to the client.
	maxWholeAnswer = 1 << 20
	// copyBuffer is the size of the pieces in which larger answers are passed on.
	copyBuffer = 32 << 10
)

// attempt is a request at one server from the head of the answer on.
type attempt struct {
	*exchange
	decision placement.Decision
	conn     *upstream.Conn
	response upstream.Response
	stop     func() bool // keeps the client's leaving from closing the connection
	spoke    bool        // an event of this server was passed on
}

// receive passes the answer on, or finds that it can't be.
func (a *attempt) receive() verdict {
	a.noteHints()
	f := fateOfAnswer(a.response.StatusCode, a.response.Header)
	if f == fateRan && a.isStream() {
		return a.receiveStream()
	}
	if a.exchange.stream != nil {
		return a.rejectInStream(f)
	}
	return a.receiveWhole(f)
}

// noteHints takes in what the head tells about the server.
func (a *attempt) noteHints() {
	if !a.response.IsCloseDelimited() {
		a.handler.dispatcher.answered(a.decision.ServerID, a.response.Close)
	}
	if values := a.response.Header[headerWarmup]; len(values) > 0 {
		if milliseconds, err := strconv.ParseUint(values[0], 10, 31); err == nil && milliseconds > 0 {
			a.handler.dispatcher.serverCold(a.decision.ServerID, time.Duration(milliseconds)*time.Millisecond)
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

// rejectInStream takes in an answer with which a stream can't be taken up.
func (a *attempt) rejectInStream(f fate) verdict {
	if f == fateRan {
		f = fateUnknown
	}
	a.close(f, outcomeOfAnswer(a.response, f), false)
	return a.failedUnlessGone()
}

// receiveWhole reads an answer whole before it passes it on, so that one that breaks off can be replaced.
func (a *attempt) receiveWhole(f fate) verdict {
	a.handler.dispatcher.started(a.decision.Attempt)
	a.firstAnswer = time.Now()
	buffer, whole, err := a.readWhole()
	defer buffer.free()
	if err != nil {
		return a.brokenAnswer(f, err)
	}
	if !f.usable() {
		a.close(f, outcomeOfAnswer(a.response, f), whole)
		return a.failedUnlessGone()
	}
	if !whole {
		return a.passLarge(buffer)
	}
	a.close(f, outcomeOfAnswer(a.response, f), true)
	if isServerFailure(a.response.StatusCode) && a.mayRepeat() {
		return a.failedUnlessGone()
	}
	return a.passWhole(buffer)
}

// isServerFailure tells whether another server may do better.
func isServerFailure(status int) bool { return status >= http.StatusInternalServerError }

// readWhole reads the body up to the bound on whole answers.
func (a *attempt) readWhole() (buffer *chargedBuffer, whole bool, err error) {
	if a.response.Body == http.NoBody {
		return nil, true, nil
	}
	size := firstBody
	if length := a.response.ContentLength; length >= 0 {
		size = int(min(length, maxWholeAnswer)) + 1
	}
	buffer, err = newChargedBuffer(a.handler.memory, size)
	if err != nil {
		return nil, false, nil // passed on in pieces
	}
	whole, err = buffer.fill(a.response.Body, maxWholeAnswer)
	if err == errNoMemory {
		return buffer, false, nil
	}
	return buffer, whole, err
}

// brokenAnswer takes in an answer whose body did not come whole. A promise holds all the same.
func (a *attempt) brokenAnswer(f fate, err error) verdict {
	if f == fateRan {
		f = fateUnknown
	}
	outcome := outcomeOfError(a.conn.BodyError(err))
	a.close(f, outcome, false)
	return a.failedUnlessGone()
}

// close ends the attempt at the server. The connection is kept only if the answer was read to its end.
func (a *attempt) close(f fate, outcome placement.Outcome, readWhole bool) {
	a.record(f)
	a.place.Excluded = append(a.place.Excluded, a.decision.ServerID)
	if a.gone() && !readWhole {
		outcome = placement.ClientGone
	}
	a.finish(a.decision, outcome)
	untouched := a.stop()
	sound := f != fateUnknown && a.response.StatusCode != http.StatusMisdirectedRequest
	if readWhole && untouched && sound {
		a.handler.pool.Release(a.conn)
		return
	}
	a.handler.pool.Discard(a.conn)
}

func (a *attempt) failedUnlessGone() verdict {
	if a.gone() {
		return verdictGone
	}
	return verdictFailed
}

// passWhole hands the client an answer that is held whole.
func (a *attempt) passWhole(buffer *chargedBuffer) verdict {
	var body []byte
	if buffer != nil {
		body = buffer.bytes
	}
	header := a.client.Header()
	copyAnswerHeader(header, a.response.Header)
	a.tellLength(header, len(body))
	a.beginAnswer()
	if len(body) > 0 {
		if _, err := a.client.Write(body); err != nil {
			return verdictGone
		}
	}
	a.success = isSuccess(a.response.StatusCode)
	return verdictDelivered
}

// beginAnswer passes the status and the head on.
func (a *attempt) beginAnswer() {
	a.begun = true
	if a.handler.lifecycle.draining() {
		askToLeave(a.client.Header())
	}
	a.client.WriteHeader(a.response.StatusCode)
}

// tellLength sets Content-Length: for an answer to HEAD the server's, otherwise that of the body.
func (a *attempt) tellLength(header http.Header, length int) {
	switch {
	case a.request.Method == http.MethodHead:
		if told := a.response.Header["Content-Length"]; len(told) > 0 {
			header["Content-Length"] = told
		}
	case a.response.StatusCode == http.StatusNoContent, a.response.StatusCode == http.StatusNotModified:
	default:
		header["Content-Length"] = []string{strconv.Itoa(length)}
	}
}

// passLarge hands the client an answer in pieces, in chunks if its length is not known. If it breaks off, so does
// the client's.
func (a *attempt) passLarge(begun *chargedBuffer) verdict {
	header := a.client.Header()
	copyAnswerHeader(header, a.response.Header)
	if told := a.response.Header["Content-Length"]; len(told) > 0 && a.response.ContentLength >= 0 {
		header["Content-Length"] = told
	}
	a.beginAnswer()
	err := a.passPieces(begun)
	var writeError *clientWriteError
	switch {
	case err == nil:
		a.close(fateRan, outcomeOfAnswer(a.response, fateRan), true)
		a.success = isSuccess(a.response.StatusCode)
		return verdictDelivered
	case errors.As(err, &writeError):
		a.close(fateRan, placement.ClientGone, false)
		return verdictGone
	default:
		a.close(fateUnknown, outcomeOfError(a.conn.BodyError(err)), false)
		if a.gone() {
			return verdictGone
		}
		return verdictBroken
	}
}

// passPieces passes on what was read of the body and then the rest. Its error is a *clientWriteError if the
// client no longer takes it, and otherwise that of the server's connection.
func (a *attempt) passPieces(begun *chargedBuffer) error {
	if begun != nil {
		if _, err := a.client.Write(begun.bytes); err != nil {
			return &clientWriteError{err}
		}
	}
	buffer := make([]byte, copyBuffer)
	for {
		n, readError := a.response.Body.Read(buffer)
		if n > 0 {
			if _, err := a.client.Write(buffer[:n]); err != nil {
				return &clientWriteError{err}
			}
		}
		switch readError {
		case nil:
		case io.EOF:
			return nil
		default:
			return readError
		}
	}
}

// outcomeOfAnswer tells placement what an answer says about the server.
func outcomeOfAnswer(response upstream.Response, f fate) placement.Outcome {
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		return placement.Misdirected
	case f == fatePromised:
		return placement.Refused
	case f == fateUnknown, isServerFailure(response.StatusCode):
		return placement.Failed
	default:
		return placement.Done
	}
}
