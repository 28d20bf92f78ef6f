// Package checker judges a run by its history alone: it knows nothing of the
// code that made it. A history is a list of entries, one JSON line each.
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

// Kind is what an entry tells.
type Kind string

// The kinds of entries.
const (
	Ask         Kind = "ask"    // a client sends a try of a request to a sidecar
	Answer      Kind = "answer" // what came of that try; Status 0: nothing came
	Over        Kind = "over"   // the client gives the request up, or has its final answer; Status is that
	Ran         Kind = "ran"    // an execute node began its work
	Duplicate   Kind = "repeat" // an execute node knew the key and did no work
	Strike      Kind = "strike" // the injector begins or ends a fault
	Member      Kind = "member" // Sidecar believes State of Peer
	Mode        Kind = "mode"   // Sidecar is in mode State
	View        Kind = "view"   // Sidecar has decided, or adopted, by State, view ID with content Key
	Ended       Kind = "ended"  // a process ended; Err is set if nobody asked for that
	Convergence Kind = "settle" // how long the fleet took to be one again; Err: it did not
)

// Entry is a line of a history.
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

// maxEntries bounds a history.
const maxEntries = 4 << 20

// History collects entries from any goroutine.
type History struct {
	from    time.Time
	mu      sync.Mutex
	entries []Entry
	lost    int
}

// NewHistory begins a history now.
func NewHistory() *History { return &History{from: time.Now()} }

// Now is the history's time.
func (h *History) Now() time.Duration { return time.Since(h.from) }

// Add adds an entry; its time is filled in.
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

// Entries are those so far.
func (h *History) Entries() []Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.entries)
}

// Write writes JSON lines.
func (h *History) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	for _, e := range h.Entries() {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return nil
}

// Read reads JSON lines.
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

// Class is what a class promises.
type Class struct {
	Name   string
	Single bool          // never run twice
	Window time.Duration // of keyed classes: a repeat within it is no second run where nodes drop it. 0: not keyed
}

// Verdict is what a history comes to.
type Verdict struct {
	Rules                                         []string // broken ones, a line each
	Requests, Served, Refused, Failed, Unanswered int
	RanTwice, SingleTwice, KeyedTwice             int
	Repeats                                       int // that nodes dropped by their key
	Strikes                                       int
	Hit                                           int // requests with a try out at a sidecar while that was struck
}

// String is the last line of a run.
func (v Verdict) String() string {
	return fmt.Sprintf("rules broken %d, unanswered %d, ran twice %d", len(v.Rules), v.Unanswered, v.RanTwice)
}

// Passed tells whether nothing was broken.
func (v Verdict) Passed() bool { return len(v.Rules)+v.Unanswered+v.RanTwice == 0 }

// slack is how much later than it happened a thing may stand in a history: processes share a busy machine.
const slack = time.Second

// Check looks at a history. bound is how long a view may be held after the next one was decided; 0: that is not judged.
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

// requestChecker collects what a history says of each request.
type requestChecker struct {
	verdict  Verdict
	single   map[string]bool // by class: its requests run once at the most
	requests map[string]*request
	keys     map[string]int // runs under a key
	strikes  []time.Duration
}

// request is what became of one request.
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

// add takes in an entry.
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
			v.Rules = append(v.Rules, fmt.Sprintf("%v: process of %s ended by itself: %s", e.At, e.Sidecar, e.Err))
		}
	case Convergence:
		if e.Err != "" {
			v.Rules = append(v.Rules, fmt.Sprintf("%v: not one fleet again: %s", e.At, e.Err))
		}
	}
}

// countAnswer counts a final answer by its status; 0 is none.
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

// checkRequest judges what became of a request.
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
