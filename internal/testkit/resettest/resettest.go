// Package resettest is a stand-in for the server of calls over HTTP/1.1, for tests of what becomes of a call whose
// connection is reset: it counts how often the call arrives.
package resettest

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// CompleteRequest as the argument of Cut stands for the end of a request.
const CompleteRequest = -1

// Server answers each call with an empty message, except for one that it resets.
type Server struct {
	URL string // http://ip:port

	mu         sync.Mutex
	resetAfter *int // bytes after which the next request is reset; nil: none is
	arrivals   int
	length     int
}

// New starts a server that ends with the test.
func New(t *testing.T) *Server {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &Server{URL: "http://" + listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn))
		}
	}()
	return s
}

// ResetAfter resets the connection of the next request once so many bytes of it were read, and counts arrivals from zero.
func (s *Server) ResetAfter(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetAfter, s.arrivals = &bytes, 0
}

// Arrivals is the number of requests since the last Cut of which a byte was read, the one that was reset included.
func (s *Server) Arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals
}

// Length is the size in bytes of the last request that was read whole.
func (s *Server) Length() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.length
}

func (s *Server) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	for s.request(conn) {
	}
}

// request reads and answers one request; it returns false when the connection is over.
func (s *Server) request(conn *net.TCPConn) bool {
	first := make([]byte, 1)
	if _, err := io.ReadFull(conn, first); err != nil {
		return false
	}
	cut := s.begin()
	if cut != nil && *cut != CompleteRequest {
		_, _ = io.ReadFull(conn, make([]byte, max(*cut-1, 0)))
		_ = conn.SetLinger(0)
		return false
	}
	var seen bytes.Buffer
	source := io.MultiReader(bytes.NewReader(first), io.TeeReader(conn, &seen))
	request, err := http.ReadRequest(bufio.NewReader(source))
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	if cut != nil {
		_ = conn.SetLinger(0)
		return false
	}
	s.mu.Lock()
	s.length = seen.Len() + len(first)
	s.mu.Unlock()
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Type: "+request.Header.Get("Content-Type")+"\r\n\r\n")
	return err == nil
}

// begin counts a request and tells whether it is the one that is reset.
func (s *Server) begin() *int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals++
	cut := s.resetAfter
	s.resetAfter = nil
	return cut
}

// Repeated makes a call over and over, reset at every stride-th byte of a connection that has served before, and
// returns the bytes at which it arrived more than once.
func Repeated(t *testing.T, server *Server, stride int, call func() error) []int {
	t.Helper()
	if err := call(); err != nil {
		t.Fatal(err)
	}
	var repeated []int
	cuts := []int{CompleteRequest}
	for bytes := 1; bytes <= server.Length(); bytes += stride {
		cuts = append(cuts, bytes)
	}
	for _, bytes := range cuts {
		if err := call(); err != nil {
			t.Fatal(err)
		}
		server.ResetAfter(bytes)
		if err := call(); err == nil && server.Arrivals() == 1 {
			t.Fatalf("a call that was reset after %d bytes was answered", bytes)
		}
		if server.Arrivals() > 1 {
			repeated = append(repeated, bytes)
		}
	}
	return repeated
}
