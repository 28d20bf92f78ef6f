package operatorapi

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// A cut may hold the bytes of a request up for long. A configuration names what it builds on, but an evacuation
// that comes late would undo what its caller has ordered since by way of other machines. Callers that have given
// up close their connection, and the end of the connection follows the held bytes; so an evacuation whose age is
// not certain is taken only if its caller is still there a moment later.

const (
	// YoungFor is how long after its connection was ready for it a request is certain to be young: callers wait
	// for a second, so its caller waits still.
	YoungFor = 700 * time.Millisecond

	// CallerProof is how long the end of a connection may come after a request that it follows: it needs one
	// round trip when a cut ends.
	CallerProof = 300 * time.Millisecond

	// maxIgnoredBytes bounds the body of a request that needs none.
	maxIgnoredBytes = 4 << 10
)

// connection is what is known of a caller's connection.
type connection struct {
	// readyAt is when it was accepted or brought its last answer, in nanoseconds since epoch: a request cannot
	// have been sent before.
	readyAt atomic.Int64
}

// epoch makes readings of the steady clock.
var epoch = time.Now()

type connectionKey struct{}

// ConnContext is for the http.Server that serves a Handler: it keeps how old requests can be.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	accepted := &connection{}
	accepted.markReady()
	return context.WithValue(ctx, connectionKey{}, accepted)
}

func (c *connection) markReady() { c.readyAt.Store(int64(time.Since(epoch))) }

func (c *connection) isFresh() bool {
	return time.Since(epoch)-time.Duration(c.readyAt.Load()) <= YoungFor
}

func connectionOf(r *http.Request) *connection {
	found, _ := r.Context().Value(connectionKey{}).(*connection)
	return found
}

// answered notes that the connection may bring another request from now on.
func markReady(r *http.Request) {
	if found := connectionOf(r); found != nil {
		found.markReady()
	}
}

// isFresh reports whether a request that arrives now was sent only just now.
func isFresh(r *http.Request) bool {
	found := connectionOf(r)
	return found != nil && found.isFresh()
}

// callerRemains reports whether the caller of a request that may be old is still there. The body, which carries
// nothing, is read first: the end of a connection is seen only behind it.
func callerRemains(r *http.Request) bool {
	_, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxIgnoredBytes))
	if err != nil {
		return false
	}
	proof := time.NewTimer(CallerProof)
	defer proof.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-proof.C:
		return true
	}
}
