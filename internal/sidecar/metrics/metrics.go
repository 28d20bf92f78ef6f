// Package metrics holds the sidecar's StatsD counters and gauges and writes
// them as StatsD lines for the management address.
//
// Counters start at 0 with the process and only grow; gauges are read when the
// lines are written. Every metric may be changed from any goroutine, since each
// is one atomic word. The table of classes is bounded.
package metrics

import (
	"fmt"
	"sort"
	"sync"
	"sync/atomic"
)

// MaxClasses bounds the number of classes that are counted separately. Further classes are counted under Other, so that a
// configuration file with many classes cannot make the table grow without bound.
const MaxClasses = 256

// Other is the name under which classes beyond MaxClasses are counted.
const Other = "other"

// Outcome is the result of a request as its client saw it.
type Outcome uint8

// The outcomeCount that are counted.
const (
	Success Outcome = iota // answered with 200
	Busy                   // rejected with 503, to be retried by the client
	Failure                // failed, as with 502
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"success", "busy", "failure"}

// Registry holds the metrics of one process.
type Registry struct {
	prefix string

	mu      sync.Mutex
	classes map[string]*[outcomeCount]atomic.Int64

	BackendCalls   atomic.Int64 // attempts whose last byte was written to an execute node
	Inflight       atomic.Int64 // requests accepted and not yet answered
	ReconfigOK     atomic.Int64 // successful reloads at SIGHUP
	ReconfigFailed atomic.Int64 // rejected reloads at SIGHUP

	hosts atomic.Pointer[func() (listed, down int)]
}

// New returns a registry whose lines begin with prefix and a dot ("lb" gives lb.inflight).
func New(prefix string) *Registry {
	return &Registry{prefix: prefix, classes: map[string]*[outcomeCount]atomic.Int64{}}
}

// Count counts one request of a class by its outcome. A nil registry counts nothing.
func (r *Registry) Count(class string, o Outcome) {
	if r == nil || o >= outcomeCount {
		return
	}
	r.class(class)[o].Add(1)
}

func (r *Registry) class(name string) *[outcomeCount]atomic.Int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.classes[name]
	if c == nil {
		if len(r.classes) >= MaxClasses {
			name = Other
		}
		if c = r.classes[name]; c == nil {
			c = new([outcomeCount]atomic.Int64)
			r.classes[name] = c
		}
	}
	return c
}

// List adds classes to the metrics before any request of theirs is counted.
func (r *Registry) List(classes ...string) {
	for _, name := range classes {
		r.class(name)
	}
}

// Hosts sets the function that returns, whenever the lines are written, the number of listed execute nodes and how many of
// these are currently avoided. The function must not block.
func (r *Registry) Hosts(ask func() (listed, down int)) { r.hosts.Store(&ask) }

// Lines returns the metrics as StatsD lines, without line ends: counters with |c, gauges with |g. Classes are sorted by name,
// so that two outputs can be compared line by line.
func (r *Registry) Lines() []string {
	r.mu.Lock()
	names := make([]string, 0, len(r.classes))
	for name := range r.classes {
		names = append(names, name)
	}
	r.mu.Unlock()
	sort.Strings(names)
	var lines []string
	for _, name := range names {
		c := r.class(name)
		for o := range outcomeCount {
			lines = append(lines, fmt.Sprintf("%s.calls.%s.%s:%d|c", r.prefix, name, outcomeNames[o], c[o].Load()))
		}
	}
	listed, down := 0, 0
	if ask := r.hosts.Load(); ask != nil {
		listed, down = (*ask)()
	}
	return append(lines,
		fmt.Sprintf("%s.backend_calls:%d|c", r.prefix, r.BackendCalls.Load()),
		fmt.Sprintf("%s.reconfig_ok:%d|c", r.prefix, r.ReconfigOK.Load()),
		fmt.Sprintf("%s.reconfig_failed:%d|c", r.prefix, r.ReconfigFailed.Load()),
		fmt.Sprintf("%s.inflight:%d|g", r.prefix, max(0, r.Inflight.Load())),
		fmt.Sprintf("%s.hosts_listed:%d|g", r.prefix, listed),
		fmt.Sprintf("%s.hosts_down:%d|g", r.prefix, down),
	)
}

// Reconfigured counts a reload at SIGHUP as successful (ok) or rejected. A nil registry counts nothing.
func (r *Registry) Reconfigured(ok bool) {
	switch {
	case r == nil:
	case ok:
		r.ReconfigOK.Add(1)
	default:
		r.ReconfigFailed.Add(1)
	}
}
