package agent

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/fieldrelay/v1/fieldrelayv1connect"
	"fieldrelay/internal/region/shuffle"
)

const (
	// peerTimeout is the time within which the response to a call to another agent has to start.
	peerTimeout = 1500 * time.Millisecond
	// maxPeerCalls is the maximum number of calls to other agents in flight.
	maxPeerCalls = 16
	// connectTimeout is the time within which a connection has to be established.
	connectTimeout = time.Second
	// maxMessageBytes is the maximum size of a message that is read.
	maxMessageBytes = 16 << 20
	// connectionBufferBytes is the size of the read buffer and of the write buffer of a connection.
	connectionBufferBytes = 2 << 10
	// maxIdleConnections is the maximum number of idle connections, and maxIdlePerHost the maximum number of idle
	// connections to one host.
	maxIdleConnections = 24
	maxIdlePerHost     = 2
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 90 * time.Second
)

// caller makes the calls that the core requests, each in its own goroutine, and posts the results as events. The method
// start must be called by one goroutine only.
type caller struct {
	self      shuffle.Neighbour
	client    *http.Client
	proxy     fieldrelayv1connect.ProxyFeedClient
	peerSlots chan struct{} // holds an element for each call to another agent in flight
	post      func(event)
	ctx       context.Context // parent of the contexts of all calls
	running   sync.WaitGroup

	controlAddress string // address of the machine that control calls; empty: there is no client yet
	control        fieldrelayv1connect.ControlLinkClient
}

// newCaller returns a caller for the proxy at an address. Canceling ctx cancels the calls; wait waits for their end.
func newCaller(ctx context.Context, self shuffle.Neighbour, proxy string, post func(event)) *caller {
	client := &http.Client{Transport: progressTransport{newTransport()}}
	return &caller{
		self:      self,
		client:    client,
		proxy:     fieldrelayv1connect.NewProxyFeedClient(client, baseURL(proxy), clientOptions()...),
		peerSlots: make(chan struct{}, maxPeerCalls),
		post:      post,
		ctx:       ctx,
	}
}

// newTransport returns a transport with small buffers that keeps few connections open for a long time.
func newTransport() *http.Transport {
	dialer := net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: keepAlive,
		Control:         setUserTimeout,
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      connectionBufferBytes,
		WriteBufferSize:     connectionBufferBytes,
	}
}

// dialWith replaces the function that opens connections.
func (c *caller) dialWith(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	transport := newTransport()
	transport.DialContext = dial
	c.client.Transport = progressTransport{transport}
}

// clientOptions returns the options for calls whose responses are not worth compressing.
func clientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(maxMessageBytes),
	}
}

func baseURL(address string) string { return "http://" + address }

// start starts a call, and reports false if maxPeerCalls calls to other agents are in flight.
func (c *caller) start(call action) bool {
	switch call := call.(type) {
	case watchCall:
		c.watch(call)
	case proxyCall:
		c.run(exchangeTimeout, nil, func(ctx context.Context) event { return c.callProxy(ctx, call) })
	case shuffleCall:
		return c.runPeer(func(ctx context.Context) event { return c.shuffle(ctx, call) })
	case pushCall:
		return c.runPeer(func(ctx context.Context) event { return c.push(ctx, call) })
	case compareCall:
		return c.runPeer(func(ctx context.Context) event { return c.compare(ctx, call) })
	}
	return true
}

// run makes a call in its own goroutine and posts the event that the call returns. The call is canceled when its
// response does not start within the timeout, or makes no progress after that. onStart, unless nil, is called when the
// response starts.
func (c *caller) run(timeout time.Duration, onStart func(), call func(ctx context.Context) event) {
	c.running.Go(func() {
		ctx, cancel := withResponseProgress(c.ctx, timeout, onStart)
		defer cancel()
		c.post(call(ctx))
	})
}

// runPeer makes a call to another agent unless maxPeerCalls of these calls are in flight, and reports whether it did.
func (c *caller) runPeer(call func(ctx context.Context) event) bool {
	select {
	case c.peerSlots <- struct{}{}:
	default:
		return false
	}
	c.run(peerTimeout, nil, func(ctx context.Context) event {
		defer func() { <-c.peerSlots }()
		return call(ctx)
	})
	return true
}

func (c *caller) watch(call watchCall) {
	client := c.controlClient(call.address)
	onStart := func() { c.post(watchResponseStarted{id: call.id}) }
	c.run(call.timeout, onStart, func(ctx context.Context) event {
		ctx, release := withDialTimeout(ctx, call.dialTimeout)
		defer release()
		response, err := client.Watch(ctx, connect.NewRequest(call.request))
		if err != nil && errors.Is(context.Cause(ctx), errDialTimeout) {
			err = errDialTimeout
		}
		err = stalledCause(ctx, err)
		message := messageOf(response)
		if err == nil {
			addTransferTime(message.GetList(), responseProgressOf(ctx).sinceStart())
			err = decompressWatch(message)
		}
		return watchDone{call: call, response: message, err: err}
	})
}

// withDialTimeout returns a context that is canceled with the cause errDialTimeout unless the call made with it gets a
// connection within the timeout. The returned function releases the context.
func withDialTimeout(ctx context.Context, timeout time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(errDialTimeout) })
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { timer.Stop() },
	})
	return traced, func() {
		timer.Stop()
		cancel(nil)
	}
}

// controlClient returns the client for a control machine. The client for the last machine is cached.
func (c *caller) controlClient(address string) fieldrelayv1connect.ControlLinkClient {
	if address != c.controlAddress {
		c.controlAddress = address
		c.control = fieldrelayv1connect.NewControlLinkClient(c.client, baseURL(address), connect.WithReadMaxBytes(maxMessageBytes))
	}
	return c.control
}

func (c *caller) callProxy(ctx context.Context, call proxyCall) event {
	var response *connect.Response[pb.ProxyStatus]
	var err error
	if call.apply != nil {
		response, err = c.proxy.Apply(ctx, connect.NewRequest(call.apply))
	} else {
		response, err = c.proxy.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	}
	return proxyCallDone{call: call, status: messageOf(response), err: stalledCause(ctx, err)}
}

func (c *caller) shuffle(ctx context.Context, call shuffleCall) event {
	request := &pb.ShuffleRequest{From: neighbourMessage(call.From), Sample: neighbourMessages(call.Sample)}
	response, err := c.peer(call.To).Shuffle(ctx, connect.NewRequest(request))
	return shuffleDone{call: call, response: messageOf(response), err: stalledCause(ctx, err)}
}

func (c *caller) push(ctx context.Context, call pushCall) event {
	request := &pb.PushRequest{From: neighbourMessage(c.self), Changes: call.Changes, List: call.List}
	response, err := c.peer(call.To).Push(ctx, connect.NewRequest(request))
	return pushDone{call: call, response: messageOf(response), err: stalledCause(ctx, err)}
}

func (c *caller) compare(ctx context.Context, call compareCall) event {
	response, err := c.peer(call.To).Compare(ctx, connect.NewRequest(newCompareRequest(c.self, call)))
	message := messageOf(response)
	if err == nil {
		addTransferTime(message.GetList(), responseProgressOf(ctx).sinceStart())
		err = decompressCompare(message)
	}
	return compareDone{call: call, response: message, err: stalledCause(ctx, err)}
}

// addTransferTime adds the transfer time of a response to the age of the server list in it; list is nil if the response
// has none. The sender recorded the age at the time of sending, and the remaining lifetimes of the servers count from
// that time.
func addTransferTime(list *pb.ServerList, transfer time.Duration) {
	if list != nil {
		list.AgeMs += uint32(transfer / time.Millisecond)
	}
}

func newCompareRequest(self shuffle.Neighbour, call compareCall) *pb.CompareRequest {
	return &pb.CompareRequest{From: neighbourMessage(self), Digests: call.Digests, List: call.List, AcceptsCompressed: true}
}

func (c *caller) peer(neighbour shuffle.Neighbour) fieldrelayv1connect.AgentPeerClient {
	return fieldrelayv1connect.NewAgentPeerClient(c.client, baseURL(neighbour.Address), clientOptions()...)
}

// wait waits until all calls have ended. The context of the calls must have been canceled before.
func (c *caller) wait() {
	c.running.Wait()
	c.client.CloseIdleConnections()
}

// messageOf returns the message of a response; nil if response is nil.
func messageOf[T any](response *connect.Response[T]) *T {
	if response == nil {
		return nil
	}
	return response.Msg
}
