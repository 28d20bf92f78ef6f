package main

import (
	"fmt"
	"net"

	"github.com/valyala/fasthttp"

	"fieldrelay/internal/testkit/fakebackend"
)

// countedListener counts the connections that it accepts.
type countedListener struct {
	net.Listener
	nodes *nodes
}

func (l *countedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err == nil {
		l.nodes.opened.Add(1)
	}
	return nc, err
}

// startNodes starts execute nodes that answer immediately: with the same body
// to all requests if alike is true, otherwise with the id of the request.
func startNodes(count int, alike bool) (*nodes, error) {
	answer := func(ctx *fasthttp.RequestCtx) {
		if alike {
			ctx.SetBodyString("answered")
			return
		}
		ctx.SetBody(ctx.Request.Header.Peek("X-Call-Id"))
	}
	all := &nodes{}
	var entries []fakebackend.Entry
	for i := range count {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			all.close()
			return nil, err
		}
		counted := &countedListener{ln, all}
		all.listeners = append(all.listeners, counted)
		entries = append(entries, fakebackend.Ready(fmt.Sprintf("n%d", i+1), ln.Addr().String()))
		go func() {
			_ = (&fasthttp.Server{Handler: answer, NoDefaultServerHeader: true, NoDefaultDate: true}).Serve(counted)
		}()
	}
	var err error
	if all.discovery, err = fakebackend.NewDiscovery(entries...); err != nil {
		all.close()
		return nil, err
	}
	return all, nil
}

func (n *nodes) addresses() (all []string) {
	for _, ln := range n.listeners {
		all = append(all, ln.Addr().String())
	}
	return all
}

func (n *nodes) close() {
	for _, ln := range n.listeners {
		_ = ln.Close()
	}
	if n.discovery != nil {
		n.discovery.Close()
	}
}
