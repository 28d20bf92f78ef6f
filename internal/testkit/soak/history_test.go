package soak

import (
	"fmt"
	"sync"
	"time"

	"fieldrelay/internal/region/settings"
	callhistory "fieldrelay/internal/testkit/history"
)

// moment is a time since the begin of a run, by the steady clock.
type moment = time.Duration

// forever is later than any moment of a run.
const forever moment = 1<<63 - 1

// outcome is what became of an order.
type outcome int

const (
	unanswered outcome = iota // may be in force or may not
	acknowledged
	refused
)

// order is a configuration that the operator sent.
type order struct {
	generation, base int64
	amends           bool
	invalid          bool
	body             []byte
	routes           routeSet // in force if the order is taken
	table            table    // the same as clients see it
	sum              uint64   // of the table
	touched          []string // prefixes of the routes that it changes
	maxHeader        int64    // limit on the heads of requests, in bytes
	sentAt           moment   // first
	result           outcome
	status           int
	answeredAt       moment // forever: not answered
}

// probe is a request to one proxy and what came of it.
type probe struct {
	edge, prefix       string
	sentAt, answeredAt moment
	arrivedAt          moment // at the server; 0: it reached none
	status             int    // 0: no answer
	service            int    // that ran it
	head               int64  // size of its head, in bytes, if that is large
	zone               string // of the server
	last               bool   // sent after everything was in force again
}

// read is a read of the configuration at one control machine.
type read struct {
	machine    string
	sentAt     moment
	status     int // 0: no answer
	generation int64
	sum        uint64
	last       bool // sent after everything was in force again
}

// evacuation is an order to empty a zone, or to take that back.
type evacuation struct {
	zone       string
	begins     bool
	sentAt     moment
	answeredAt moment // forever: not acknowledged
}

// life is one life of a process.
type life struct {
	machine     string
	role        role
	from, until moment
}

// trouble is something that was done to machines, or that happened to them.
type trouble struct {
	kind     string
	from, to moment
	edges    []string // edge machines that are not in touch meanwhile
	core     []string // control machines that are lost, slowed or cut off meanwhile
	unstable bool     // the core is not stable meanwhile
}

// history is all that was seen in a run.
type history struct {
	began time.Time
	clock int64 // steadyNS at the begin

	mutex       sync.Mutex
	orders      []*order
	probes      []probe
	reads       []read
	evacuations []*evacuation
	lives       []*life
	troubles    []*trouble
	calls       []callhistory.Call // of applications, by the time of their ends
	failures    []string           // found while it ran
}

func newHistory() *history { return &history{began: time.Now(), clock: steadyNS()} }

func (h *history) now() moment { return time.Since(h.began) }

// do changes the history.
func (h *history) do(change func()) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	change()
}

func (h *history) fail(format string, arguments ...any) {
	text := fmt.Sprintf("at %s: ", h.now().Round(time.Millisecond)) + fmt.Sprintf(format, arguments...)
	h.do(func() { h.failures = append(h.failures, text) })
}

func (h *history) begin(machine string, of role) *life {
	own := &life{machine: machine, role: of, from: h.now(), until: forever}
	h.do(func() { h.lives = append(h.lives, own) })
	return own
}

func (h *history) end(own *life) {
	h.do(func() { own.until = min(own.until, h.now()) })
}

// stoodStill notes a standstill of some machines as a trouble.
func (h *history) stoodStill(found standstill, machines ...*settings.Settings) {
	own := &trouble{kind: standstillMessage, from: moment(found.FromNS - h.clock), to: moment(found.ToNS - h.clock)}
	for _, one := range machines {
		if one.QuorumMember {
			own.core, own.unstable = append(own.core, one.Hostname), true
		} else {
			own.edges = append(own.edges, one.Hostname)
		}
	}
	h.do(func() { h.troubles = append(h.troubles, own) })
}
