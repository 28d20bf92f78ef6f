package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strconv"
	"testing"
)

// BenchmarkForward sends requests one after another over one connection. The client and the server do almost no work, so
// that most of the measured time is spent in the proxy.
func BenchmarkForward(b *testing.B) {
	t := &testing.T{}
	answer := []byte("HTTP/1.1 200 OK\r\n" + headerAttemptID + ": id1\r\n" + seal + "Content-Length: 2\r\n\r\nok")
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				buffer := make([]byte, 4096)
				for {
					if _, err := conn.Read(buffer); err != nil {
						return
					}
					if _, err := conn.Write(answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	server := &fakeServer{}
	server.server.ID = "i-1"
	server.server.Address = listener.Addr().String()
	r := newTestProxy(t, server)
	conn, err := net.Dial("tcp4", r.address)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	request := []byte("POST /m/x HTTP/1.1\r\nHost: h.example\r\n" + headerAttemptID + ": id1\r\n" + headerDeadline +
		": 5000\r\nContent-Type: text/plain\r\nX-Fieldrelay-Model: m\r\nContent-Length: " + strconv.Itoa(200) + "\r\n\r\n" + string(bytes.Repeat([]byte("b"), 200)))
	repeatRequest(b, conn, request)
}

// repeatRequest measures the time for a request on a connection to the proxy. The response must have a body of two bytes.
func repeatRequest(b *testing.B, conn net.Conn, request []byte) {
	b.Helper()
	reader := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(request); err != nil {
			b.Fatal(err)
		}
		for {
			line, err := reader.ReadSlice('\n')
			if err != nil {
				b.Fatal(err)
			}
			if len(line) == 2 {
				break
			}
		}
		if _, err := io.ReadFull(reader, make([]byte, 2)); err != nil {
			b.Fatal(err)
		}
	}
}
