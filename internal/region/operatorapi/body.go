package operatorapi

import (
	"errors"
	"io"
	"net/http"

	"fieldrelay/internal/region/httpapi"
)

const (
	// smallBodyBytes is the size up to which a body counts as small.
	smallBodyBytes = 64 << 10

	// maxConcurrentLargeBodies bounds the bodies in memory that are not small: they are the bulk of the memory that
	// orders take.
	maxConcurrentLargeBodies = 3
)

// largeBodySlot is the slot of one body among the large bodies in memory, acquired once the body is known to be large.
type largeBodySlot struct {
	slots    httpapi.Slots
	acquired bool
}

// acquire acquires a slot. The error is a *BusyError if all are in use.
func (l *largeBodySlot) acquire() error {
	if !l.slots.TryAcquire() {
		return &BusyError{}
	}
	l.acquired = true
	return nil
}

// release returns the slot if one was acquired.
func (l *largeBodySlot) release() {
	if l.acquired {
		l.slots.Release()
	}
}

// readBody reads the complete body within the bounds of size and time. The error is a RejectionError.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, large *largeBodySlot) ([]byte, error) {
	limited := httpapi.LimitBody(w, r, s.options.MaxBodyBytes)
	body, err := readAll(limited, r.ContentLength, large)
	if err == nil {
		return body, nil
	}
	if busy, full := errors.AsType[*BusyError](err); full {
		return nil, busy
	}
	return nil, httpapi.BodyError(err)
}

// readAll reads to the end, into a buffer of the right size if the length is known (not negative), and acquires the
// slot of a large body before it allocates.
func readAll(reader io.Reader, length int64, large *largeBodySlot) ([]byte, error) {
	if length < 0 {
		return readUnsized(reader, large)
	}
	if length > smallBodyBytes {
		if err := large.acquire(); err != nil {
			return nil, err
		}
	}
	body := make([]byte, length)
	_, err := io.ReadFull(reader, body)
	if err != nil && length > 0 {
		return nil, err
	}
	return body, nil
}

// readUnsized reads a body of unknown length (RFC 9112, chunked).
func readUnsized(reader io.Reader, large *largeBodySlot) ([]byte, error) {
	head, err := io.ReadAll(io.LimitReader(reader, smallBodyBytes+1))
	if err != nil || len(head) <= smallBodyBytes {
		return head, err
	}
	if err := large.acquire(); err != nil {
		return nil, err
	}
	rest, err := io.ReadAll(reader)
	return append(head, rest...), err
}
