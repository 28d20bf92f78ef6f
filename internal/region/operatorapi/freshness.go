package operatorapi

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// A network partition may delay the bytes of a request for a long time. A late configuration is rejected by the
// generation that it is based on, but a late evacuation would undo what its caller has since ordered through other
// machines. A caller that has given up closes its connection, and the end of the connection follows the delayed bytes.
// Therefore an evacuation that may have been delayed is submitted only if its caller is still connected after
// CallerCheckDelay.

const (
	// FreshRequestAge is the age up to which a request is certain to be fresh, measured from when its connection was ready
	// for it: callers wait for a second, so the caller of a fresh request is still waiting.
	FreshRequestAge = 700 * time.Millisecond

	// CallerCheckDelay is the longest time between the arrival of a delayed request and that of the end of its connection:
	// one round trip when a partition ends.
	CallerCheckDelay = 300 * time.Millisecond

	// maxIgnoredBytes bounds how much is read of the body of a request that needs none.
	maxIgnoredBytes = 4 << 10
)

// connection is the state of a caller's connection. It is safe for concurrent use.
type connection struct {
	// readyAt is the time at which the connection was accepted or its last response was written, in nanoseconds since
	// epoch: the next request cannot have been sent earlier.
	readyAt atomic.Int64
}

// epoch is the origin of the monotonic times in this file.
var epoch = time.Now()

type connectionKey struct{}

// ConnContext is the ConnContext of the http.Server that serves a Handler. It records when the connection became ready,
// which bounds the age of the next request on it.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	conn := &connection{}
	conn.markReady()
	return context.WithValue(ctx, connectionKey{}, conn)
}

func (c *connection) markReady() { c.readyAt.Store(int64(time.Since(epoch))) }

func (c *connection) isFresh() bool {
	return time.Since(epoch)-time.Duration(c.readyAt.Load()) <= FreshRequestAge
}

// connectionOf returns the connection of a request, or nil if the server does not use ConnContext.
func connectionOf(r *http.Request) *connection {
	conn, _ := r.Context().Value(connectionKey{}).(*connection)
	return conn
}

// markReady records that the connection of a request may carry its next request from now on.
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

// callerStillConnected waits for CallerCheckDelay and reports whether the caller is still connected then. It first reads
// the body, whose content is ignored, since net/http detects the end of a connection only after the end of the body.
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
