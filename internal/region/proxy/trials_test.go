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
	// trialStride is the distance in bytes of the offsets at which faults are injected. PROXY_TRIAL_STRIDE overrides it; 1
	// stands for every offset.
	trialStride = 61
	// trialWorkers is the number of trials that run concurrently, each with its own proxy.
	trialWorkers = 8
	// noResponseDeadline is the deadline, in milliseconds, of requests to a server that stops responding.
	noResponseDeadline = 50
	longDeadline       = 50000
	// maxViolations is the number of violations after which no more trials are run.
	maxViolations = 10
)

// trialWorker runs trials with one proxy and two servers, the first of which injects faults.
type trialWorker struct {
	t             *testing.T
	proxy         *testProxy
	record        *trialRecord
	first, second *faultyServer
	lengths       map[string]int64 // lengths of requests as the first server receives them, by kind
	count         int
	probes        map[int]int // numbers of requests between trials, by status
	timeout       time.Duration
	missed        int // trials that the first server did not receive, since no connection was established in time
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

// send sends a request with a new id on a new connection.
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

// request sends a request without a fault at its server and returns the violations in its response.
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

// run runs a trial and returns the violations.
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
		faults = append(faults, w.requestBetween(&tr)...) // uses another connection: the trial's waits for the rest of a body
	}
	close(release)
	if failure != "" {
		faults = append(faults, failure)
	}
	if !w.becomesIdle() {
		faults = append(faults, "the proxy or a connection of its servers did not become idle")
	}
	if w.first.current.Swap(nil) != nil && tr.fault != stopsResponding {
		w.missed++
	}
	faults = append(faults, w.record.check(&tr, got)...) // checked once more, since servers may have received something late
	if got.disconnected && w.record.reachedServer(tr.id, w.second.server.ID) {
		faults = append(faults, "went to another server after its client had disconnected")
	}
	return append(faults, w.requestBetween(&tr)...)
}

// requestBetween sends a request after a trial. The request may fail only after a fault that the proxy can't have detected
// yet on the connection, such as a close or surplus bytes.
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

// lengthOf returns the length of a trial's request as the first server receives it.
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

// becomesIdle waits until neither the proxy nor a server is working on a request, and reports whether that happened in
// time.
func (w *trialWorker) becomesIdle() bool {
	return becomesTrue(w.timeout, func() bool {
		return w.proxy.handler.counters.active.Load() == 0 && w.first.busy.Load() == 0 && w.second.busy.Load() == 0
	})
}

// becomesTrue polls a condition until it is met or the given time has passed, and reports whether it was met.
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
	found  []string    // violations, limited to about maxViolations
	probes map[int]int // numbers of requests between trials, by status
	missed int         // trials whose fault was not injected, since the server was not reached
}

// runTrials runs trials with several workers concurrently. wait is how long a worker waits for its proxy to become idle.
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

// addTrial adds the violations found in a trial and reports whether there are at least maxViolations.
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

// A server may fail at any byte of a request or response. Even then, no request is run more often than allowed, each client
// gets its own response or detects that it is incomplete, a rejected request is not run, and no work continues after a
// client has disconnected.
func TestAnswersAndRunsWithAServerThatMisbehavesAtAnyByte(t *testing.T) {
	stride := trialStride
	if configured, err := strconv.Atoi(os.Getenv("PROXY_TRIAL_STRIDE")); err == nil && configured > 0 {
		stride = configured
	}
	lengths := newTrialWorker(t, unwrapped).lengths
	all := append(allTrials(stride, lengths), longTrials(lengths)...)
	began := time.Now()
	got := runTrials(t, all, testTimeout, unwrapped)
	t.Logf("%d trials (%d missed) in %v, statuses of the requests between them: %v", len(all), got.missed, time.Since(began), got.probes)
	require.Empty(t, got.found, strings.Join(got.found, "\n"))
	require.Less(t, got.missed*100, len(all), "more than 99% of the trials must reach their server")
	for status, count := range got.probes {
		require.True(t, status == http.StatusOK || status == http.StatusBadGateway, "%d requests between trials got %d", count, status)
	}
}

func unwrapped(h *handler) http.Handler { return h }
