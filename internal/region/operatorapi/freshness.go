package operatorapi

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// A network partition may delay the bytes of a request for long. A configuration names the generation that it is based
// on, but an evacuation that arrives late would undo what its caller has ordered since by way of other machines. Callers
// that have given up close their connection, and the end of the connection follows the delayed bytes. So an evacuation
// whose age is not certain is submitted only if its caller is still connected a moment later.

const (
	// FreshRequestAge is the time, since its connection was ready for it, within which a request is certain to be fresh:
	// callers wait for a second, so its caller is still waiting.
	FreshRequestAge = 700 * time.Millisecond

	// CallerCheckDelay is how long after a request the end of its connection may arrive: one round trip when a partition
	// ends.
	CallerCheckDelay = 300 * time.Millisecond

	// maxIgnoredBytes bounds the body of a request that needs none.
	maxIgnoredBytes = 4 << 10
)

// connection is the state of a caller's connection. It is safe for concurrent use.
type connection struct {
	// readyAt is when the connection was accepted or carried its last response, in nanoseconds since epoch: the next
	// request cannot have been sent before.
	readyAt atomic.Int64
}

// epoch is the origin of the monotonic times in this file.
var epoch = time.Now()

type connectionKey struct{}

// ConnContext is the ConnContext of the http.Server that serves a Handler. It records since when a connection has been
// ready, which bounds the age of its next request.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	conn := &connection{}
	conn.markReady()
	return context.WithValue(ctx, connectionKey{}, conn)
}

func (c *connection) markReady() { c.readyAt.Store(int64(time.Since(epoch))) }

func (c *connection) isFresh() bool {
	return time.Since(epoch)-time.Duration(c.readyAt.Load()) <= FreshRequestAge
}

// connectionOf returns the connection of a request, nil without ConnContext.
func connectionOf(r *http.Request) *connection {
	conn, _ := r.Context().Value(connectionKey{}).(*connection)
	return conn
}

// markReady records that the connection of a request may carry another one from now on.
func markReady(r *http.Request) {
	if conn := connectionOf(r); conn != nil {
		conn.markReady()
	}
}

// isFresh reports whether a request that is processed now is certain to have been sent within FreshRequestAge.
func isFresh(r *http.Request) bool {
	conn := connectionOf(r)
	return conn != nil && conn.isFresh()
}

// callerStillConnected waits for CallerCheckDelay and reports whether the caller is still connected then. The body, which has no
// content, is read first, since net/http detects the end of a connection only behind it.
func callerStillConnected(r *http.Request) bool {
	_, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxIgnoredBytes))
	if err != nil {
		return false
	}
	check := time.NewTimer(CallerCheckDelay)
	defer check.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-check.C:
		return true
	}
}
