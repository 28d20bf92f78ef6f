package http

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"fieldrelay/internal/budget"
	"fieldrelay/internal/relay"
	"fieldrelay/internal/socket"
	"fieldrelay/logic"
)

// An answer that has begun to come and does not end is as bad as none, and costs the job the time for another claim.
const answerTimeout = 400 * time.Millisecond

// maxInterim is how many 1xx answers may stand in front of an answer.
const maxInterim = 16

// maxBytesWait bounds the wait of an answer for its bytes where a claim has no end of its own.
const maxBytesWait = 10 * time.Second

var errMalformed = errors.New("not an answer")

// answer is what came back for a claim.
type answer struct {
	outcome     logic.Outcome
	body        []byte
	contentType string
	charge      *budget.Charge // for the body
	last        bool           // the connection ends with it
	at          time.Time
}

// read hands on each answer until the connection ends or cannot be used again. It always reads, so that the end
// of an idle connection is noticed at once. No read outlasts the claim's deadline or the idle time: at either
// the actor closes it.
func (c *conn) read() {
	defer c.connCharge.Release()
	br := bufio.NewReader(c)
	for last := false; !last; {
		err := socket.Readable(c.nc)
		if err != nil || !c.isAwaiting() {
			break // nothing is taken: whoever looks sees that it is there
		}
		if _, err = br.Peek(1); err != nil {
			break
		}
		c.answerBegan = time.Now()
		a, err := c.readAnswer(br)
		if err != nil {
			break
		}
		if c.isDuplicate(&a) {
			a.charge.Release()
			break
		}
		if c.answerBegan = (time.Time{}); c.bounded {
			c.bounded = false
			c.nc.SetReadDeadline(time.Time{})
		}
		// Bytes behind an answer belong to nothing that was asked.
		a.last = a.last || br.Buffered() > 0
		a.at, last = time.Now(), a.last
		c.answerComplete()
		if !c.server.mailbox.Put(func() { c.server.onAnswer(c, a) }) {
			a.charge.Release()
		}
	}
	c.broken.Store(true)
	c.server.mailbox.Put(func() { c.server.onEnded(c) })
}

// repeats tells whether a served answer is, byte for byte, the one before on this connection, which had not rested since: a
// second copy of that, come late, since answers differ. Rejections are alike as a rule: the second of two proves nothing then,
// in case it is a copy of the first.
func (c *conn) isDuplicate(a *answer) bool {
	digest := xxhash.New()
	digest.Write([]byte{byte(a.outcome)})
	digest.WriteString(a.contentType)
	digest.Write(a.body)
	before := c.lastDigest
	c.lastDigest = digest.Sum64()
	alike := c.unsettled.Load() && c.lastDigest == before
	if a.outcome != logic.Done {
		if alike && a.outcome == logic.Busy {
			a.outcome = logic.Errored
		}
		return false
	}
	if !alike {
		c.server.transport.answers.add(c.lastDigest)
	}
	return alike
}

// Read reads for the reader. An answer mostly comes at once: only one that does not is timed.
func (c *conn) Read(p []byte) (int, error) {
	if !c.answerBegan.IsZero() && !c.bounded {
		c.bounded = true
		c.nc.SetReadDeadline(c.answerBegan.Add(answerTimeout))
	}
	return c.nc.Read(p)
}

// readAnswer reads one answer of bounded size. One whose length is not told ends only with its connection, so that
// nothing tells a whole one from a part. Only a body that is passed on is held, in bytes of its own that are charged
// before they are there; while the budget has none the body stays in the system.
func (c *conn) readAnswer(br *bufio.Reader) (a answer, err error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	h := &resp.Header
	for interim := 0; ; interim++ {
		if err := h.Read(br); err != nil {
			return a, err
		}
		if h.StatusCode() >= fasthttp.StatusOK {
			break
		}
		if h.StatusCode() < fasthttp.StatusContinue || h.StatusCode() == fasthttp.StatusSwitchingProtocols || interim == maxInterim {
			return a, errMalformed
		}
	}
	a = answer{outcome: outcomeOf(resp), last: h.ConnectionClose()}
	if a.outcome == logic.Done {
		a.contentType = string(h.ContentType())
	}
	defer func() {
		if err != nil {
			a.charge.Release()
		}
	}()
	switch length := h.ContentLength(); {
	case h.StatusCode() == fasthttp.StatusNoContent || h.StatusCode() == fasthttp.StatusNotModified:
		return a, nil
	case length > relay.MaxBodySize:
		return a, errMalformed
	case length >= 0 && a.outcome != logic.Done:
		_, err = io.CopyN(io.Discard, br, int64(length))
		return a, err
	case length >= 0:
		if a.charge, err = c.waitForBytes(int64(length)); err != nil {
			return a, err
		}
		a.body = make([]byte, length)
		_, err = io.ReadFull(br, a.body)
		return a, err
	case length == -1: // in chunks
		if err = c.readChunks(br, &a); err != nil {
			return a, err
		}
		return a, h.ReadTrailer(br)
	default:
		return a, errMalformed
	}
}

// readChunks reads a body that tells its length in parts.
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
			// Its end, or that of the connection in the midst of it: only the first stays the same.
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

// charge waits for the bytes of an answer, as long as its connection is there: at the claim's deadline the actor
// closes it. The time that an answer may take counts anew from when it has them.
func (c *conn) waitForBytes(bytes int64) (*budget.Charge, error) {
	held, err := c.server.transport.options.Gate.Enter(budget.Ask{Kind: budget.Answers, Bytes: bytes}, time.Now().Add(maxBytesWait), c.closed)
	if now := time.Now(); err == nil && now.Sub(c.answerBegan) > answerTimeout/4 {
		c.answerBegan, c.bounded = now, true
		c.nc.SetReadDeadline(now.Add(answerTimeout))
	}
	return held, err
}

// outcome tells what an answer means. One that the protocol does not name may have run.
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
