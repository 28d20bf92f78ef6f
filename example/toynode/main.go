// Command toynode is a toy to try the sidecar with: a few execute nodes that
// answer any job after a moment, and a discovery that lists them.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	nodes     = 3
	discovery = "127.0.0.1:8500"
	firstPort = 9001
	heartbeat = 2 * time.Second
)

func main() {
	failed := make(chan error, 1)
	var instances []map[string]any
	for i := range nodes {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+i)
		instances = append(instances, map[string]any{"instanceId": fmt.Sprint("toy-", i), "hostPort": addr,
			"zone": "dc-cikarang", "cell": 0, "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0})
		go serve(addr, answer(addr), failed)
	}
	list, err := json.Marshal(map[string]any{"generation": 1, "reset": true, "instances": instances})
	if err != nil {
		fmt.Fprintln(os.Stderr, "toynode:", err)
		os.Exit(1)
	}
	go serve(discovery, serveList(append(list, '\n')), failed)
	fmt.Println("toynode: discovery at", discovery, "nodes from port", firstPort)
	fmt.Fprintln(os.Stderr, "toynode:", <-failed)
	os.Exit(1)
}

// serve listens on a loopback address until it fails.
func serve(addr string, handler fasthttp.RequestHandler, failed chan<- error) {
	ln, err := net.Listen("tcp", addr)
	if err == nil {
		err = fasthttp.Serve(ln, handler)
	}
	failed <- err
}

// answer says which node served which job, after 20 to 100 ms.
func answer(addr string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		time.Sleep(time.Duration(20+rand.IntN(80)) * time.Millisecond)
		_, _ = fmt.Fprintf(ctx, "%s %s, job %s, served by %s\n", ctx.Method(), ctx.Path(), ctx.Request.Header.Peek("X-Call-Id"), addr)
	}
}

// serveList gives the whole list, and on a watch an empty line now and then to show that it lives.
func serveList(list []byte) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		_, _ = ctx.Write(list)
		if !ctx.QueryArgs().Has("watch") {
			return
		}
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			_, _ = w.Write(list)
			for w.Flush() == nil {
				time.Sleep(heartbeat)
				_, _ = w.WriteString("\n")
			}
		})
	}
}
