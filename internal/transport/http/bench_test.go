package http

import (
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/relay"
)

// BenchmarkClaim is what a claim costs the transport with a node that answers at once, over a real socket.
func BenchmarkClaim(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			far, err := ln.Accept()
			if err != nil {
				return
			}
			go answerInstantly(far)
		}
	}()
	served := make(chan struct{}, 1)
	nodes := NewNodes(Options{DialTimeout: time.Second, ConnIdle: time.Minute, MaxConns: 9}, zerolog.Nop())
	n := nodes.Open(relay.Member{Addr: ln.Addr().String()}, func(relay.ClaimID, relay.Result) { served <- struct{}{} })
	defer n.Close()
	request := &relay.Request{Method: "GET", Target: "/look", CallID: "c1"}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		n.Claim(relay.Claim{ID: relay.ClaimID{Job: uint64(i)}, Deadline: time.Now().Add(time.Minute), Request: request})
		<-served
	}
}

func answerInstantly(far net.Conn) {
	defer far.Close()
	buf := make([]byte, 4096)
	for {
		if _, err := far.Read(buf); err != nil { // a request of this size comes whole
			return
		}
		far.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"))
	}
}
