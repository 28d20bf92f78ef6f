package executenode

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"fieldrelay/internal/relay"
	"fieldrelay/internal/socket"
	"fieldrelay/logic"
)

// conn is a connection to an execute node. It carries one claim at a time.
type conn struct {
	node   *node
	nc     net.Conn
	addr   string
	broken atomic.Bool // nothing more can be read, or what came belongs to no claim
	asked  atomic.Bool // a claim has been put on it and is not answered

	begun time.Time // when the present answer began to come, while it is read; the reader's
	late  bool      // a bound stands on that; the reader's

	// What follows belongs to the node's actor.
	claim   *claim // nil: none
	writing bool
	early   *answer // came while the request was being written
	over    bool    // nothing more comes
	retire  *time.Timer
	rested  time.Time // since when it is idle
}

// An answer that has begun to come and does not end is as bad as none, and costs the job the time for another claim.
const answerTime = 400 * time.Millisecond

// mostInterim is how many 1xx answers may stand in front of an answer.
const mostInterim = 16

var errSpoilt = errors.New("not an answer")

// answer is what came back for a claim.
type answer struct {
	outcome     logic.Outcome
	body        []byte
	contentType string
	last        bool // the connection ends with it
	at          time.Time
}

func newConn(n *node, nc net.Conn, addr string) *conn { return &conn{node: n, nc: nc, addr: addr} }

// wake ends the idle time of a connection.
func (c *conn) wake() {
	c.retire.Stop()
	c.retire = nil
}

// take makes the connection a claim's, unless something has come on it since the last answer: a second copy of
// that, say, which would be taken for the answer to this claim.
func (c *conn) take() bool {
	c.asked.Store(true)
	return !c.broken.Load() && !socket.Unread(c.nc)
}

// read hands on each answer until the connection ends or cannot be used again. It always reads, so that the end
// of an idle connection is noticed at once. No read outlasts the claim's deadline or the idle time: at either
// the actor closes it.
func (c *conn) read() {
	br := bufio.NewReader(c)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	for last := false; !last; {
		if _, err := br.Peek(1); err != nil || !c.asked.Load() {
			break
		}
		c.begun = time.Now()
		if err := readAnswer(resp, br); err != nil {
			break
		}
		if c.begun = (time.Time{}); c.late {
			c.late = false
			c.nc.SetReadDeadline(time.Time{})
		}
		// Bytes behind an answer belong to nothing that was asked.
		last = resp.ConnectionClose() || br.Buffered() > 0
		a := answer{outcome: outcome(resp), last: last, at: time.Now()}
		if a.outcome == logic.Done {
			a.body, a.contentType = bytes.Clone(resp.Body()), string(resp.Header.ContentType())
		}
		resp.Reset()
		c.asked.Store(false)
		c.node.box.Put(func() { c.node.answered(c, a) })
	}
	c.broken.Store(true)
	c.node.box.Put(func() { c.node.ended(c) })
}

// Read reads for the reader. An answer mostly comes at once: only one that does not is timed.
func (c *conn) Read(p []byte) (int, error) {
	if !c.begun.IsZero() && !c.late {
		c.late = true
		c.nc.SetReadDeadline(c.begun.Add(answerTime))
	}
	return c.nc.Read(p)
}

// readAnswer reads one answer of bounded size. One whose length is not told ends only with its connection, so that
// nothing tells a whole one from a part.
func readAnswer(resp *fasthttp.Response, br *bufio.Reader) error {
	h := &resp.Header
	for interim := 0; ; interim++ {
		if err := h.Read(br); err != nil {
			return err
		}
		if h.StatusCode() >= fasthttp.StatusOK {
			break
		}
		if h.StatusCode() < fasthttp.StatusContinue || h.StatusCode() == fasthttp.StatusSwitchingProtocols || interim == mostInterim {
			return errSpoilt
		}
	}
	switch length := h.ContentLength(); {
	case h.StatusCode() == fasthttp.StatusNoContent || h.StatusCode() == fasthttp.StatusNotModified:
		return nil
	case length >= 0:
		return resp.ReadBody(br, relay.MostBody)
	case length == -1: // in chunks
		if err := resp.ReadBody(br, relay.MostBody); err != nil {
			return err
		}
		return h.ReadTrailer(br)
	default:
		return errSpoilt
	}
}

// outcome tells what an answer means. One that the protocol does not name may have run.
func outcome(resp *fasthttp.Response) logic.Outcome {
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

// encode writes out the request of a claim.
func encode(c *claim, host string, now time.Time) []byte {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	h := &req.Header
	h.SetMethod(c.Request.Method)
	h.SetRequestURI(c.Request.Target)
	h.SetHost(host)
	h.Set("X-Call-Id", c.Request.CallID)
	if c.Request.IdempotencyKey != "" {
		h.Set("Idempotency-Key", c.Request.IdempotencyKey)
	}
	if c.Request.ContentType != "" {
		h.SetContentType(c.Request.ContentType)
	}
	h.Set("X-Budget", strconv.FormatFloat(c.Deadline.Sub(now).Seconds(), 'f', 3, 64))
	req.SetBodyRaw(c.Request.Body)
	var out bytes.Buffer
	w := bufio.NewWriter(&out)
	req.Write(w) // into memory: it cannot fail
	w.Flush()
	return out.Bytes()
}

var _ relay.Nodes = (*Fleet)(nil)
