package proxy

import (
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/region/placement"
)

// forwardBuffered sends the client a response that was read completely.
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

// sendHeaders sends the status and the headers to the client. From then on the response can't be replaced.
func (a *attempt) sendHeaders() {
	a.headersSent = true
	if a.handler.lifecycle.draining() {
		setConnectionClose(a.client.Header())
	}
	a.client.WriteHeader(a.response.StatusCode)
}

// setContentLength sets Content-Length: the server's value in a response to HEAD, and otherwise the length of the
// body. Responses whose status excludes a body (204, 304) get no Content-Length.
func (a *attempt) setContentLength(header http.Header, length int) {
	switch {
	case a.request.Method == http.MethodHead:
		if length := a.response.Header["Content-Length"]; len(length) > 0 {
			header["Content-Length"] = length
		}
	case a.response.StatusCode == http.StatusNoContent, a.response.StatusCode == http.StatusNotModified:
	default:
		header["Content-Length"] = []string{strconv.Itoa(length)}
	}
}

// forwardLarge sends a response to the client while it is received from the server, chunked if its length is not
// known. If the server's response ends early, so does the client's.
func (a *attempt) forwardLarge(buffered *chargedBuffer) attemptOutcome {
	header := a.client.Header()
	copyResponseHeader(header, a.response.Header)
	if length := a.response.Header["Content-Length"]; len(length) > 0 && a.response.ContentLength >= 0 {
		header["Content-Length"] = length
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
		a.close(executed, placement.Canceled, false)
		return outcomeCanceled
	default:
		a.close(possiblyExecuted, placementOutcomeOfError(a.conn.BodyError(err)), false)
		if a.isCanceled() {
			return outcomeCanceled
		}
		return outcomeBroken
	}
}

// copyBody sends the buffered beginning of the body to the client, and then the rest as it is received. The error is a
// *clientWriteError if writing to the client failed, and otherwise the error of the server's connection.
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
		if readError == io.EOF { // never wrapped, see io.Reader
			return nil
		}
		if readError != nil {
			return readError
		}
	}
}

// clientWriteError is the error of writing a response to the client.
type clientWriteError struct{ err error }

// Error implements error.
func (e *clientWriteError) Error() string { return "write response to the client: " + e.err.Error() }

// Unwrap returns the cause.
func (e *clientWriteError) Unwrap() error { return e.err }
