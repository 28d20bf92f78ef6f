package http

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"fieldrelay/internal/budget"
	"fieldrelay/internal/relay"
	"fieldrelay/internal/socket"
	"fieldrelay/logic"
)

// conn is a connection to an execute node. It carries one claim at a time.
type conn struct {
	node   *node
	nc     net.Conn
	addr   string
	gone   chan struct{}  // closed with the connection
	cost   *budget.Charge // for the connection and its reader
	broken atomic.Bool    // nothing more can be read, or what came belongs to no claim

	// A claim is being or has been written on it and is not answered. Whoever writes sets it while nothing is unread, and
	// the reader takes nothing from the system before it has looked: so what came before a claim is never its answer.
	turn  sync.Mutex
	asked bool

	hurried atomic.Bool // its claim was put on it before it had rested

	last  uint64    // digest of the last answer; the reader's, as the next two
	begun time.Time // when the present answer began to come, while it is read; the reader's
	late  bool      // a bound stands on that; the reader's

	// What follows belongs to the node's actor.
	claim    *claim // nil: none
	writing  bool
	early    *answer // came while the request was being written
	over     bool    // nothing more comes
	retire   *time.Timer
	rested   time.Time // since when it is idle, or was last; zero: it never was
	answered bool      // it has brought an answer
}

// An answer that has begun to come and does not end is as bad as none, and costs the job the time for another claim.
const answerTime = 400 * time.Millisecond

// mostInterim is how many 1xx answers may stand in front of an answer.
const mostInterim = 16

// What is charged for a connection: its reader with stack and buffer, and the node's state for it; and for the body of
// an answer in chunks, at first and by how many times more whenever that is full.
const (
	connBytes   = 12 << 10
	firstChunks = 4 << 10
	grownBy     = 4
)

// mostWait bounds the wait of an answer for its bytes where a claim has no end of its own.
const mostWait = 10 * time.Second

var errSpoilt = errors.New("not an answer")

// answer is what came back for a claim.
type answer struct {
	outcome     logic.Outcome
	body        []byte
	contentType string
	held        *budget.Charge // for the body
	last        bool           // the connection ends with it
	at          time.Time
}

func newConn(n *node, nc net.Conn, addr string) *conn {
	return &conn{node: n, nc: nc, addr: addr, gone: make(chan struct{}),
		cost: n.nodes.opts.Gate.Must(budget.Conns, connBytes)}
}

// wake ends the idle time of a connection.
func (c *conn) wake() {
	c.retire.Stop()
	c.retire = nil
}

// usable tells whether the connection can carry a claim: its end has not come, nor anything since the last answer, such as
// a second copy of that, which would be taken for the answer to this claim.
func (c *conn) usable() bool { return !c.broken.Load() && !socket.Unread(c.nc) }

// Why a claim was not written. Nothing of it has left.
var (
	errOver  = errors.New("it may no longer be sent")
	errStale = errors.New("its connection has ended or brings what nobody asked for")
)

// send writes a claim out, unless by now it may not be sent. All that can speak against it is looked at here, just before
// its first byte, since anything may have happened while it waited: its deadline, the end of its window or of a drain's
// grace (together until), its client, its final answer, its connection.
func (c *conn) send(parts net.Buffers, of *claim, until time.Time) error {
	switch {
	case !time.Now().Before(until) || !of.Payload.Wanted():
		return errOver
	case !c.ask():
		return errStale
	}
	c.nc.SetWriteDeadline(of.Deadline)
	_, err := parts.WriteTo(c.nc)
	return err
}

// ask makes the connection a claim's, if it is usable.
func (c *conn) ask() bool {
	c.turn.Lock()
	defer c.turn.Unlock()
	c.asked = c.usable()
	return c.asked
}

func (c *conn) isAsked() bool {
	c.turn.Lock()
	defer c.turn.Unlock()
	return c.asked
}

// answeredWhole ends what ask has begun.
func (c *conn) answeredWhole() {
	c.turn.Lock()
	defer c.turn.Unlock()
	c.asked = false
}

// read hands on each answer until the connection ends or cannot be used again. It always reads, so that the end
// of an idle connection is noticed at once. No read outlasts the claim's deadline or the idle time: at either
// the actor closes it.
func (c *conn) read() {
	defer c.cost.Release()
	br := bufio.NewReader(c)
	for last := false; !last; {
		err := socket.Readable(c.nc)
		if err != nil || !c.isAsked() {
			break // nothing is taken: whoever looks sees that it is there
		}
		if _, err = br.Peek(1); err != nil {
			break
		}
		c.begun = time.Now()
		a, err := c.readAnswer(br)
		if err != nil {
			break
		}
		if c.repeats(&a) {
			a.held.Release()
			break
		}
		if c.begun = (time.Time{}); c.late {
			c.late = false
			c.nc.SetReadDeadline(time.Time{})
		}
		// Bytes behind an answer belong to nothing that was asked.
		a.last = a.last || br.Buffered() > 0
		a.at, last = time.Now(), a.last
		c.answeredWhole()
		if !c.node.box.Put(func() { c.node.answered(c, a) }) {
			a.held.Release()
		}
	}
	c.broken.Store(true)
	c.node.box.Put(func() { c.node.ended(c) })
}

// repeats tells whether a served answer is, byte for byte, the one before on this connection, which had not rested since: a
// second copy of that, come late, since answers differ. Rejections are alike as a rule: the second of two proves nothing then,
// in case it is a copy of the first.
func (c *conn) repeats(a *answer) bool {
	digest := xxhash.New()
	digest.Write([]byte{byte(a.outcome)})
	digest.WriteString(a.contentType)
	digest.Write(a.body)
	before := c.last
	c.last = digest.Sum64()
	alike := c.hurried.Load() && c.last == before
	if a.outcome != logic.Done {
		if alike && a.outcome == logic.Busy {
			a.outcome = logic.Errored
		}
		return false
	}
	if !alike {
		c.node.nodes.answers.add(c.last)
	}
	return alike
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
		if h.StatusCode() < fasthttp.StatusContinue || h.StatusCode() == fasthttp.StatusSwitchingProtocols || interim == mostInterim {
			return a, errSpoilt
		}
	}
	a = answer{outcome: outcome(resp), last: h.ConnectionClose()}
	if a.outcome == logic.Done {
		a.contentType = string(h.ContentType())
	}
	defer func() {
		if err != nil {
			a.held.Release()
		}
	}()
	switch length := h.ContentLength(); {
	case h.StatusCode() == fasthttp.StatusNoContent || h.StatusCode() == fasthttp.StatusNotModified:
		return a, nil
	case length > relay.MaxBodySize:
		return a, errSpoilt
	case length >= 0 && a.outcome != logic.Done:
		_, err = io.CopyN(io.Discard, br, int64(length))
		return a, err
	case length >= 0:
		if a.held, err = c.charge(int64(length)); err != nil {
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
		return a, errSpoilt
	}
}

// readChunks reads a body that tells its length in parts.
func (c *conn) readChunks(br *bufio.Reader, a *answer) error {
	chunks := httputil.NewChunkedReader(br)
	if a.outcome != logic.Done {
		n, err := io.Copy(io.Discard, io.LimitReader(chunks, relay.MaxBodySize+1))
		if n > relay.MaxBodySize {
			return errSpoilt
		}
		return err
	}
	for size := firstChunks; ; size = min(grownBy*size, relay.MaxBodySize+1) {
		more, err := c.charge(int64(size))
		if err != nil {
			return err
		}
		body := append(make([]byte, 0, size), a.body...)
		a.held.Release()
		a.held, a.body = more, body
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
			return errSpoilt
		}
	}
}

// charge waits for the bytes of an answer, as long as its connection is there: at the claim's deadline the actor
// closes it. The time that an answer may take counts anew from when it has them.
func (c *conn) charge(bytes int64) (*budget.Charge, error) {
	held, err := c.node.nodes.opts.Gate.Enter(budget.Ask{Kind: budget.Answers, Bytes: bytes}, time.Now().Add(mostWait), c.gone)
	if now := time.Now(); err == nil && now.Sub(c.begun) > answerTime/4 {
		c.begun, c.late = now, true
		c.nc.SetReadDeadline(now.Add(answerTime))
	}
	return held, err
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

// encode writes out the head of a claim's request. Its body goes out from where it is held.
func encode(c *claim, host string, now time.Time) []byte {
	var h fasthttp.RequestHeader
	h.SetMethod(c.Payload.Method)
	h.SetRequestURI(c.Payload.Target)
	h.SetHost(host)
	h.Set("X-Call-Id", c.Payload.CallID)
	if c.Payload.IdempotencyKey != "" {
		h.Set("Idempotency-Key", c.Payload.IdempotencyKey)
	}
	if c.Payload.ContentType != "" {
		h.SetContentType(c.Payload.ContentType)
	}
	h.Set("X-Budget", strconv.FormatFloat(c.Deadline.Sub(now).Seconds(), 'f', 3, 64))
	if c.Payload.Method != fasthttp.MethodGet {
		h.SetContentLength(len(c.Payload.Body))
	}
	return h.Header()
}

var _ relay.Transport = (*Nodes)(nil)
