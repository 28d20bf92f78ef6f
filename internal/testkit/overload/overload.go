// Package overload measures what a sidecar holds in memory while submitters,
// execute nodes or the list send it more than it can keep. Each case runs the
// sidecar's binary in a process of its own, with small requests going on beside
// the flood, and reports the system's own high-water mark of its memory.
package overload

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fieldrelay/internal/testkit/fakebackend"
)

// Options set a run.
type Options struct {
	Binary       string        // of the sidecar
	MemoryMB     int           // its limits.memory_mb
	Sockets      int           // its limits.sockets
	Submitters   int           // of a flood
	Rounds       int           // that each of them makes
	Delay        time.Duration // of an execute node
	Rate         int           // small requests a second beside the flood
	RecoveryTime time.Duration // from the end of a flood until the sidecar is looked at again,
	Calm         time.Duration // and how long calm traffic is then measured
	Dir          string        // for the configuration and the log; empty at the start
}

// Defaults are those of the flood that was first seen to break the limit.
func Defaults() Options {
	return Options{MemoryMB: 32, Sockets: 1024, Submitters: 300, Rounds: 4, Delay: 1500 * time.Millisecond, Rate: 60,
		RecoveryTime: 2 * time.Second, Calm: 2 * time.Second}
}

// Result is what a case came to.
type Result struct {
	Case     string        `json:"case"`
	MemoryMB int           `json:"memory_mb"`
	PeakKB   int           `json:"peak_kb"`  // VmHWM of the sidecar
	AfterKB  int           `json:"after_kb"` // VmRSS, 2 s after the flood
	Flood    Tally         `json:"flood"`
	Small    Tally         `json:"small"` // beside the flood
	Calm     Tally         `json:"calm"`  // from 2 s after it
	CPU      time.Duration `json:"cpu_ns"`
	Replaced int           `json:"replaced"`       // times that a new process took over
	Reloaded int           `json:"reloaded"`       // times that new settings took effect,
	Kept     int           `json:"kept"`           // and that faulty ones changed nothing
	Jobs     int64         `json:"jobs"`           // that execute nodes were sent
	Left     int64         `json:"left"`           // bytes that jobs and answers hold in the end; -1: not told
	Exit     string        `json:"exit,omitempty"` // how the sidecar ended, if not in good order
}

// Tally counts how requests ended.
type Tally struct {
	Requests   int            `json:"asked"`
	Served     int            `json:"served"`
	Refused    int            `json:"refused"` // 429 and 503
	Failed     int            `json:"failed"`  // any other answer
	Closed     int            `json:"closed"`  // the connection ended without an answer
	Unanswered int            `json:"silent"`  // neither, in the time that the submitter gave
	Reasons    map[string]int `json:"reasons"` // the texts of answers other than 200
	P50        time.Duration  `json:"p50_ns"`  // of those served
	P99        time.Duration  `json:"p99_ns"`
	Worst      time.Duration  `json:"worst_ns"`
	took       []time.Duration
}

// ServedFraction is the part that was served, 1 of nothing asked.
func (t *Tally) ServedFraction() float64 {
	if t.Requests == 0 {
		return 1
	}
	return float64(t.Served) / float64(t.Requests)
}

// String is the tally in one line, for people.
func (t *Tally) String() string {
	return fmt.Sprintf("%d asked, %.3f served, %d refused, %d failed, %d closed, %d silent, p99 %.1f ms, worst %.1f ms %v",
		t.Requests, t.ServedFraction(), t.Refused, t.Failed, t.Closed, t.Unanswered, float64(t.P99)/1e6, float64(t.Worst)/1e6, t.Reasons)
}

// tally counts from many goroutines.
type tally struct {
	mu sync.Mutex
	Tally
}

func (t *tally) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Requests++
	switch {
	case o.code == 0 && o.unresponsive:
		t.Unanswered++
	case o.code == 0:
		t.Closed++
	case o.code == http.StatusOK:
		t.Served++
		t.took = append(t.took, o.took)
	case o.code == http.StatusServiceUnavailable || o.code == http.StatusTooManyRequests:
		t.Refused++
	default:
		t.Failed++
	}
	if o.text != "" {
		if t.Reasons == nil {
			t.Reasons = map[string]int{}
		}
		t.Reasons[o.text]++
	}
}

func (t *tally) result() Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	slices.Sort(t.took)
	if n := len(t.took); n > 0 {
		t.P50, t.P99, t.Worst = t.took[n/2], t.took[n*99/100], t.took[n-1]
	}
	return t.Tally
}

// The classes that the floods use.
const settings = `{"tick_ms":5,"discovery":"subscribe","locality":"a","classes":[
 {"name":"cek-saldo","effect":"free","aim_ms":400,"deadline_ms":1000,"late_worth":0.5,"worth":1},
 {"name":"tukar","effect":"guarded","group":"all","window_ms":12000,"aim_ms":4000,"deadline_ms":5000,"late_worth":0.5,"worth":2},
 {"name":"isi-ulang","effect":"guarded","group":"all","window_ms":12000,"aim_ms":400,"deadline_ms":1000,"late_worth":0.5,"worth":1},
 {"name":"sekali","effect":"single_shot","aim_ms":4000,"deadline_ms":5000,"late_worth":0.5,"worth":2}],
 "contract":{"ask_every_ms":10000,"cold_from":0.31,"cold_ms":9000,"drain_grace_ms":500,"grace_to_answer_ms":20},
 "limits":{"send_cap":6,"may_cancel":true,"parallel_tries":false,"retry_after":true,"max_retry_after_ms":3000,
 "conn_idle_ms":30000,"dial_timeout_ms":120}}`

// rig is a sidecar with its surroundings.
type rig struct {
	opts      Options
	discovery *fakebackend.Discovery
	nodes     []*fakebackend.Node // the last one serves the small requests quickly
	entries   []fakebackend.Entry
	config    string
	operator  string // text of the operator's file; "": none
	own       string // its path
	proc      *exec.Cmd
	ended     chan struct{}
	log       string
	addr      string
	closers   []func()
}

const nodes = 160

func newRig(opts Options, c Case) (r *rig, err error) {
	r = &rig{opts: opts, operator: c.operator, ended: make(chan struct{})}
	defer func() {
		if err != nil {
			r.close()
		}
	}()
	for i := range nodes {
		n, err := fakebackend.NewNode(0, c.answer)
		if err != nil {
			return r, err
		}
		n.Slow.Store(int64(opts.Delay))
		r.nodes = append(r.nodes, n)
		r.closers = append(r.closers, n.Close)
		r.entries = append(r.entries, fakebackend.Ready(fmt.Sprint("n", i), n.Addr()))
	}
	for i := range c.deaf {
		addr, stop, err := fakebackend.DeafNode()
		if err != nil {
			return r, err
		}
		r.closers = append(r.closers, stop)
		r.entries = append(r.entries, fakebackend.Ready(fmt.Sprint("deaf", i), addr))
	}
	if r.discovery, err = fakebackend.NewDiscovery(r.entries...); err != nil {
		return r, err
	}
	r.closers = append(r.closers, r.discovery.Close)
	return r, r.start()
}

// start runs the sidecar until it is ready.
func (r *rig) start() error {
	r.config = filepath.Join(r.opts.Dir, "config.json")
	text := fmt.Sprintf(`{"name":"flood","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
		"limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":{"generation":0,"instances":[]},"settings":%s}`,
		r.discovery.Addr(), r.opts.MemoryMB, r.opts.Sockets, settings)
	if err := os.WriteFile(r.config, []byte(text), 0o600); err != nil {
		return err
	}
	r.log = filepath.Join(r.opts.Dir, "log")
	out, err := os.Create(r.log)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // the sidecar has its own copy
	r.own = filepath.Join(r.opts.Dir, "operator.toml")
	r.proc = exec.Command(r.opts.Binary)
	r.proc.Env = append(os.Environ(), "LB_CONFIG="+r.config)
	if r.operator != "" {
		if err := os.WriteFile(r.own, []byte(r.operator+fileEnd), 0o600); err != nil {
			return err
		}
		r.proc.Env = append(r.proc.Env, "FIELDRELAY_OPERATOR="+r.own)
	}
	r.proc.Stderr = out
	if err := r.proc.Start(); err != nil {
		return err
	}
	go func() {
		_ = r.proc.Wait() // it is killed, as a rule
		close(r.ended)
	}()
	for range 500 {
		if r.addr == "" {
			r.addr = r.listening()
		}
		if r.addr != "" {
			if resp, err := http.Get("http://" + r.addr + "/ready"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					http.DefaultClient.CloseIdleConnections()
					return nil
				}
			}
		}
		select {
		case <-r.ended:
			text, _ := os.ReadFile(r.log)
			return fmt.Errorf("the sidecar ended at its start: %s", text)
		case <-time.After(20 * time.Millisecond):
		}
	}
	return errors.New("the sidecar did not get ready")
}

// entry is what is read of the sidecar's log.
type entry struct {
	Listen, Message string
	Jobs, Answers   int64
	Pid             int
}

// logged finds the last line of a message in the log.
func (r *rig) logged(message string) (found entry, ok bool) {
	r.lines(func(e entry) {
		if e.Message == message {
			found, ok = e, true
		}
	})
	return found, ok
}

// listening tells where the sidecar serves.
func (r *rig) listening() string {
	e, _ := r.logged("serving")
	return e.Listen
}

// left tells how many bytes jobs and answers held in the end.
func (r *rig) left() int64 {
	e, ok := r.logged("ended")
	if !ok {
		return -1
	}
	return e.Jobs + e.Answers
}

func (r *rig) signal(s syscall.Signal) { _ = syscall.Kill(r.pid(), s) } // it may have ended

func (r *rig) close() {
	if r.proc != nil && r.proc.Process != nil {
		_ = r.proc.Process.Kill()
		<-r.ended
		if last := r.pid(); last != r.proc.Process.Pid && !gone(last) {
			_ = syscall.Kill(last, syscall.SIGKILL)
		}
	}
	for _, f := range r.closers {
		f()
	}
}

// memory reads a figure of the sidecar's status in kB, such as VmHWM; 0 if it has ended.
func (r *rig) memory(key string) int {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", r.pid()))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if name, value, ok := strings.Cut(lines.Text(), ":"); ok && name == key {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb
		}
	}
	return 0
}

// Run plays one case.
func Run(c Case, opts Options) (Result, error) {
	res := Result{Case: c.Name, MemoryMB: opts.MemoryMB}
	r, err := newRig(opts, c)
	if err != nil {
		return res, err
	}
	defer r.close()

	var flood, small, calm tally
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		r.trickle(opts.Rate, stop, &small)
		close(done)
	}()
	time.Sleep(300 * time.Millisecond) // the small requests are under way
	c.play(r, &flood)
	close(stop)
	<-done
	res.PeakKB = r.memory("VmHWM")
	if !c.ends {
		time.Sleep(opts.RecoveryTime)
		res.AfterKB = r.memory("VmRSS")
		stop = make(chan struct{})
		time.AfterFunc(opts.Calm, func() { close(stop) })
		r.trickle(opts.Rate, stop, &calm)
		res.PeakKB = max(res.PeakKB, r.memory("VmHWM"))
		r.signal(syscall.SIGTERM)
	}
	last := r.pid()
	for end := time.Now().Add(15 * time.Second); !gone(last); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			res.Exit = "did not end after SIGTERM"
			return res, nil
		}
	}
	<-r.ended
	if state := r.proc.ProcessState; !state.Success() {
		res.Exit = state.String()
	}
	res.CPU = r.proc.ProcessState.UserTime() + r.proc.ProcessState.SystemTime()
	res.Replaced, res.Reloaded, res.Kept = r.count("replaced"), r.count("configuration reloaded"), r.count("configuration not reloaded")
	res.Left = r.left()
	for _, n := range r.nodes {
		res.Jobs += n.Jobs.Load()
	}
	res.Flood, res.Small, res.Calm = flood.result(), small.result(), calm.result()
	return res, nil
}
