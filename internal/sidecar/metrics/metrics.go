// Package metrics holds the sidecar's StatsD counters and gauges and writes
// them as StatsD lines for the management address.
//
// Counters run from the start of the process and only grow; gauges are read
// when the figures are asked for. Every figure is safe to change from any
// goroutine: each is one atomic word, and the table of classes is bounded.
package metrics

import (
	"fmt"
	"sort"
	"sync"
	"sync/atomic"
)

// MaxClasses bounds the classes that are counted one by one. Those over it are counted under Other: a file that
// names more cannot make the table grow without end.
const MaxClasses = 256

// Other is the name under which classes over MostClasses are counted.
const Other = "other"

// Outcome is how a request of a class ended, as the submitter saw it.
type Outcome uint8

// The outcomeCount that are counted.
const (
	Success Outcome = iota // served: 200
	Busy                   // refused, to be sent again: 503
	Failure                // failed: 502 or the like
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"success", "busy", "failure"}

// Registry is the figures of one process.
type Registry struct {
	prefix string

	mu      sync.Mutex
	classes map[string]*[outcomeCount]atomic.Int64

	BackendCalls   atomic.Int64 // attempts whose last byte was written to an execute node
	Inflight       atomic.Int64 // requests taken and not yet answered
	ReconfigOK     atomic.Int64 // files taken at SIGHUP
	ReconfigFailed atomic.Int64 // files turned down at SIGHUP

	hosts atomic.Pointer[func() (listed, down int)]
}

// New makes a registry whose lines begin with prefix and a dot ("lb" gives lb.inflight).
func New(prefix string) *Registry {
	return &Registry{prefix: prefix, classes: map[string]*[outcomeCount]atomic.Int64{}}
}

// Count counts one request of class that ended so. A nil registry counts nothing.
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

// List makes classes show in the figures with nothing counted yet.
func (r *Registry) List(classes ...string) {
	for _, name := range classes {
		r.class(name)
	}
}

// Hosts tells the registry how to learn, when the figures are asked for, how many execute nodes are listed and how
// many of those are avoided now. It must not block.
func (r *Registry) Hosts(ask func() (listed, down int)) { r.hosts.Store(&ask) }

// Lines are the figures as StatsD lines, without line ends: counters with |c, gauges with |g. Classes come in the
// order of their names, so that two readings compare line by line.
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

// Reconfigured counts a file taken (ok) or turned down at SIGHUP. A nil registry counts nothing.
func (r *Registry) Reconfigured(ok bool) {
	switch {
	case r == nil:
	case ok:
		r.ReconfigOK.Add(1)
	default:
		r.ReconfigFailed.Add(1)
	}
}
