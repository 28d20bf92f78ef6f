package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fieldrelay/internal/region/settings"
)

const (
	probePeriod = 30 * time.Millisecond
	probers     = 2 // at each proxy: one request may hang
	probeLimit  = 900 * time.Millisecond
	// freshOrders is the number of newest orders whose routes are probed most.
	freshOrders = 5
	freshPart   = 70 // percent of probes
	// largeHeads are percent of probes with a head that only some of headLimits allow.
	largeHeads = 20
)

// prober sends requests to one proxy.
type prober struct {
	world  *world
	edge   *settings.Settings
	client *http.Client
	random *rand.Rand
}

func newProber(w *world, edge *settings.Settings, number int, seed uint64) *prober {
	return &prober{
		world:  w,
		edge:   edge,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}, Timeout: probeLimit},
		random: rand.New(rand.NewPCG(seed, 100+uint64(number))),
	}
}

// work probes until ctx ends.
func (p *prober) work(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	for p.world.wait(ctx, probePeriod) {
		if prefix := p.choose(); prefix != "" {
			p.probe(ctx, prefix, false)
		}
	}
}

// choose picks a route that was touched by one of the last orders, taken or not, or any other that ever was.
func (p *prober) choose() (prefix string) {
	p.world.history.do(func() {
		orders := p.world.history.orders
		if len(orders) == 0 {
			return
		}
		if p.random.IntN(100) < freshPart {
			orders = orders[max(0, len(orders)-freshOrders):]
		}
		if touched := orders[p.random.IntN(len(orders))].touched; len(touched) > 0 {
			prefix = touched[p.random.IntN(len(touched))]
		}
	})
	return prefix
}

// headSizes are the sizes of large heads: well below a limit, or above it by more than proxies tolerate.
var headSizes = []int64{12 << 10, 28 << 10, 60 << 10}

// probe sends one request and notes what came of it.
func (p *prober) probe(ctx context.Context, prefix string, last bool) probe {
	own := probe{edge: p.edge.Hostname, prefix: prefix, sentAt: p.world.history.now(), service: -1, last: last}
	address := "http://" + p.edge.Binds.Edge + prefix + "x"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, strings.NewReader("probe"))
	if err != nil {
		p.world.history.fail("%v", err)
		return own
	}
	request.Host = virtualHost
	if !last && p.random.IntN(100) < largeHeads {
		own.head = headSizes[p.random.IntN(len(headSizes))]
		request.Header.Set("X-Note", strings.Repeat("n", int(own.head)))
	}
	request.Header.Set("X-Fieldrelay-Attempt-Id", fmt.Sprintf("%016x", p.random.Uint64()))
	request.Header.Set("X-Fieldrelay-Deadline-Ms", strconv.FormatInt(probeLimit.Milliseconds()-100, 10))
	if response, err := p.client.Do(request); err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err == nil {
			own.take(response)
		}
	}
	own.answeredAt = p.world.history.now()
	p.world.history.do(func() { p.world.history.probes = append(p.world.history.probes, own) })
	return own
}

// take reads an answer; what a server adds to it tells which server ran the request.
func (p *probe) take(response *http.Response) {
	p.status = response.StatusCode
	service, err := strconv.Atoi(response.Header.Get(headerService))
	if err != nil {
		return
	}
	arrived, err := strconv.ParseInt(response.Header.Get(headerArrived), 10, 64)
	if err != nil {
		return
	}
	p.service, p.arrivedAt, p.zone = service, moment(arrived), response.Header.Get(headerZone)
}
