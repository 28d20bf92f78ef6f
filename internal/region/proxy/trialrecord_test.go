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

// trialRecord records what really happened in trials, as seen by the servers.
type trialRecord struct {
	mu         sync.Mutex
	payloads   map[string]string // bodies of the requests that clients sent, by request id
	targets    map[string]string
	runs       map[string][]string // servers that ran a request, by request id
	arrivals   map[string][]string
	answers    map[string][]sentResponse
	violations []string
}

// sentResponse is what a server wrote as the response to a request.
type sentResponse struct {
	server string
	bytes  string
	closed bool // the server then closed the connection, or would have if the response required it
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

// requestArrived records that at least the beginning of a request reached a server.
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

// checkRequest checks that a request is identical to the one that a client sent with its id.
func (b *trialRecord) checkRequest(got *http.Request, body string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := got.Header.Get(headerAttemptID)
	payload, known := b.payloads[id]
	if !known || body != payload || got.RequestURI != b.targets[id] || got.Method != http.MethodPost {
		b.violations = append(b.violations, fmt.Sprintf("request %q that no client sent", id))
	}
}

// checkBytes checks an incomplete request: the received part must be the beginning of what the client sent.
func (b *trialRecord) checkBytes(seen string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	head, body, found := strings.Cut(seen, "\r\n\r\n")
	if !found {
		return
	}
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head + "\r\n\r\n")))
	if err != nil {
		b.violations = append(b.violations, fmt.Sprintf("bytes that are not the beginning of a request: %q", head))
		return
	}
	id := request.Header.Get(headerAttemptID)
	if !strings.HasPrefix(b.payloads[id], body) {
		b.violations = append(b.violations, fmt.Sprintf("the body of %s has other bytes than the client sent", id))
	}
}

// result is what a client received.
type result struct {
	status       int // 0 if there was no response
	seal         string
	id           string
	body         string
	complete     bool
	disconnected bool // the client disconnected before the end
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

// check compares what a client received with what happened at the servers, and returns the violations. It is called after
// the proxy has finished the request.
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
		fail("got status %d but ran at %v", got.status, ran)
	}
	switch {
	case got.status != 0 && got.id != "" && got.id != tr.id:
		fail("got the response to %s", got.id)
	case !isSuccess(got.status):
	case tr.kind.stream:
		b.checkStream(tr, got, fail)
	case got.complete && !b.wasSent(tr.id, got):
		fail("got %q of %q as a complete response", got.body, got.seal)
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

// parse returns the result for a client that receives exactly the sent bytes. proper reports whether the response ended as
// the protocol requires.
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

// checkStream checks the events of a stream. No event may be missing or duplicate, all events must come from one execution
// unless the stream is resumable, and a stream that looks complete must have all events that its servers sent.
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
		fail("looks complete after %d events and %q", last, rest)
	}
}
