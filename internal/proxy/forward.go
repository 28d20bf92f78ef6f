package proxy

import (
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/placement"
)

// forwardBuffered hands the client an answer that is held whole.
func (a *attempt) forwardBuffered(buffer *chargedBuffer) attemptOutcome {
	var body []byte
	if buffer != nil {
		body = buffer.bytes
	}
	header := a.client.Header()
	copyResponseHeader(header, a.response.Header)
	a.setContentLength(header, len(body))
	a.sendHeaders()
	if len(body) > 0 {
		if _, err := a.client.Write(body); err != nil {
			return outcomeCanceled
		}
	}
	a.success = isSuccess(a.response.StatusCode)
	return outcomeDelivered
}

// sendHeaders passes the status and the head on.
func (a *attempt) sendHeaders() {
	a.headersSent = true
	if a.handler.lifecycle.draining() {
		setConnectionClose(a.client.Header())
	}
	a.client.WriteHeader(a.response.StatusCode)
}

// setContentLength sets Content-Length: for an answer to HEAD the server's, otherwise that of the body.
func (a *attempt) setContentLength(header http.Header, length int) {
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

// forwardLarge hands the client an answer in pieces, in chunks if its length is not known. If it breaks off, so does
// the client's.
func (a *attempt) forwardLarge(buffered *chargedBuffer) attemptOutcome {
	header := a.client.Header()
	copyResponseHeader(header, a.response.Header)
	if told := a.response.Header["Content-Length"]; len(told) > 0 && a.response.ContentLength >= 0 {
		header["Content-Length"] = told
	}
	a.sendHeaders()
	err := a.copyBody(buffered)
	var writeError *clientWriteError
	switch {
	case err == nil:
		a.close(executed, placementOutcomeOfResponse(a.response, executed), true)
		a.success = isSuccess(a.response.StatusCode)
		return outcomeDelivered
	case errors.As(err, &writeError):
		a.close(executed, placement.ClientGone, false)
		return outcomeCanceled
	default:
		a.close(possiblyExecuted, placementOutcomeOfError(a.conn.BodyError(err)), false)
		if a.isCanceled() {
			return outcomeCanceled
		}
		return outcomeBroken
	}
}

// copyBody passes on what was read of the body and then the rest. Its error is a *clientWriteError if the
// client no longer takes it, and otherwise that of the server's connection.
func (a *attempt) copyBody(buffered *chargedBuffer) error {
	if buffered != nil {
		if _, err := a.client.Write(buffered.bytes); err != nil {
			return &clientWriteError{err}
		}
	}
	buffer := make([]byte, copyBufferBytes)
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

// clientWriteError tells that the client no longer takes its answer.
type clientWriteError struct{ err error }

func (e *clientWriteError) Error() string { return "write to the client: " + e.err.Error() }

func (e *clientWriteError) Unwrap() error { return e.err }
