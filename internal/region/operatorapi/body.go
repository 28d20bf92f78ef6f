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

	// maxConcurrentLargeBodies bounds the number of large bodies in memory: they account for most of the memory that
	// orders use.
	maxConcurrentLargeBodies = 3
)

// largeBodySlot is the slot of one request body among the large bodies in memory. It is acquired only once the body is
// known to be large.
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

// readBody reads the complete body within the limits on size and time. The error is a RejectionError.
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

// readAll reads to the end of reader, into a buffer of exactly that size if the length is known (not negative). It
// acquires the slot of a large body before it allocates memory for one.
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

// readUnsized reads a body of unknown length, which is sent in chunks (RFC 9112).
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
