package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
)

const (
	// maxHeadBytes bounds the head of a response in bytes, including interim responses before it.
	maxHeadBytes = 64 << 10
	// maxInterim bounds the number of interim (1xx) responses before the final response.
	maxInterim = 4
)

var (
	errHeadTooLarge    = errors.New("response head exceeds the size limit")
	errProtocolSwitch  = errors.New("unexpected response 101 (Switching Protocols)")
	errTooManyInterims = errors.New("too many interim (1xx) responses")
)

// Response is a server's response to the request on a connection. Its Body reads from the connection and is not
// closed separately: Pool.Release and Pool.Discard end the use of the connection. Errors from reading the Body must
// be converted by Conn.BodyError.
type Response struct{ *http.Response }

// IsCloseDelimited reports whether the body extends until the server closes the connection (RFC 9112, section 6.3).
// Such a body is complete after an orderly close, and incomplete after a reset. A response to HEAD has no body, and
// is not close-delimited.
func (r Response) IsCloseDelimited() bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

// Receive reads the head of the response to the request that was sent, skips interim responses, and checks that the
// response carries the request's id. If no byte of the request was sent, the error is a *SendError, and otherwise a
// *ResponseError. The connection must not be reused after an error.
func (c *Conn) Receive(method, attemptID string) (Response, error) {
	c.attachReader()
	c.headBudget = maxHeadBytes
	response, err := c.receiveFinal(method)
	c.headBudget = -1
	if err != nil {
		return Response{}, c.receiveFailure(err)
	}
	if !matchesRequest(response, attemptID) {
		c.broken = true
		return Response{}, &ResponseError{Server: c.server, Fault: FaultMismatched}
	}
	if response.Close {
		c.broken = true
	}
	c.recordKeepAlive(response.Header)
	return response, nil
}

func (c *Conn) receiveFinal(method string) (Response, error) {
	c.request.Method = method
	for range maxInterim {
		//nolint:bodyclose // the body ends with the use of the connection, see Response
		response, err := http.ReadResponse(c.reader, &c.request)
		if err != nil {
			return Response{}, err
		}
		if response.StatusCode >= http.StatusOK {
			return Response{response}, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return Response{}, errProtocolSwitch
		}
	}
	return Response{}, errTooManyInterims
}

// receiveFailure classifies the error of a request that got no response.
func (c *Conn) receiveFailure(err error) error {
	c.broken = true
	c.stopSending()
	if c.nothingSent() {
		return &SendError{Server: c.server, Err: err}
	}
	return c.responseError(err)
}

func (c *Conn) responseError(err error) error {
	return &ResponseError{Server: c.server, Fault: faultOf(err), Err: err}
}

// BodyError converts an error from reading a response's body to a *ResponseError. The connection must not be reused.
func (c *Conn) BodyError(err error) error {
	c.broken = true
	return c.responseError(err)
}

func faultOf(err error) Fault {
	var netError net.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return FaultDeadline
	case errors.Is(err, syscall.ETIMEDOUT):
		return FaultUnreachable
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return FaultBroken
	case errors.As(err, &netError):
		return FaultBroken
	default:
		return FaultMalformed
	}
}

// Read implements io.Reader for the connection's read buffer, and limits the size of a response's head. While the
// request is still being written, io.EOF is reported as io.ErrUnexpectedEOF: the writing goroutine may already have
// consumed the error of a reset, which then looks like an orderly close to the reader.
func (c *Conn) Read(buffer []byte) (int, error) {
	if c.headBudget == 0 {
		return 0, errHeadTooLarge
	}
	if c.headBudget > 0 && len(buffer) > c.headBudget {
		buffer = buffer[:c.headBudget]
	}
	n, err := c.socket.Read(buffer)
	if c.headBudget > 0 {
		c.headBudget -= n
	}
	if errors.Is(err, io.EOF) && !c.fullySent() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
