package hollow

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"fieldrelay/api/fieldrelay/v1/fieldrelayv1connect"
	"fieldrelay/internal/agent"
)

// peerPort is the number of the port of the agents' service.
const peerPort = 1

// headerTimeout bounds how long a caller of a worker may take to send a header.
const headerTimeout = 10 * time.Second

// Worker is one process that runs a part of a trial's agents.
type Worker struct {
	Deployment `embed:""`
	Number     int `help:"Number of this worker."`
	From       int `help:"Number of its first agent."`
	Count      int `help:"Number of its agents."`

	proxies []*proxy
	peers   traffic // of the agents' services
	feeds   traffic // of the proxies' feeds
}

// traffic counts the bytes that the serving sides of connections read and wrote.
type traffic struct{ in, out atomic.Int64 }

// countingListener hands out connections whose bytes are counted.
type countingListener struct {
	net.Listener
	traffic *traffic
}

type countingConn struct {
	net.Conn
	traffic *traffic
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, traffic: l.traffic}, nil
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.traffic.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.traffic.out.Add(int64(n))
	return n, err
}

// Run runs the agents until ctx ends.
func (w *Worker) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	address := net.JoinHostPort(w.workerIP(w.Number), strconv.Itoa(workerPort))
	listener, err := listen(ctx, address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: w.handler(), ReadHeaderTimeout: headerTimeout}
	defer func() { _ = server.Close() }()
	failed := make(chan error, w.Count+1)
	go func() { failed <- server.Serve(countingListener{Listener: listener, traffic: &w.feeds}) }()
	var agents sync.WaitGroup
	for offset := range w.Count {
		number := w.From + offset
		feed := address + "/" + strconv.Itoa(number)
		agents.Go(func() {
			if err := w.runAgent(ctx, number, feed); err != nil {
				failed <- err
			}
		})
	}
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	cancel()
	agents.Wait()
	return err
}

func (w *Worker) runAgent(ctx context.Context, number int, feed string) error {
	own := w.agentSettings(number)
	listener, err := listen(ctx, own.Port(peerPort))
	if err != nil {
		return err
	}
	options := agent.Options{Proxy: feed, Listener: countingListener{Listener: listener, traffic: &w.peers}}
	return errors.Wrapf(agent.RunWith(ctx, own, zap.NewNop(), options), "agent %d", number)
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}

// handler serves the feeds of all agents, each under its number, and the report.
func (w *Worker) handler() http.Handler {
	mux := http.NewServeMux()
	for offset := range w.Count {
		number := w.From + offset
		own := w.agentSettings(number)
		one := newProxy(own.Hostname, net.JoinHostPort(own.Address, strconv.Itoa(edgePort)))
		w.proxies = append(w.proxies, one)
		path, service := fieldrelayv1connect.NewProxyFeedHandler(one, connect.WithCompression("gzip", nil, nil))
		prefix := "/" + strconv.Itoa(number)
		mux.Handle(prefix+path, http.StripPrefix(prefix, service))
	}
	mux.HandleFunc("/report", w.report)
	mux.HandleFunc("/times", w.times)
	return mux
}

// Report is what a worker tells of its agents now.
type Report struct {
	Ready         int     // proxies that would take requests
	Generation    uint64  // least in force
	Marker        int     // least marker of the platform that every proxy has, -1: none
	Lists         int     // whole lists that proxies have taken, on average
	LeastServers  int     // on a proxy's list
	Informed      int     // proxies that know how many share the bounds
	LeastShares   int     // proxies that share the bounds, by the proxy that knows of the fewest
	MostShares    int     // by the one that knows of the most
	PeerBytes     int64   // between agents, both directions, seen by the side that serves
	FeedBytes     int64   // between agents and proxies
	AverageShares float64 // proxies that share the bounds
	SharesFell    int     // proxies that were once told of fewer sharers than before
	LateApplies   int     // messages that proxies took after their agents had given them up
	Laggards      []Laggard
}

// Laggard is a proxy that is behind the foremost of its worker.
type Laggard struct {
	Host       string
	Sequence   uint64
	Generation uint64
	Gap        bool // it waits for the whole state
	Ready      bool
}

// maxLaggards bounds how many are told.
const maxLaggards = 8

func (w *Worker) laggards() []Laggard {
	foremost := uint64(0)
	for _, one := range w.proxies {
		one.mutex.Lock()
		foremost = max(foremost, one.generation)
		one.mutex.Unlock()
	}
	var behind []Laggard
	for _, one := range w.proxies {
		one.mutex.Lock()
		if one.generation < foremost && len(behind) < maxLaggards {
			behind = append(behind, Laggard{one.host, one.sequence, one.generation, one.gap, one.ready()})
		}
		one.mutex.Unlock()
	}
	return behind
}

func (w *Worker) report(writer http.ResponseWriter, _ *http.Request) {
	report := Report{
		Laggards:  w.laggards(),
		PeerBytes: w.peers.in.Load() + w.peers.out.Load(),
		FeedBytes: w.feeds.in.Load() + w.feeds.out.Load(),
	}
	lists, shares := 0, 0
	for index, one := range w.proxies {
		one.mutex.Lock()
		if one.ready() {
			report.Ready++
		}
		marker := one.newestMarker()
		if index == 0 {
			report.Generation, report.Marker = one.generation, marker
			report.LeastServers, report.LeastShares = one.servers, one.shares
		}
		report.Generation = min(report.Generation, one.generation)
		report.Marker = min(report.Marker, marker)
		report.LeastServers = min(report.LeastServers, one.servers)
		report.LeastShares = min(report.LeastShares, one.shares)
		report.MostShares = max(report.MostShares, one.shares)
		if one.shares == w.Agents {
			report.Informed++
		}
		if one.sharesFell > 0 {
			report.SharesFell++
		}
		report.LateApplies += one.lateApplies
		lists += one.lists
		shares += one.shares
		one.mutex.Unlock()
	}
	report.Lists = lists / max(len(w.proxies), 1)
	report.AverageShares = float64(shares) / float64(max(len(w.proxies), 1))
	writeJSON(writer, report)
}

func (p *proxy) newestMarker() int {
	newest := -1
	for marker := range p.marked {
		newest = max(newest, marker)
	}
	return newest
}

// Times are the instants, in nanoseconds since 1970, at which proxies got something, by its number.
type Times struct {
	Generations map[uint64][]int64
	Markers     map[int][]int64
}

func (w *Worker) times(writer http.ResponseWriter, _ *http.Request) {
	times := Times{Generations: make(map[uint64][]int64), Markers: make(map[int][]int64)}
	for _, one := range w.proxies {
		one.mutex.Lock()
		for generation, at := range one.inForce {
			times.Generations[generation] = append(times.Generations[generation], at.UnixNano())
		}
		for marker, at := range one.marked {
			times.Markers[marker] = append(times.Markers[marker], at.UnixNano())
		}
		one.mutex.Unlock()
	}
	writeJSON(writer, times)
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
