package platform

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"fieldrelay/internal/sidecar/source/endpoints"
)

// errWatchEnded is the error of a watch that discovery has ended.
var errWatchEnded = errors.New("discovery ended the watch")

// statusError is the error of a call that discovery answered with a status other than 200.
type statusError int

// Error names the status.
func (e statusError) Error() string { return fmt.Sprintf("discovery answered %d", int(e)) }

// stream is one watch of the changes after a generation or, if that is 0, of the whole list. close may be called from a
// goroutine other than that of run.
type stream struct {
	addr       string
	after      uint64
	onEntry    func()    // called before an entry is stored
	lastLineAt time.Time // time at which the last line arrived, or the call began; owned by run until it has returned
	ctx        context.Context
	cancel     context.CancelFunc
}

func newStream(addr string, after uint64) *stream {
	s := &stream{addr: addr, after: after, lastLineAt: time.Now()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

func (s *stream) close() { s.cancel() }

// lineReader extends the deadline of the connection by idleTimeout at each end of a line. Within an object an empty line does
// not extend it, since the rest of the object may never arrive.
type lineReader struct {
	io.Reader
	conn       net.Conn
	lastLineAt *time.Time
	decoder    **endpoints.Decoder
}

func (l lineReader) Read(p []byte) (int, error) {
	n, err := l.Reader.Read(p)
	if bytes.IndexByte(p[:n], '\n') >= 0 && (len(bytes.TrimSpace(p[:n])) > 0 || !(*l.decoder).InObject()) {
		*l.lastLineAt = time.Now()
		setDeadline(l.conn, l.lastLineAt.Add(idleTimeout))
	}
	return n, err
}

// setDeadline sets a deadline and ignores the error: on a closed connection the next read or write fails.
func setDeadline(conn net.Conn, t time.Time) { _ = conn.SetDeadline(t) }

// run opens the watch and calls update with each object until the watch ends. The error is never nil.
func (s *stream) run(update func(endpoints.List)) error {
	defer s.cancel()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(s.ctx, "tcp", s.addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // nothing that was written can be lost
	defer context.AfterFunc(s.ctx, func() { _ = conn.Close() })()

	setDeadline(conn, time.Now().Add(idleTimeout))
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := s.request(conn, resp); err != nil {
		return err
	}
	var decoder *endpoints.Decoder
	decoder = endpoints.NewDecoder(lineReader{resp.BodyStream(), conn, &s.lastLineAt, &decoder}, maxObjectBytes)
	decoder.OnEntry = s.onEntry
	for {
		l, err := decoder.Next()
		switch {
		case errors.Is(err, io.EOF):
			return errWatchEnded
		case errors.As(err, new(net.Error)):
			return err
		case err != nil:
			return fmt.Errorf("discovery sent a malformed list: %w", err)
		}
		update(l)
	}
}

// request sends the request and reads the head of the response, whose body is the stream.
func (s *stream) request(conn net.Conn, resp *fasthttp.Response) error {
	target := "/v1/endpoints?watch=1"
	if s.after > 0 {
		target += fmt.Sprintf("&after=%d", s.after)
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, s.addr); err != nil {
		return err
	}
	resp.StreamBody = true
	if err := resp.ReadLimitBody(bufio.NewReader(conn), maxObjectBytes); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return statusError(resp.StatusCode())
	}
	return nil
}
