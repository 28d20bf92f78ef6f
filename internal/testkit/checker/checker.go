// Package checker checks a run from its recorded history alone, without any knowledge of the code under test. A history is
// a list of entries, one JSON line each.
package checker

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Kind is the kind of event that an entry records.
type Kind string

// The kinds of entries.
const (
	Ask         Kind = "ask"    // a client sends an attempt of a request to a sidecar
	Answer      Kind = "answer" // the result of that attempt; Status 0: no answer arrived
	Over        Kind = "over"   // the client has the final answer, with Status, or gives the request up, with Status 0
	Ran         Kind = "ran"    // an execute node started to process a request
	Duplicate   Kind = "repeat" // an execute node recognised the idempotency key of an earlier request and did no work
	Strike      Kind = "strike" // the fault injector starts or ends a fault
	Member      Kind = "member" // Sidecar considers Peer to be in State
	Mode        Kind = "mode"   // Sidecar has entered mode State
	View        Kind = "view"   // Sidecar has decided or adopted (State says which) view ID with content Key
	Ended       Kind = "ended"  // a process ended; Err is set if it was not asked to
	Convergence Kind = "settle" // State is the time that the fleet took to converge; Err is set if it did not converge
)

// Entry is one recorded event, a line of a history.
type Entry struct {
	At      time.Duration `json:"at"` // nanoseconds since the start, by the recorder's clock
	Kind    Kind          `json:"kind"`
	ID      string        `json:"id,omitempty"`
	Class   string        `json:"class,omitempty"`
	Key     string        `json:"key,omitempty"`
	Sidecar string        `json:"sidecar,omitempty"`
	Node    string        `json:"node,omitempty"`
	Peer    string        `json:"peer,omitempty"`
	State   string        `json:"state,omitempty"`
	Status  int           `json:"status,omitempty"`
	Err     string        `json:"err,omitempty"`
}

// maxEntries limits the length of a history; later entries are only counted.
const maxEntries = 4 << 20

// History collects entries from any goroutine.
type History struct {
	from    time.Time
	mu      sync.Mutex
	entries []Entry
	lost    int
}

// NewHistory returns an empty history whose time starts now.
func NewHistory() *History { return &History{from: time.Now()} }

// Now returns the time since the start of the history.
func (h *History) Now() time.Duration { return time.Since(h.from) }

// Add appends an entry with the current time, which it returns.
func (h *History) Add(e Entry) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.At = time.Since(h.from)
	if len(h.entries) >= maxEntries {
		h.lost++
		return e.At
	}
	h.entries = append(h.entries, e)
	return e.At
}

// Entries returns a copy of the entries recorded so far.
func (h *History) Entries() []Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.entries)
}

// Write writes the entries as JSON lines.
func (h *History) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	for _, e := range h.Entries() {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return nil
}

// Read reads entries that Write has written.
func Read(r io.Reader) ([]Entry, error) {
	var all []Entry
	for dec := json.NewDecoder(r); ; {
		var e Entry
		if err := dec.Decode(&e); errors.Is(err, io.EOF) {
			return all, nil
		} else if err != nil {
			return nil, err
		}
		all = append(all, e)
	}
}

// Class describes the execution guarantees of a class of requests.
type Class struct {
	Name   string
	Single bool          // whether a request must run at most once
	Window time.Duration // deduplication window of a class with idempotency keys: nodes that deduplicate do not run a repeat within it; 0: no keys
}

// Verdict is the result of checking a history.
type Verdict struct {
	Rules                                         []string // violated rules, one line each
	Requests, Served, Refused, Failed, Unanswered int
	RanTwice, SingleTwice, KeyedTwice             int
	Repeats                                       int // duplicates that nodes recognised by their key
	Strikes                                       int // starts and ends of faults
	Hit                                           int // requests that were in progress when a fault started or ended
}

// String returns the summary that a run prints as its last line.
func (v Verdict) String() string {
	return fmt.Sprintf("rules broken %d, unanswered %d, ran twice %d", len(v.Rules), v.Unanswered, v.RanTwice)
}

// Passed reports whether no rule was violated and no request was unanswered or ran twice.
func (v Verdict) Passed() bool { return len(v.Rules)+v.Unanswered+v.RanTwice == 0 }

// slack is the tolerated delay between an event and its entry in the history: the processes share a busy machine.
const slack = time.Second

// Check checks a history. bound is the longest time for which a sidecar may use a view after the next one was decided;
// 0: not checked.
func Check(entries []Entry, classes []Class, bound time.Duration) Verdict {
	j := requestChecker{
		verdict:  Verdict{Rules: checkViews(entries, bound)},
		single:   map[string]bool{},
		requests: map[string]*request{},
		keys:     map[string]int{},
	}
	for _, c := range classes {
		j.single[c.Name] = c.Single
	}
	for _, e := range entries {
		j.add(e)
	}
	for _, id := range slices.Sorted(maps.Keys(j.requests)) {
		j.checkRequest(id, j.requests[id])
	}
	for _, runs := range j.keys {
		if runs > 1 {
			j.verdict.RanTwice++
			j.verdict.KeyedTwice++
		}
	}
	return j.verdict
}

// requestChecker collects the events of each request and checks them.
type requestChecker struct {
	verdict  Verdict
	single   map[string]bool // by class: whether its requests must run at most once
	requests map[string]*request
	keys     map[string]int // number of runs by idempotency key
	strikes  []time.Duration
}

// request is the recorded course of one request.
type request struct {
	class        string
	finalAnswers int
	runs         int
	from, to     time.Duration
}

// of returns the request of an entry.
func (j *requestChecker) of(e Entry) *request {
	r := j.requests[e.ID]
	if r == nil {
		r = &request{class: e.Class, from: e.At}
		j.requests[e.ID] = r
	}
	return r
}

// add processes one entry.
func (j *requestChecker) add(e Entry) {
	v := &j.verdict
	switch e.Kind {
	case Ask:
		j.of(e)
	case Over:
		r := j.of(e)
		r.finalAnswers++
		r.to = e.At
		v.countAnswer(e.Status)
	case Ran:
		j.of(e).runs++
		if e.Key != "" {
			j.keys[e.Key]++
		}
	case Duplicate:
		v.Repeats++
	case Strike:
		v.Strikes++
		j.strikes = append(j.strikes, e.At)
	case Ended:
		if e.Err != "" {
			v.Rules = append(v.Rules, fmt.Sprintf("%v: process of %s exited unexpectedly: %s", e.At, e.Sidecar, e.Err))
		}
	case Convergence:
		if e.Err != "" {
			v.Rules = append(v.Rules, fmt.Sprintf("%v: fleet did not converge: %s", e.At, e.Err))
		}
	}
}

// countAnswer counts a final answer by its status; 0: no answer.
func (v *Verdict) countAnswer(status int) {
	switch status {
	case http.StatusOK:
		v.Served++
	case http.StatusServiceUnavailable:
		v.Refused++
	case 0:
		v.Unanswered++
	default:
		v.Failed++
	}
}

// checkRequest checks the number of final answers and of runs of one request.
func (j *requestChecker) checkRequest(id string, r *request) {
	v := &j.verdict
	v.Requests++
	switch {
	case r.finalAnswers == 0:
		v.Unanswered++
	case r.finalAnswers > 1:
		v.Rules = append(v.Rules, fmt.Sprintf("request %s has %d final answers", id, r.finalAnswers))
	}
	if slices.ContainsFunc(j.strikes, func(at time.Duration) bool { return r.from <= at && at <= r.to }) {
		v.Hit++
	}
	if j.single[r.class] && r.runs > 1 {
		v.RanTwice++
		v.SingleTwice++
	}
}
