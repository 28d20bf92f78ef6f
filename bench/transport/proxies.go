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

// The plain proxies that a sidecar is compared with. Each hands requests to
// the nodes in turn and does nothing else.
const (
	reverseProxy  = "reverseproxy"
	fasthttpProxy = "fasthttp"
)

var proxyKinds = []string{reverseProxy, fasthttpProxy}

// maxConnsPerNode is how many idle connections a plain proxy keeps to a node: enough
// for all clients.
const maxConnsPerNode = 64

// serveProxy serves until the process is ended. The first argument is the
// address to listen at, the others are the nodes.
func serveProxy(kind string, args []string) error {
	if len(args) < 2 {
		return errors.New("a proxy needs its address and a node")
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
		return fmt.Errorf("no proxy is called %q", kind)
	}
}
