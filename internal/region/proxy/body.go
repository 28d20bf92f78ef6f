package proxy

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// defaultMaxBody is the limit on request bodies, in bytes, if the configuration has none.
	defaultMaxBody = 4 << 20
	// initialBodyBytes is the initial size of the buffer for a body of unknown length.
	initialBodyBytes = 4 << 10
	// maxPooledBytes is the capacity of the largest buffer that is returned to the pool.
	maxPooledBytes = 64 << 10
)

var (
	errBodyTooLarge   = errors.New("request body exceeds the size limit")
	errNoMemory       = errors.New("memory limit for request and response bodies reached")
	errBodyIncomplete = errors.New("request body was not read to its end")
)

var bufferPool = sync.Pool{New: func() any {
	buffer := make([]byte, 0, initialBodyBytes)
	return &buffer
}}

// chargedBuffer is a buffer whose size is charged to the memory limit. A nil chargedBuffer stands for an empty body,
// and free may be called on it.
type chargedBuffer struct {
	bytes   []byte
	charged int64 // bytes charged to memory
	memory  *memoryLimit
	pooled  *[]byte // buffer taken from bufferPool; free returns it to the pool
}

// newChargedBuffer returns an empty buffer with a capacity of at least size bytes, or errNoMemory.
func newChargedBuffer(memory *memoryLimit, size int) (*chargedBuffer, error) {
	if !memory.reserve(int64(size)) {
		return nil, errNoMemory
	}
	pooled := bufferPool.Get().(*[]byte)
	buffer := &chargedBuffer{bytes: (*pooled)[:0], charged: int64(size), memory: memory, pooled: pooled}
	if cap(buffer.bytes) < size {
		buffer.bytes = make([]byte, 0, size)
	}
	return buffer, nil
}

// grow doubles the capacity, or returns errNoMemory.
func (b *chargedBuffer) grow() error {
	more := max(cap(b.bytes), initialBodyBytes)
	if !b.memory.reserve(int64(more)) {
		return errNoMemory
	}
	b.charged += int64(more)
	larger := make([]byte, len(b.bytes), cap(b.bytes)+more)
	copy(larger, b.bytes)
	b.bytes = larger
	return nil
}

// free releases the charge and returns the buffer to the pool. The bytes must not be used afterwards.
func (b *chargedBuffer) free() {
	if b == nil {
		return
	}
	b.memory.release(b.charged)
	if cap(b.bytes) <= maxPooledBytes {
		*b.pooled = b.bytes[:0]
	}
	bufferPool.Put(b.pooled)
	b.bytes = nil
}

// fill reads until the end of the source or until the buffer has more than limit bytes. complete reports whether
// the end of the source was reached.
func (b *chargedBuffer) fill(source io.Reader, limit int) (complete bool, err error) {
	for {
		if len(b.bytes) == cap(b.bytes) {
			if err := b.grow(); err != nil {
				return false, err
			}
		}
		n, err := source.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err == io.EOF { // never wrapped, see io.Reader
			return true, nil
		}
		if err != nil {
			return false, err
		}
		if len(b.bytes) > limit {
			return false, nil
		}
	}
}

// readBody reads the body of a client's request completely. It returns nil for a request without a body. Its errors
// match errBodyTooLarge, errNoMemory or errBodyIncomplete.
func (h *handler) readBody(control *http.ResponseController, request *http.Request, maxBytes int64, deadline time.Time) (*chargedBuffer, error) {
	if request.ContentLength == 0 {
		return nil, nil
	}
	if maxBytes <= 0 {
		maxBytes = defaultMaxBody
	}
	if request.ContentLength > maxBytes {
		return nil, errBodyTooLarge
	}
	// The buffer has one byte more than the body, so that reading the end of the body doesn't grow the buffer.
	body, err := newChargedBuffer(h.memory, max(int(request.ContentLength)+1, initialBodyBytes))
	if err != nil {
		return nil, err
	}
	_ = control.SetReadDeadline(deadline)
	complete, err := body.fill(request.Body, int(maxBytes))
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case err != nil:
		body.free()
		if errors.Is(err, errNoMemory) {
			return nil, err
		}
		return nil, errors.CombineErrors(errBodyIncomplete, err)
	case !complete:
		body.free()
		return nil, errBodyTooLarge
	default:
		return body, nil
	}
}
