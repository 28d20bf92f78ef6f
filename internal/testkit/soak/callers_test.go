package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"fieldrelay/internal/region/settings"
	callhistory "fieldrelay/internal/testkit/history"
)

const (
	callerTimeout = time.Second // of silence, then a call goes to another machine
	shortestPace  = 10 * time.Millisecond
	longestPace   = 300 * time.Millisecond // between two calls of a caller
	// finalSpan is for how long the last calls are repeated: the longest hold and some time to free the lock pass.
	finalSpan  = 4 * time.Second
	finalPause = 500 * time.Millisecond
)

// Names that callers use.
var (
	lockNames    = []string{"l1", "l2", "l3"}
	counterNames = []string{"n1", "n2"}
	keyNames     = []string{"g.a", "g.b", "h.a", "h.b"}
	groupNames   = []string{"g.", "h."}
)

// applications call the control machines for locks, numbers, keys and watches.
type applications struct {
	world       *world
	seed        uint64
	largeValues bool
	started     int // callers
	watchers    []*watcher

	mutex   sync.Mutex
	waiting []chan struct{} // closed by the next acknowledgement
}

func newApplications(w *world, asked runPlan) *applications {
	return &applications{world: w, seed: asked.seed, largeValues: asked.largeValues}
}

// work has all callers call until ctx ends.
func (a *applications) work(ctx context.Context) {
	var group sync.WaitGroup
	for number := range 4 {
		group.Go(func() { (&locker{caller: a.newCaller(fmt.Sprintf("locker%d", number))}).work(ctx) })
	}
	for number := range 2 {
		group.Go(func() { a.newCaller(fmt.Sprintf("numberer%d", number)).takeNumbers(ctx) })
	}
	for number := range 3 {
		writer := &putter{caller: a.newCaller(fmt.Sprintf("putter%d", number)), known: make(map[string]uint64)}
		group.Go(func() { writer.work(ctx) })
	}
	for number := range 2 {
		group.Go(func() { a.newCaller(fmt.Sprintf("reader%d", number)).readKeys(ctx) })
	}
	for number := range 2 * len(groupNames) {
		watching := &watcher{caller: a.newCaller(fmt.Sprintf("watcher%d", number)), group: groupNames[number%len(groupNames)]}
		a.watchers = append(a.watchers, watching)
		group.Go(func() { watching.work(ctx) })
	}
	group.Wait()
}

// finish repeats the last calls, by which callers find out what was kept.
func (a *applications) finish(ctx context.Context) {
	var last []callhistory.Call
	for _, name := range lockNames {
		last = append(last, callhistory.Call{Kind: callhistory.Acquire, Name: name, Hold: time.Second})
	}
	for _, name := range counterNames {
		last = append(last, callhistory.Call{Kind: callhistory.Number, Name: name})
	}
	for _, name := range a.keysPut() {
		last = append(last, callhistory.Call{Kind: callhistory.Read, Name: name})
	}
	for _, watching := range a.watchers {
		last = append(last, callhistory.Call{Kind: callhistory.Watch, Name: watching.group, Caller: watching.name, After: watching.after()})
	}
	ending, stop := context.WithTimeout(ctx, a.world.plan.Controls[0].Bounds.HealWithin())
	defer stop()
	var group sync.WaitGroup
	for _, wanted := range last {
		wanted.Final = true
		own := a.newCaller("final " + wanted.Name)
		if wanted.Caller != "" {
			own.name = wanted.Caller
		}
		group.Go(func() { own.repeat(ending, wanted) })
	}
	group.Wait()
}

// keysPut are the keys that puts were sent to.
func (a *applications) keysPut() []string {
	var names []string
	a.world.history.do(func() {
		for _, call := range a.world.history.calls {
			if call.Kind == callhistory.Put {
				names = append(names, call.Name)
			}
		}
	})
	slices.Sort(names)
	return slices.Compact(names)
}

// acknowledgement is closed when the next change is acknowledged.
func (a *applications) acknowledgement() <-chan struct{} {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	next := make(chan struct{})
	a.waiting = append(a.waiting, next)
	return next
}

func (a *applications) tellAcknowledgement() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, one := range a.waiting {
		close(one)
	}
	a.waiting = nil
}

// caller makes one call at a time.
type caller struct {
	applications *applications
	name         string
	random       *rand.Rand
	pace         time.Duration
	turn         int // which machine it asks
	client       *http.Client
}

func (a *applications) newCaller(name string) *caller {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.started++
	random := rand.New(rand.NewPCG(a.seed, 1000+uint64(a.started)))
	own := &caller{applications: a, name: name, random: random, turn: random.IntN(len(a.world.plan.Controls))}
	own.pace = own.between(shortestPace, longestPace)
	own.client = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
	return own
}

func (c *caller) between(least, most time.Duration) time.Duration {
	return least + time.Duration(c.random.Int64N(int64(most-least)))
}

func (c *caller) chance(percent int) bool { return c.random.IntN(100) < percent }

func (c *caller) pick(names []string) string { return names[c.random.IntN(len(names))] }

func (c *caller) now() moment { return c.applications.world.history.now() }

// pause waits up to some time; false: ctx has ended.
func (c *caller) pause(ctx context.Context, most time.Duration) bool {
	return c.applications.world.wait(ctx, c.between(0, most+1))
}

// call makes a call and returns what came of it. After a failure, a refusal or silence the next call goes to another machine.
func (c *caller) call(wanted callhistory.Call) callhistory.Call {
	wanted.Caller = c.name
	controls := c.applications.world.plan.Controls
	status, body := c.exchange(&wanted, controls[c.turn%len(controls)])
	if status == 0 || status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		c.turn++
	}
	history := c.applications.world.history
	if err := takeAnswer(&wanted, status, body); err != nil {
		history.fail("%s: %v: %d %s", wanted, err, status, body)
	}
	history.do(func() { history.calls = append(history.calls, wanted) })
	isChange := wanted.Kind != callhistory.Read && wanted.Kind != callhistory.Watch
	if isChange && wanted.Outcome == callhistory.OK {
		c.applications.tellAcknowledgement()
	}
	return wanted
}

// exchange sends a call and reads the answer; the status is 0 without one. A call isn't cut short by the end of a run.
func (c *caller) exchange(call *callhistory.Call, at *settings.Settings) (status int, body []byte) {
	limit := callerTimeout
	if call.Kind == callhistory.Watch {
		limit += watchWait
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := callRequest(ctx, call, at.Binds.Control)
	if err != nil {
		c.applications.world.history.fail("%v", err)
		return 0, nil
	}
	call.Sent = c.now()
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(response.Body)
	call.Answered = c.now()
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, body
}

// repeat makes a call again and again for finalSpan, and on until it was answered or ctx ends.
func (c *caller) repeat(ctx context.Context, wanted callhistory.Call) {
	defer c.client.CloseIdleConnections()
	isAnswered := false
	for end := c.now() + finalSpan; c.now() < end || !isAnswered; {
		call := c.call(wanted)
		isAnswered = isAnswered || isClear(call) && call.Outcome != callhistory.Held
		if !c.pause(ctx, finalPause) {
			return
		}
	}
}

// isClear reports whether a call had a clear answer other than a refusal.
func isClear(call callhistory.Call) bool {
	return call.Outcome != callhistory.Unclear && call.Outcome != callhistory.Refused
}

func (c *caller) takeNumbers(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for c.pause(ctx, c.pace) {
		c.call(callhistory.Call{Kind: callhistory.Number, Name: c.pick(counterNames)})
	}
}

func (c *caller) readKeys(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for c.pause(ctx, c.pace) {
		c.call(callhistory.Call{Kind: callhistory.Read, Name: c.someKey()})
	}
}

// freshKeyInterval is how long a fresh key is in use: its group is one that was never written before.
const freshKeyInterval = 2 * time.Second

// someKey is one of the keys that are used all the time, or the fresh one.
func (c *caller) someKey() string {
	if c.chance(20) {
		return fmt.Sprintf("fresh%d.a", c.now()/freshKeyInterval)
	}
	return c.pick(keyNames)
}

// writeCalls keeps all calls beside the report.
func (w *world) writeCalls() error {
	text, err := json.MarshalIndent(w.history.calls, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(w.folder, "calls.json"), text, 0o600)
}
