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
	"fieldrelay/internal/shuffle"
)

const (
	// peerTimeout ends a call to another agent.
	peerTimeout = 1500 * time.Millisecond
	// maxPeerCalls bounds the calls to other agents that run at once.
	maxPeerCalls = 16
	// connectTimeout ends the opening of a connection.
	connectTimeout = time.Second
	// maxMessageBytes is the size in bytes of the largest message that is read.
	maxMessageBytes = 16 << 20
	// connectionBufferBytes is the size in bytes of a connection's buffer in each direction.
	connectionBufferBytes = 2 << 10
	// maxIdleConnections bounds the open connections that carry no call.
	maxIdleConnections = 24
	// idleTimeout closes a connection that carried no call for so long.
	idleTimeout = 90 * time.Second
)

// caller makes the calls that the core wants and posts their ends.
type caller struct {
	self      shuffle.Neighbour
	client    *http.Client
	proxy     fieldrelayv1connect.ProxyFeedClient
	peerSlots chan struct{} // a place for each call to another agent
	post      func(event)
	ctx       context.Context // of all calls
	running   sync.WaitGroup

	controlAddress string // of link
	control        fieldrelayv1connect.ControlLinkClient
}

// newCaller makes a caller whose calls end with ctx.
func newCaller(ctx context.Context, self shuffle.Neighbour, proxy string, post func(event)) *caller {
	client := &http.Client{Transport: progressTransport{newTransport()}}
	return &caller{
		self:      self,
		client:    client,
		proxy:     fieldrelayv1connect.NewProxyFeedClient(client, baseURL(proxy), uncompressedRequests()...),
		peerSlots: make(chan struct{}, maxPeerCalls),
		post:      post,
		ctx:       ctx,
	}
}

// newTransport keeps few connections open for long, with small buffers.
func newTransport() *http.Transport {
	dialer := net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: keepAlive,
		Control:         controlSocket,
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      connectionBufferBytes,
		WriteBufferSize:     connectionBufferBytes,
	}
}

// dialWith replaces how connections are opened.
func (c *caller) dialWith(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	transport := newTransport()
	transport.DialContext = dial
	c.client.Transport = progressTransport{transport}
}

// plain are the options of calls whose answers aren't worth the work of compressing.
func uncompressedRequests() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(maxMessageBytes),
	}
}

func baseURL(address string) string { return "http://" + address }

// do begins a call and tells whether there was room for it. It is used by one goroutine only.
func (c *caller) start(call action) bool {
	switch wanted := call.(type) {
	case watchCall:
		c.watch(wanted)
	case proxyCall:
		c.run(exchangeTimeout, nil, func(ctx context.Context) event { return c.callProxy(ctx, wanted) })
	case shuffleCall:
		return c.runPeer(func(ctx context.Context) event { return c.shuffle(ctx, wanted) })
	case pushCall:
		return c.runPeer(func(ctx context.Context) event { return c.push(ctx, wanted) })
	case compareCall:
		return c.runPeer(func(ctx context.Context) event { return c.compare(ctx, wanted) })
	}
	return true
}

// run makes a call in a goroutine of its own. It ends when its answer has not begun to come within the timeout, or
// stalls; begins, unless nil, is called when it does begin.
func (c *caller) run(timeout time.Duration, onStart func(), call func(ctx context.Context) event) {
	c.running.Go(func() {
		ctx, cancel := withResponseProgress(c.ctx, timeout, onStart)
		defer cancel()
		c.post(call(ctx))
	})
}

// runPeer makes a call to another agent if there is room for it.
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
		ctx, end := limitDial(ctx, call.dialTimeout)
		defer end()
		response, err := client.Watch(ctx, connect.NewRequest(call.request))
		if err != nil && errors.Is(context.Cause(ctx), errDialTimeout) {
			err = errDialTimeout
		}
		err = stalledCause(ctx, err)
		answer := messageOf(response)
		if err == nil {
			addTransferTime(answer.GetList(), responseProgressOf(ctx).sinceStart())
			err = decompressWatch(answer)
		}
		return watchDone{call: call, response: answer, err: err}
	})
}

// limitDial ends the call of a context with errDialTimeout unless it has a connection in time.
func limitDial(ctx context.Context, limit time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(limit, func() { cancel(errDialTimeout) })
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { timer.Stop() },
	})
	return traced, func() {
		timer.Stop()
		cancel(nil)
	}
}

// controlClient is the client of a control machine; the last one is kept.
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
	answer := messageOf(response)
	if err == nil {
		addTransferTime(answer.GetList(), responseProgressOf(ctx).sinceStart())
		err = decompressCompare(answer)
	}
	return compareDone{call: call, response: answer, err: stalledCause(ctx, err)}
}

// addTransferTime adds to the age of a server list the time for which it was on its way: its writer told the age as of writing,
// and what is left of its servers' spans counts from there.
func addTransferTime(list *pb.ServerList, transfer time.Duration) {
	if list != nil {
		list.AgeMs += uint32(transfer / time.Millisecond)
	}
}

func newCompareRequest(self shuffle.Neighbour, call compareCall) *pb.CompareRequest {
	return &pb.CompareRequest{From: neighbourMessage(self), Digests: call.Digests, List: call.List, TakesPacked: true}
}

func (c *caller) peer(neighbour shuffle.Neighbour) fieldrelayv1connect.AgentPeerClient {
	return fieldrelayv1connect.NewAgentPeerClient(c.client, baseURL(neighbour.Address), uncompressedRequests()...)
}

// wait returns when all calls have ended.
func (c *caller) wait() {
	c.running.Wait()
	c.client.CloseIdleConnections()
}

// message is the message of a response, nil if there is none.
func messageOf[T any](response *connect.Response[T]) *T {
	if response == nil {
		return nil
	}
	return response.Msg
}
