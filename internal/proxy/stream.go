package proxy

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/placement"
)

const (
	// maxEventBytes is the largest event that is passed on.
	maxEventBytes = 256 << 10
)

var (
	errEventTooLarge = errors.New("event is too large")
	errNotResumed    = errors.New("the stream was not taken up after the last event")
)

// clientStream is the answer to one client that is made of events, from one server or, where the stream may
// be resumed, from several in turn.
type clientStream struct {
	writer    http.ResponseWriter
	flusher   http.Flusher
	scanner   *eventScanner
	resumable bool // the route allows it
	eventSent bool // an event was passed on
	resuming  bool // the next event must follow on the last one
}

// resumable tells whether another server can go on where the stream was cut: after the event that was passed on
// last, which the id of an earlier one would bring again.
func (s *clientStream) canResume() bool {
	return s.resumable && (!s.eventSent || (s.scanner.lastID != "" && !s.scanner.eventWithoutID))
}

// lastID is the id of the last event that was passed on, empty if there was none.
func (s *clientStream) lastID() string { return s.scanner.lastID }

// restart prepares for the events of another server. What was read of a torn event is dropped.
func (s *clientStream) restart() {
	last := s.scanner.lastID
	s.scanner = newEventScanner()
	s.scanner.lastID = last
	s.resuming = s.eventSent
}

// receiveStream passes the events of one server on.
func (a *attempt) receiveStream() attemptOutcome {
	if a.exchange.stream == nil {
		a.beginStream()
	} else {
		a.exchange.stream.restart()
	}
	err := a.forwardEvents(a.exchange.stream)
	var writeError *clientWriteError
	switch {
	case err == nil:
		a.close(executed, placement.Done, true)
		a.success = true
		return outcomeDelivered
	case errors.As(err, &writeError):
		a.close(executed, placement.ClientGone, false)
		return outcomeCanceled
	default:
		a.close(executed, placementOutcomeOfError(a.conn.BodyError(err)), false)
		return a.failedOrCanceled()
	}
}

// beginStream passes the head on. It goes out at once, unless the first event is there already and can go
// with it.
func (a *attempt) beginStream() {
	flusher, _ := a.client.(http.Flusher)
	stream := &clientStream{
		writer:    a.client,
		flusher:   flusher,
		scanner:   newEventScanner(),
		resumable: a.route.Resumable,
	}
	header := a.client.Header()
	copyResponseHeader(header, a.response.Header)
	if told := a.response.Header["Content-Length"]; len(told) > 0 && !stream.resumable {
		header["Content-Length"] = told
	}
	a.sendHeaders()
	if !a.conn.HasBuffered() {
		flusher.Flush()
	}
	a.exchange.stream = stream
}

// forwardEvents passes events on as they come, each batch that came together by one write. It returns nil at
// the proper end of the stream.
func (a *attempt) forwardEvents(stream *clientStream) error {
	pooled := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(pooled)
	buffer := (*pooled)[:cap(*pooled)]
	filled := 0
	for {
		n, readError := a.response.Body.Read(buffer[filled:])
		complete, err := stream.scan(buffer[filled : filled+n])
		if err != nil {
			return err
		}
		if complete > 0 {
			if err := a.forwardBatch(stream, buffer[:filled+complete]); err != nil {
				return err
			}
			copy(buffer, buffer[filled+complete:filled+n])
			filled = n - complete
		} else {
			filled += n
		}
		switch {
		case readError == io.EOF:
			return a.forwardTail(stream, buffer[:filled])
		case readError != nil:
			return readError
		case filled == len(buffer):
			if len(buffer) >= maxEventBytes {
				return errEventTooLarge
			}
			buffer = append(buffer, make([]byte, len(buffer))...)
		}
	}
}

// take scans bytes that came and returns how many of them end with a whole event, 0 if none ended.
func (s *clientStream) scan(data []byte) (complete int, err error) {
	for position := 0; position < len(data); {
		before := s.scanner.lastID
		scanned, ended := s.scanner.scan(data[position:])
		position += scanned
		if !ended {
			break
		}
		if s.resuming && !isLaterID(before, s.scanner.lastID) {
			s.scanner.lastID = before
			return 0, errNotResumed
		}
		s.resuming = false
		complete = position
	}
	return complete, nil
}

func (a *attempt) forwardBatch(stream *clientStream, batch []byte) error {
	if a.firstByte.IsZero() {
		a.firstByte = time.Now()
	}
	if _, err := stream.writer.Write(batch); err != nil {
		return &clientWriteError{err}
	}
	stream.flusher.Flush()
	if !a.eventForwarded {
		a.handler.dispatcher.started(a.decision.Attempt)
	}
	a.eventForwarded = true
	stream.eventSent = true
	return nil
}

// forwardTail passes on what follows the last event at the proper end of a stream. A stream that ends with its
// connection has no proper end within an event: its server broke off.
func (a *attempt) forwardTail(stream *clientStream, rest []byte) error {
	if len(rest) == 0 {
		return nil
	}
	if a.response.IsCloseDelimited() {
		return io.ErrUnexpectedEOF
	}
	return a.forwardBatch(stream, rest)
}
