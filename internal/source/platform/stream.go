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

	"fieldrelay/internal/source/endpoints"
)

// stream is one watch on discovery, for what came after a generation or, from 0, for the whole list. close may be called from another goroutine than run.
type stream struct {
	addr     string
	after    uint64
	onEntry  func()    // called before an entry is held
	lastLine time.Time // when the last line came, or the call began; of run's goroutine, until it has returned
	ctx      context.Context
	cancel   context.CancelFunc
}

func newStream(addr string, after uint64) *stream {
	s := &stream{addr: addr, after: after, lastLine: time.Now()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

func (s *stream) close() { s.cancel() }

// lines reads for as long as a line comes to its end now and then. Within an object an empty one is no sign of life: the
// rest of that object would never come.
type lineReader struct {
	io.Reader
	conn     net.Conn
	lastLine *time.Time
	objects  **endpoints.Decoder
}

func (l lineReader) Read(p []byte) (int, error) {
	n, err := l.Reader.Read(p)
	if bytes.IndexByte(p[:n], '\n') >= 0 && (len(bytes.TrimSpace(p[:n])) > 0 || !(*l.objects).InObject()) {
		*l.lastLine = time.Now()
		l.conn.SetDeadline(l.lastLine.Add(silenceTimeout))
	}
	return n, err
}

// run asks for the changes and hands each object to tell, until the watch ends.
func (s *stream) run(tell func(endpoints.List)) error {
	defer s.cancel()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(s.ctx, "tcp", s.addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(s.ctx, func() { conn.Close() })()

	conn.SetDeadline(time.Now().Add(silenceTimeout))
	target := "/v1/endpoints?watch=1"
	if s.after > 0 {
		target += fmt.Sprintf("&after=%d", s.after)
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, s.addr); err != nil {
		return err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.StreamBody = true
	if err := resp.ReadLimitBody(bufio.NewReader(conn), maxObjectBytes); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("discovery answered %d", resp.StatusCode())
	}
	var objects *endpoints.Decoder
	objects = endpoints.NewDecoder(lineReader{resp.BodyStream(), conn, &s.lastLine, &objects}, maxObjectBytes)
	objects.OnEntry = s.onEntry
	for {
		l, err := objects.Next()
		switch {
		case errors.Is(err, io.EOF):
			return errors.New("discovery ended the watch")
		case errors.As(err, new(net.Error)):
			return err
		case err != nil:
			return fmt.Errorf("malformed list: %w", err)
		}
		tell(l)
	}
}
