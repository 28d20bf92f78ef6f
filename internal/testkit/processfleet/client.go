package processfleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fieldrelay/internal/testkit/checker"
)

// The clients: each request is asked at a sidecar, and, if that does not answer or turns it back, at the next one under
// the same id and key.
const (
	budget      = 3 * time.Second // that a client waits for a try
	lastly      = 2 * time.Second // on top, until a try counts as without an answer
	maxAttempts = 3
	mostOpen    = 512 // requests at a time
	retryDelay  = 100 * time.Millisecond
)

// Load asks rate requests a second, evenly spread over sidecars and classes, until ctx ends, and waits for the last.
func (r *Fleet) Load(ctx context.Context, rate float64) {
	if rate <= 0 {
		<-ctx.Done()
		return
	}
	rng := rand.New(rand.NewPCG(r.opts.Seed, 0xc11e))
	client := &fasthttp.Client{MaxConnsPerHost: mostOpen, ReadTimeout: budget + lastly, WriteTimeout: budget, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }, MaxIdemponentCallAttempts: 1,
		Dial: func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, time.Second) }}
	defer client.CloseIdleConnections()
	var open sync.WaitGroup
	defer open.Wait()
	places := make(chan struct{}, mostOpen)
	for n := 1; ; n++ {
		gap := time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		select {
		case <-time.After(gap):
		case <-ctx.Done():
			return
		}
		class := Classes[rng.IntN(len(Classes))]
		first := rng.IntN(len(r.Sidecars))
		select {
		case places <- struct{}{}:
		default:
			continue // the fleet stands still: the clients are all waiting
		}
		open.Add(1)
		go func() {
			defer open.Done()
			defer func() { <-places }()
			r.request(client, fmt.Sprintf("q%d", n), class, first)
		}()
	}
}

// request asks until there is a final answer or the tries are used up.
func (r *Fleet) request(client *fasthttp.Client, id string, class checker.Class, at int) {
	key := ""
	if class.Window > 0 {
		key = "k" + id
	}
	last := 0
	for try := range maxAttempts {
		s := r.Sidecars[(at+try)%len(r.Sidecars)]
		r.History.Add(checker.Entry{Kind: checker.Ask, ID: id, Class: class.Name, Key: key, Sidecar: s.Name})
		status, retry, err := r.attempt(client, s, id, class, key, try > 0)
		e := checker.Entry{Kind: checker.Answer, ID: id, Class: class.Name, Sidecar: s.Name, Status: status}
		if err != nil {
			e.Err = err.Error()
		}
		r.History.Add(e)
		if status != 0 {
			last = status
		}
		if status == 200 || status == 502 {
			break
		}
		time.Sleep(min(retry, time.Second))
	}
	r.History.Add(checker.Entry{Kind: checker.Over, ID: id, Class: class.Name, Status: last})
}

func (r *Fleet) attempt(client *fasthttp.Client, s *Sidecar, id string, class checker.Class, key string, again bool) (status int, retry time.Duration, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + r.links[linkID{"client", s.Name}].Addr() + "/" + class.Name)
	if class.Name != "look" {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString("{}")
	}
	req.Header.Set("X-Call-Id", id)
	req.Header.Set("X-Budget", strconv.FormatFloat(budget.Seconds(), 'f', -1, 64))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if again {
		req.Header.Set("X-Again", "1")
	}
	if err := client.DoTimeout(req, resp, budget+lastly); err != nil {
		return 0, retryDelay, err
	}
	after, _ := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64)
	if status = resp.StatusCode(); status == 0 {
		return 0, retryDelay, errors.New("no status")
	}
	return status, max(retryDelay, time.Duration(after*float64(time.Second))), nil
}
