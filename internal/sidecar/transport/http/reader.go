package http

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"fieldrelay/internal/sidecar/budget"
	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/relay"
	"fieldrelay/internal/sidecar/socket"
)

const (
	// answerTimeout bounds the arrival of an answer from its first byte. An answer that never ends is as useless as
	// none, and waiting for it would leave the request no time for another attempt.
	answerTimeout = 400 * time.Millisecond
	// maxInterim is the number of 1xx responses that may precede an answer.
	maxInterim = 16
	// maxBytesWait bounds how long an answer waits for the byte budget. Usually the attempt's deadline ends the wait
	// earlier.
	maxBytesWait = 10 * time.Second
	// initialBodyBytes is the first charge for a chunked body, and bodyGrowth the factor of each later charge.
	initialBodyBytes = 4 << 10
	bodyGrowth       = 4
)

// errMalformed is the error of a response that is not a valid answer.
var errMalformed = errors.New("malformed HTTP response")

// answer is the answer to an attempt as read from a connection.
type answer struct {
	outcome     logic.Outcome
	body        []byte
	contentType string
	charge      *budget.Charge // charge for the body
	last        bool           // the connection cannot be used again
	at          time.Time      // time at which the answer was read completely
}

// read passes each answer to the server's actor, until the connection ends or cannot be used again. It also waits on
// idle connections, so that their end is noticed at once. No read outlasts the attempt's deadline or the idle time,
// since the actor closes the connection at either.
func (c *conn) read() {
	defer c.connCharge.Release()
	br := bufio.NewReader(c)
	for last := false; !last; {
		// Unrequested bytes stay unread in the socket, so that usable can detect them.
		if err := socket.Readable(c.nc); err != nil || !c.isAwaiting() {
			break
		}
		a, err := c.readNext(br)
		if err != nil {
			break
		}
		last = a.last
		c.answerComplete()
		if !c.server.mailbox.Put(func() { c.server.onAnswer(c, a) }) {
			a.charge.Release()
		}
	}
	c.broken.Store(true)
	c.server.mailbox.Put(func() { c.server.onEnded(c) })
}

// errDuplicate is the error of a second copy of an answer.
var errDuplicate = errors.New("response duplicates the previous response on the connection")

// readNext reads the next answer.
func (c *conn) readNext(br *bufio.Reader) (answer, error) {
	if _, err := br.Peek(1); err != nil {
		return answer{}, err
	}
	c.answerBegan = time.Now()
	a, err := c.readAnswer(br)
	if err != nil {
		return answer{}, err
	}
	if c.isDuplicate(&a) {
		a.charge.Release()
		return answer{}, errDuplicate
	}
	c.answerBegan = time.Time{}
	if c.bounded {
		c.bounded = false
		c.setReadDeadline(time.Time{})
	}
	a.last = a.last || br.Buffered() > 0 // bytes that follow an answer were not requested
	a.at = time.Now()
	return a, nil
}

// setReadDeadline sets a read deadline. It ignores the error: on a closed connection the next read fails.
func (c *conn) setReadDeadline(t time.Time) { _ = c.nc.SetReadDeadline(t) }

// isDuplicate reports whether a served answer equals the previous answer on this connection byte for byte, and the
// connection had not settled in between. Since answers differ, that is a late second copy. Rejections are usually
// equal, so the second of two equal ones may be a copy of the first: it does not prove that its request never ran, and
// isDuplicate changes its outcome to Errored.
func (c *conn) isDuplicate(a *answer) bool {
	previous := c.lastDigest
	c.lastDigest = a.digest()
	equal := c.unsettled.Load() && c.lastDigest == previous
	if a.outcome != logic.Done {
		if equal && a.outcome == logic.Busy {
			a.outcome = logic.Errored
		}
		return false
	}
	if !equal {
		c.server.transport.answers.add(c.lastDigest)
	}
	return equal
}

func (a *answer) digest() uint64 {
	digest := xxhash.New() // its writes do not fail
	_, _ = digest.Write([]byte{byte(a.outcome)})
	_, _ = digest.WriteString(a.contentType)
	_, _ = digest.Write(a.body)
	return digest.Sum64()
}

// Read implements io.Reader for the buffered reader. It sets a deadline only for an answer that needs more than one
// read, since most answers arrive in one piece.
func (c *conn) Read(p []byte) (int, error) {
	if !c.answerBegan.IsZero() && !c.bounded {
		c.bounded = true
		c.setReadDeadline(c.answerBegan.Add(answerTimeout))
	}
	return c.nc.Read(p)
}

// readAnswer reads one answer of bounded size. A body without a stated length, which ends with the connection, is
// malformed, since a complete body cannot be distinguished from a truncated one.
func (c *conn) readAnswer(br *bufio.Reader) (a answer, err error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := readHead(br, &resp.Header); err != nil {
		return a, err
	}
	a = answer{outcome: outcomeOf(resp), last: resp.Header.ConnectionClose()}
	if a.outcome == logic.Done {
		a.contentType = string(resp.Header.ContentType())
	}
	if err := c.readBody(br, &resp.Header, &a); err != nil {
		a.charge.Release()
		return a, err
	}
	return a, nil
}

// readHead reads the head of an answer and skips interim responses.
func readHead(br *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for interim := 0; ; interim++ {
		if err := h.Read(br); err != nil {
			return err
		}
		switch code := h.StatusCode(); {
		case code >= fasthttp.StatusOK:
			return nil
		case code < fasthttp.StatusContinue, code == fasthttp.StatusSwitchingProtocols, interim == maxInterim:
			return errMalformed
		}
	}
}

// readBody reads the body of an answer. Only the body of a served answer is stored. It is charged to the byte budget
// first, and stays in the socket's receive buffer while the budget is exhausted.
func (c *conn) readBody(br *bufio.Reader, h *fasthttp.ResponseHeader, a *answer) (err error) {
	switch length := h.ContentLength(); {
	case h.StatusCode() == fasthttp.StatusNoContent || h.StatusCode() == fasthttp.StatusNotModified:
		return nil
	case length > relay.MaxBodySize:
		return errMalformed
	case length >= 0 && a.outcome != logic.Done:
		_, err = io.CopyN(io.Discard, br, int64(length))
		return err
	case length >= 0:
		if a.charge, err = c.waitForBytes(int64(length)); err != nil {
			return err
		}
		a.body = make([]byte, length)
		_, err = io.ReadFull(br, a.body)
		return err
	case length == -1: // chunked
		if err = c.readChunks(br, a); err != nil {
			return err
		}
		return h.ReadTrailer(br)
	default:
		return errMalformed
	}
}

// readChunks reads a chunked body and raises its charge as the body grows.
func (c *conn) readChunks(br *bufio.Reader, a *answer) error {
	chunks := httputil.NewChunkedReader(br)
	if a.outcome != logic.Done {
		n, err := io.Copy(io.Discard, io.LimitReader(chunks, relay.MaxBodySize+1))
		if n > relay.MaxBodySize {
			return errMalformed
		}
		return err
	}
	for size := initialBodyBytes; ; size = min(bodyGrowth*size, relay.MaxBodySize+1) {
		more, err := c.waitForBytes(int64(size))
		if err != nil {
			return err
		}
		body := append(make([]byte, 0, size), a.body...)
		a.charge.Release()
		a.charge, a.body = more, body
		n, err := io.ReadFull(chunks, body[len(body):size])
		a.body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, io.ErrUnexpectedEOF):
			// Either the body or the connection has ended: only the end of the body is reported again by another read.
			if _, err = chunks.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
				return nil
			}
			return err
		case err != nil:
			return err
		case len(a.body) > relay.MaxBodySize:
			return errMalformed
		}
	}
}

// waitForBytes waits until the byte budget grants the charge for an answer's body, or the connection is closed, as the
// actor does at the attempt's deadline. After a long wait answerTimeout starts anew.
func (c *conn) waitForBytes(bytes int64) (*budget.Charge, error) {
	r := budget.Reservation{Kind: budget.Answers, Bytes: bytes}
	charge, err := c.server.transport.options.Gate.Reserve(r, time.Now().Add(maxBytesWait), c.closed)
	if now := time.Now(); err == nil && now.Sub(c.answerBegan) > answerTimeout/4 {
		c.answerBegan, c.bounded = now, true
		c.setReadDeadline(now.Add(answerTimeout))
	}
	return charge, err
}

// outcomeOf returns the outcome that an answer stands for. A request answered by a status that the protocol does not
// define may have been executed.
func outcomeOf(resp *fasthttp.Response) logic.Outcome {
	switch code := resp.StatusCode(); {
	case code == fasthttp.StatusOK:
		return logic.Done
	case (code == fasthttp.StatusServiceUnavailable || code == fasthttp.StatusGatewayTimeout) &&
		string(resp.Header.Peek("X-Rejected")) == "1":
		return logic.Busy
	default:
		return logic.Errored
	}
}
