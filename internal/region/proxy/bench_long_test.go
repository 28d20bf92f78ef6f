package proxy

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

// BenchmarkForwardLongBody is like BenchmarkForward, with bodies that are too large to be sent in one write with the head.
func BenchmarkForwardLongBody(b *testing.B) {
	for _, size := range []int{32 << 10, 256 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			t := &testing.T{}
			server := newFakeServer(t, "i-1", func(conn *net.TCPConn, request receivedByServer) bool {
				return ok("ok")(conn, request)
			})
			r := newTestProxy(t, server)
			conn, err := net.Dial("tcp4", r.address)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			request := []byte("POST /m/x HTTP/1.1\r\nHost: h.example\r\n" + headerAttemptID + ": id1\r\nContent-Length: " +
				fmt.Sprint(size) + "\r\n\r\n" + strings.Repeat("b", size))
			repeatRequest(b, conn, request)
		})
	}
}
