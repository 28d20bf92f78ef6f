package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/proxy/upstream"
)

const (
	// trialStride is the distance of the bytes at which faults are injected; PROXY_TRIAL_STRIDE=1 takes every one.
	trialStride = 61
	// trialWorkers is the number of proxies in trials at a time.
	trialWorkers = 8
	// noResponseDeadline, in milliseconds, ends the requests to which a server sends no response.
	noResponseDeadline = 50
	longDeadline       = 50000
	// maxViolations is the number of violations after which no more trials are run.
	maxViolations = 10
)

// trialWorker runs trials of one proxy with two servers, of which the first injects faults.
type trialWorker struct {
	t             *testing.T
	proxy         *testProxy
	record        *trialRecord
	first, second *faultyServer
	lengths       map[string]int64 // of requests as the first server gets them, by kind
	count         int
	probes        map[int]int // by status
	timeout       time.Duration
	missed        int // trials that the first server never got: no connection came up in time
}

func newTrialWorker(t *testing.T, between func(*handler) http.Handler) *trialWorker {
	t.Helper()
	w := &trialWorker{t: t, record: newTrialRecord(), lengths: make(map[string]int64), probes: make(map[int]int), timeout: testTimeout}
	w.first, w.second = newFaultyServer(t, "one", w.record), newFaultyServer(t, "two", w.record)
	placer := &fakePlacer{servers: []upstream.Server{w.first.server, w.second.server}}
	w.proxy = newTestProxyWith(t, placer, between)
	for _, kind := range requestKinds {
		_ = w.request(kind.target, "c", longDeadline)
		w.lengths[kind.name] = w.first.length.Load()
	}
	return w
}

// send sends a request with an id of its own on a connection of its own.
func (w *trialWorker) send(target, name string, deadline int, payload string) (id string, conn net.Conn, err error) {
	w.count++
	id = fmt.Sprintf("%s-%06d", name, w.count)
	if payload == "" {
		payload = "payload of " + id
	}
	w.record.requestSent(id, target, payload)
	if conn, err = net.Dial("tcp4", w.proxy.address); err != nil {
		return id, nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		target, headerAttemptID, id, headerDeadline, deadline, len(payload), payload)
	return id, conn, err
}

// request sends a request to servers that behave well and returns what is wrong with the response.
func (w *trialWorker) request(target, name string, deadline int) []string {
	id, conn, err := w.send(target, name, deadline, "")
	if err != nil {
		return []string{err.Error()}
	}
	defer func() { _ = conn.Close() }()
	got := readResult(bufio.NewReader(conn))
	w.probes[got.status]++
	return w.record.check(&trial{id: id, kind: requestKind{maxRuns: 2, stream: isStreamTarget(target), resume: true}}, got)
}

// run runs a trial and returns the rules that were violated.
func (w *trialWorker) run(tr trial) []string {
	w.proxy.handler.pool.Forget(w.first.server)
	w.proxy.handler.pool.Forget(w.second.server)
	release := make(chan struct{})
	w.first.release.Store(&release)
	if tr.reused {
		_ = w.request(tr.kind.target, "w", longDeadline)
	}
	deadline := longDeadline
	if tr.fault == stopsResponding {
		deadline = noResponseDeadline
	}
	w.first.length.Store(w.lengthOf(&tr))
	tr.id = fmt.Sprintf("t-%06d", w.count+1)
	w.first.current.Store(&tr)
	got, failure := w.play(&tr, deadline)
	faults := w.record.check(&tr, got)
	if tr.fault == respondsEarlyReadsLater && w.lengthOf(&tr)-int64(tr.offset) > 4*smallWindow {
		faults = append(faults, w.requestBetween(&tr)...) // on another connection: this one waits for the rest of a body
	}
	close(release)
	if failure != "" {
		faults = append(faults, failure)
	}
	if !w.becomesIdle() {
		faults = append(faults, "the proxy or a connection of its servers goes on")
	}
	if w.first.current.Swap(nil) != nil && tr.fault != stopsResponding {
		w.missed++
	}
	faults = append(faults, w.record.check(&tr, got)...) // once more: what came late counts as well
	if got.disconnected && w.record.reachedServer(tr.id, w.second.server.ID) {
		faults = append(faults, "went to another server after its client had left")
	}
	return append(faults, w.requestBetween(&tr)...)
}

// requestBetween sends a request after a trial. It may fail only if its server can't be known to be gone, or sends
// unrequested bytes.
func (w *trialWorker) requestBetween(tr *trial) []string {
	before := w.probes[http.StatusOK]
	faults := w.request("/long/o/x", "p", longDeadline)
	switch tr.fault {
	case stopsResponding, respondsEarly, respondsEarlyReadsLater, respondsToOther, splicesResponses, clientDisconnects:
		if w.probes[http.StatusOK] == before {
			faults = append(faults, "the next request failed")
		}
	}
	return faults
}

// lengthOf is the length of a trial's request as the first server receives it.
func (w *trialWorker) lengthOf(tr *trial) int64 {
	length := w.lengths[tr.kind.name]
	if tr.fault == stopsResponding {
		length += int64(digits(noResponseDeadline) - digits(longDeadline))
	}
	if tr.payload != "" {
		usual := len("payload of t-000000")
		length += int64(len(tr.payload) - usual + digits(len(tr.payload)) - digits(usual))
	}
	return length
}

func digits(number int) int { return len(strconv.Itoa(number)) }

// play sends the trial's request and receives the response, or disconnects.
func (w *trialWorker) play(tr *trial, deadline int) (got result, failure string) {
	_, conn, err := w.send(tr.kind.target, "t", deadline, tr.payload)
	if err != nil {
		return got, err.Error()
	}
	defer func() { _ = conn.Close() }()
	if tr.fault != clientDisconnects {
		return readResult(bufio.NewReader(conn)), ""
	}
	select {
	case <-w.first.arrived:
	case <-time.After(testTimeout):
		failure = "the server was not reached"
	}
	return result{disconnected: true}, failure
}

// becomesIdle waits until the proxy has finished all requests, and the servers' connections with them.
func (w *trialWorker) becomesIdle() bool {
	return becomesTrue(w.timeout, func() bool {
		return w.proxy.handler.counters.active.Load() == 0 && w.first.busy.Load() == 0 && w.second.busy.Load() == 0
	})
}

// becomesTrue polls a condition until it is met, for a bounded time, and reports whether it was.
func becomesTrue(bound time.Duration, condition func() bool) bool {
	limit := time.NewTimer(bound)
	defer limit.Stop()
	ticker := time.NewTicker(pollInterval / 10)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-limit.C:
			return false
		}
	}
	return true
}

// trialSummary is the result of many trials.
type trialSummary struct {
	found  []string    // broken rules, about maxViolations of them
	probes map[int]int // answers to the requests between trials, by status
	missed int         // trials without their fault
}

// runTrials runs trials with several proxies at a time.
func runTrials(t *testing.T, all []trial, wait time.Duration, between func(*handler) http.Handler) *trialSummary {
	t.Helper()
	var mu sync.Mutex
	var next atomic.Int64
	var done sync.WaitGroup
	got := &trialSummary{probes: make(map[int]int)}
	for range trialWorkers {
		w := newTrialWorker(t, between)
		w.timeout = wait
		done.Go(func() {
			for index := next.Add(1) - 1; index < int64(len(all)); index = next.Add(1) - 1 {
				faults := w.run(all[index])
				mu.Lock()
				enough := got.addTrial(&all[index], faults)
				mu.Unlock()
				if enough {
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			got.add(w)
		})
	}
	done.Wait()
	return got
}

// addTrial adds the violations found in a trial and reports whether there are enough.
func (o *trialSummary) addTrial(tr *trial, faults []string) bool {
	for _, fault := range faults {
		o.found = append(o.found, tr.String()+": "+fault)
	}
	return len(o.found) >= maxViolations
}

func (o *trialSummary) add(w *trialWorker) {
	o.missed += w.missed
	for status, count := range w.probes {
		o.probes[status] += count
	}
}

// Whatever a server does, at whatever byte: each request is run as often as it may be, each client gets its own response
// or sees that it is incomplete, a request that was rejected is not run, and nothing goes on after a client is gone.
func TestAnswersAndRunsWithAServerThatMisbehavesAtAnyByte(t *testing.T) {
	stride := trialStride
	if configured, err := strconv.Atoi(os.Getenv("PROXY_TRIAL_STRIDE")); err == nil && configured > 0 {
		stride = configured
	}
	lengths := newTrialWorker(t, unwrapped).lengths
	all := append(allTrials(stride, lengths), longTrials(lengths)...)
	began := time.Now()
	got := runTrials(t, all, testTimeout, unwrapped)
	t.Logf("%d trials (%d missed) in %v, answers to the requests between them: %v", len(all), got.missed, time.Since(began), got.probes)
	require.Empty(t, got.found, strings.Join(got.found, "\n"))
	require.Less(t, got.missed*100, len(all), "most trials must meet their server")
	for status, count := range got.probes {
		require.True(t, status == http.StatusOK || status == http.StatusBadGateway, "%d requests between trials got %d", count, status)
	}
}

func unwrapped(h *handler) http.Handler { return h }
