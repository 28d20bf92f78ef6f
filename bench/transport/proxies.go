package main

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httputil"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// Kinds of plain proxies that a sidecar is compared with. Each forwards
// requests to the nodes round robin and does nothing else.
const (
	reverseProxy  = "reverseproxy"
	fasthttpProxy = "fasthttp"
)

var proxyKinds = []string{reverseProxy, fasthttpProxy}

// maxConnsPerNode limits the idle connections to a node in the ReverseProxy and
// all connections to a node in the fasthttp proxy. It exceeds the
// default number of clients, so that each client can use a connection of its own.
const maxConnsPerNode = 64

// serveProxy runs a plain proxy until the process is terminated. The first
// argument is the address to listen at, the others are addresses of nodes.
func serveProxy(kind string, args []string) error {
	if len(args) < 2 {
		return errors.New("plain proxy: want the address to listen at and at least one node")
	}
	listen, nodes := args[0], args[1:]
	var turn atomic.Uint64
	next := func() int { return int(turn.Add(1) % uint64(len(nodes))) }
	switch kind {
	case reverseProxy:
		transport := &http.Transport{MaxIdleConnsPerHost: maxConnsPerNode, DisableCompression: true}
		proxy := &httputil.ReverseProxy{
			Transport: transport,
			ErrorLog:  log.New(io.Discard, "", 0),
			Rewrite: func(r *httputil.ProxyRequest) {
				r.Out.URL.Scheme, r.Out.URL.Host = "http", nodes[next()]
			},
		}
		return http.ListenAndServe(listen, proxy)
	case fasthttpProxy:
		clients := make([]*fasthttp.HostClient, len(nodes))
		for i, node := range nodes {
			clients[i] = &fasthttp.HostClient{Addr: node, MaxConns: maxConnsPerNode}
		}
		return fasthttp.ListenAndServe(listen, func(ctx *fasthttp.RequestCtx) {
			if err := clients[next()].Do(&ctx.Request, &ctx.Response); err != nil {
				ctx.Error(err.Error(), fasthttp.StatusBadGateway)
			}
		})
	default:
		return fmt.Errorf("unknown kind of plain proxy %q", kind)
	}
}
