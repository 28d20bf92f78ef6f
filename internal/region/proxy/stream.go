package proxy

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/region/placement"
)

// maxEventBytes is the size of the largest event that is forwarded.
const maxEventBytes = 256 << 10

var (
	errEventTooLarge = errors.New("server-sent event exceeds the size limit")
	errNotResumed    = errors.New("resumed stream does not continue after the last forwarded event")
)

// clientStream is a client's response that consists of server-sent events. They come from one server or, if the route
// permits resuming the stream, from several servers in turn.
type clientStream struct {
	writer      http.ResponseWriter
	flusher     http.Flusher
	scanner     *eventScanner
	resumable   bool      // the route permits resuming the stream
	eventSent   bool      // an event was sent to the client
	lastEventAt time.Time // when the last event was sent to the client
	resuming    bool      // the next event must have a later id than the last event sent
}

// canResume reports whether another server can continue the stream after the last event sent. If that event had no id,
// the stream can't be resumed, since continuing after the id of an earlier event would repeat the last event.
func (s *clientStream) canResume() bool {
	return s.resumable && (!s.eventSent || (s.scanner.lastID != "" && !s.scanner.eventWithoutID))
}

// lastID returns the id of the last complete event that had an id, or an empty string.
func (s *clientStream) lastID() string { return s.scanner.lastID }

// restart prepares for the events of another server. It drops an incomplete event of the previous server.
func (s *clientStream) restart() {
	last := s.scanner.lastID
	s.scanner = newEventScanner()
	s.scanner.lastID = last
	s.resuming = s.eventSent
}

// receiveStream forwards the events of one server.
func (a *attempt) receiveStream() attemptOutcome {
	if a.stream == nil {
		a.beginStream()
	} else {
		a.stream.restart()
	}
	err := a.forwardEvents(a.stream)
	var writeError *clientWriteError
	switch {
	case err == nil:
		a.close(executed, placement.Done, true)
		a.success = true
		return outcomeDelivered
	case errors.As(err, &writeError):
		a.close(executed, placement.Canceled, false)
		return outcomeCanceled
	default:
		a.close(executed, placementOutcomeOfError(a.conn.BodyError(err)), false)
		return a.failedOrCanceled()
	}
}

// beginStream sends the headers of the stream. It flushes them at once unless more data has been received already: then
// they are flushed together with that data.
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
	if length := a.response.Header["Content-Length"]; len(length) > 0 && !stream.resumable {
		header["Content-Length"] = length
	}
	a.sendHeaders()
	if !a.conn.HasBuffered() {
		flusher.Flush()
	}
	a.stream = stream
}

// forwardEvents forwards events as they are received. Events that are received by one read are written together. It
// returns nil if the stream ends properly.
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
		case readError == io.EOF: // never wrapped, see io.Reader
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

// scan scans received bytes and returns the number of bytes up to the end of the last complete event, or 0 if no event
// ended. It returns errNotResumed if the first event from a resuming server is not later than the last event sent.
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

// forwardBatch writes a batch of complete events, or the rest of a stream at its end, to the client and flushes it.
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
	stream.eventSent, stream.lastEventAt = true, time.Now()
	return nil
}

// forwardTail forwards the bytes after the last complete event at the end of a stream. In a close-delimited stream, an
// end within an event can't be distinguished from an early end of the connection, and so is an error.
func (a *attempt) forwardTail(stream *clientStream, rest []byte) error {
	if len(rest) == 0 {
		return nil
	}
	if a.response.IsCloseDelimited() {
		return io.ErrUnexpectedEOF
	}
	return a.forwardBatch(stream, rest)
}
