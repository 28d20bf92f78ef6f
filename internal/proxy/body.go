package proxy

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// defaultMaxBody bounds request bodies while the configuration names no bound.
	defaultMaxBody = 4 << 20
	// firstBody is the buffer that a body of unknown length begins with.
	firstBody = 4 << 10
	// pooledBody is the largest buffer that is kept for another request.
	pooledBody = 64 << 10
)

var (
	errBodyTooLarge = errors.New("request body is too large")
	errNoMemory     = errors.New("no memory left for bodies")
	errBodyCut      = errors.New("request body did not come whole")
)

var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, firstBody)
	return &buffer
}}

// chargedBuffer holds a body and remembers what was charged for it.
type chargedBuffer struct {
	bytes   []byte
	charged int64
	memory  *memoryBound
	pooled  *[]byte
}

// newChargedBuffer returns an empty buffer with room for size bytes.
func newChargedBuffer(memory *memoryBound, size int) (*chargedBuffer, error) {
	if !memory.take(int64(size)) {
		return nil, errNoMemory
	}
	pooled := buffers.Get().(*[]byte)
	held := &chargedBuffer{bytes: (*pooled)[:0], charged: int64(size), memory: memory, pooled: pooled}
	if cap(held.bytes) < size {
		held.bytes = make([]byte, 0, size)
	}
	return held, nil
}

// grow makes room for at least one more byte by doubling.
func (b *chargedBuffer) grow() error {
	more := max(cap(b.bytes), firstBody)
	if !b.memory.take(int64(more)) {
		return errNoMemory
	}
	b.charged += int64(more)
	larger := make([]byte, len(b.bytes), cap(b.bytes)+more)
	copy(larger, b.bytes)
	b.bytes = larger
	return nil
}

// free gives the memory back. The bytes must not be used afterwards.
func (b *chargedBuffer) free() {
	if b == nil {
		return
	}
	b.memory.give(b.charged)
	if cap(b.bytes) <= pooledBody {
		*b.pooled = b.bytes[:0]
	}
	buffers.Put(b.pooled)
	b.bytes = nil
}

// fill reads until the end of the source or until limit bytes are held; whole tells whether the end came.
func (b *chargedBuffer) fill(source io.Reader, limit int) (whole bool, err error) {
	for {
		if len(b.bytes) == cap(b.bytes) {
			if err := b.grow(); err != nil {
				return false, err
			}
		}
		n, err := source.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err == io.EOF {
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

// readBody reads the body of a client's request whole. It returns nil when there is none.
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
	// One byte more than the length, so that the end is seen without growing.
	body, err := newChargedBuffer(h.memory, max(int(request.ContentLength)+1, firstBody))
	if err != nil {
		return nil, err
	}
	_ = control.SetReadDeadline(deadline)
	whole, err := body.fill(request.Body, int(maxBytes))
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case err != nil:
		body.free()
		if errors.Is(err, errNoMemory) {
			return nil, err
		}
		return nil, errors.CombineErrors(errBodyCut, err)
	case !whole:
		body.free()
		return nil, errBodyTooLarge
	default:
		return body, nil
	}
}
