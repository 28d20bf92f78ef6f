package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// trialRecord is what really happened in trials, as the servers saw it.
type trialRecord struct {
	mu         sync.Mutex
	payloads   map[string]string // of each request that a client sent, by id
	targets    map[string]string
	runs       map[string][]string // servers that ran it
	arrivals   map[string][]string
	answers    map[string][]sentResponse
	violations []string
}

// sentResponse is what a server wrote as the response to a request.
type sentResponse struct {
	server string
	bytes  string
	closed bool // then it closed the connection, or none would be needed
}

func newTrialRecord() *trialRecord {
	return &trialRecord{
		payloads: make(map[string]string),
		targets:  make(map[string]string),
		runs:     make(map[string][]string),
		arrivals: make(map[string][]string),
		answers:  make(map[string][]sentResponse),
	}
}

func (b *trialRecord) requestSent(id, target, payload string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.payloads[id], b.targets[id] = payload, target
}

func (b *trialRecord) requestExecuted(id, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id] = append(b.runs[id], server)
}

func (b *trialRecord) responseSent(id, server, bytes string, closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers[id] = append(b.answers[id], sentResponse{server, bytes, closed})
}

// requestArrived records that a request, or the beginning of it, reached a server.
func (b *trialRecord) requestArrived(id, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals[id] = append(b.arrivals[id], server)
}

func (b *trialRecord) reachedServer(id, server string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Contains(b.arrivals[id], server)
}

// checkRequest checks that a request is the one that a client sent.
func (b *trialRecord) checkRequest(got *http.Request, body string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := got.Header.Get(headerAttemptID)
	payload, known := b.payloads[id]
	if !known || body != payload || got.RequestURI != b.targets[id] || got.Method != http.MethodPost {
		b.violations = append(b.violations, fmt.Sprintf("request %q that no client sent", id))
	}
}

// checkBytes checks an incomplete request: its body must be the beginning of the right one.
func (b *trialRecord) checkBytes(seen string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	head, body, found := strings.Cut(seen, "\r\n\r\n")
	if !found {
		return
	}
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head + "\r\n\r\n")))
	if err != nil {
		b.violations = append(b.violations, fmt.Sprintf("bytes that begin no request: %q", head))
		return
	}
	id := request.Header.Get(headerAttemptID)
	if !strings.HasPrefix(b.payloads[id], body) {
		b.violations = append(b.violations, fmt.Sprintf("other bytes where the body of %s is due", id))
	}
}

// result is what a client received.
type result struct {
	status       int // 0: no answer
	seal         string
	id           string
	body         string
	complete     bool
	disconnected bool // the client left before the end
}

// readResult reads a response from a client's connection.
func readResult(reader *bufio.Reader) result {
	response, err := readResponse(reader, http.MethodGet)
	if err != nil {
		return result{}
	}
	body, err := io.ReadAll(response.Body)
	return result{
		status:   response.StatusCode,
		seal:     response.Header.Get(headerServerSeal),
		id:       response.Header.Get(headerAttemptID),
		body:     string(body),
		complete: err == nil,
	}
}

// check compares what a client received with what happened. The proxy has finished the request.
func (b *trialRecord) check(tr *trial, got result) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := b.violations
	b.violations = nil
	fail := func(format string, values ...any) { found = append(found, fmt.Sprintf(format, values...)) }
	ran, arrived := b.runs[tr.id], b.arrivals[tr.id]
	if len(ran) > tr.kind.maxRuns {
		fail("ran %d times: %v", len(ran), ran)
	}
	seen := make(map[string]bool)
	for _, server := range arrived {
		if seen[server] {
			fail("reached server %s twice", server)
		}
		seen[server] = true
	}
	if isRejectionStatus(got.status) && len(ran) > 0 {
		fail("answered %d but ran at %v", got.status, ran)
	}
	switch {
	case got.status != 0 && got.id != "" && got.id != tr.id:
		fail("got the answer to %s", got.id)
	case !isSuccess(got.status):
	case tr.kind.stream:
		b.checkStream(tr, got, fail)
	case got.complete && !b.wasSent(tr.id, got):
		fail("got %q of %q as a whole answer", got.body, got.seal)
	}
	return found
}

// wasSent reports whether a server sent exactly this complete response.
func (b *trialRecord) wasSent(id string, got result) bool {
	for _, sent := range b.answers[id] {
		if sent.server != got.seal {
			continue
		}
		if truth, proper := sent.parse(); proper && truth == got {
			return true
		}
	}
	return false
}

// parse reads a sent response as a client does that gets these bytes; proper reports whether it ended by the
// protocol.
func (a *sentResponse) parse() (truth result, proper bool) {
	response, err := readResponse(bufio.NewReader(strings.NewReader(a.bytes)), http.MethodGet)
	if err != nil {
		return result{}, false
	}
	body, err := io.ReadAll(response.Body)
	untilEnd := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	return result{
		status:   response.StatusCode,
		seal:     response.Header.Get(headerServerSeal),
		id:       response.Header.Get(headerAttemptID),
		body:     string(body),
		complete: true,
	}, err == nil && (a.closed || !untilEnd)
}

// checkStream checks the events of a stream: none missing, none twice, from one run unless it may be resumed, and
// all that its servers sent if it looks complete.
func (b *trialRecord) checkStream(tr *trial, got result, fail func(string, ...any)) {
	rest, last := got.body, 0
	for rest != "" {
		event, next, whole := strings.Cut(rest, "\n\n")
		if !whole {
			break
		}
		last++
		server, ok := strings.CutPrefix(event, fmt.Sprintf("id: %d\ndata: %s by ", last, tr.id))
		if !ok || (!tr.kind.resume && server != got.seal) {
			if !b.wasSent(tr.id, got) {
				fail("event %d is %q in the stream of %s", last, event, got.seal)
			}
			return
		}
		rest = next
	}
	if !got.complete || got.disconnected {
		return
	}
	if (last < eventsPerStream || rest != "") && !b.wasSent(tr.id, got) {
		fail("looks whole after %d events and %q", last, rest)
	}
}
