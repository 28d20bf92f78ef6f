package controlserver

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"fieldrelay/internal/operatorapi"
)

const (
	// userTimeout ends a connection whose peer acknowledges nothing: the machine is gone or cut off.
	userTimeout = 3 * time.Second

	headerTimeout  = 3 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 16 << 10

	// listenAttempts and listenBackoff bound the wait for an address that an earlier process still holds.
	listenAttempts = 20
	listenBackoff  = 250 * time.Millisecond
)

// setUserTimeout sets the user timeout of a socket; accepted connections inherit it from their listener.
func setUserTimeout(_, _ string, connection syscall.RawConn) error {
	// A system that does not know the option merely notices dead peers later.
	return connection.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
}

// listen opens a listener, waiting a little if the address is still in use.
func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{
		Control:         setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3},
	}
	var err error
	for range listenAttempts {
		var listener net.Listener
		listener, err = config.Listen(ctx, "tcp", address)
		if err == nil {
			return listener, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "listen on %s", address)
		case <-time.After(listenBackoff):
		}
	}
	return nil, errors.Wrapf(err, "listen on %s", address)
}

// newHTTPServer returns a server for HTTP/1.1 with small bounds. What net/http itself would log is about single
// connections and is dropped.
func newHTTPServer(handler http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:           handler,
		ConnContext:       operatorapi.ConnContext,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}
