// Package callers plays the applications that call the coordination service in a simulated world, and records the history
// of their calls for package history. Everything that they do is drawn from the random numbers that they are given.
package callers

import (
	"fmt"
	"math/rand/v2"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/testkit/history"
)

// How callers behave.
const (
	// Timeout is for how long a caller waits for an answer.
	Timeout = time.Second
	// FinalCallDelay is between the last calls and those by which callers find out what was kept.
	FinalCallDelay = Timeout
	// putAgainFor is for how long a put without a clear answer is sent again.
	putAgainFor = 3 * time.Second
	// turns bounds the machine that a caller asks first.
	turns = 16
	// freshKeyInterval is how long a fresh key is in use: its group is one that was never written before.
	freshKeyInterval = 500 * time.Millisecond
)

// Names that callers use.
var (
	lockNames    = []string{"l1", "l2"}
	counterNames = []string{"n1", "n2"}
	keyNames     = []string{"g.a", "g.b", "h.a", "h.b"}
	groupNames   = []string{"g.", "h."}
)

// Environment is what the callers live in.
type Environment interface {
	// Now is the present time.
	Now() time.Duration
	// After has something happen later.
	After(delay time.Duration, action func())
	// Submit carries a call to the machine whose turn it is, and its result back. The result is nil where a machine is known
	// not to answer; there may be none at all. Once canceled, a call that has not arrived never arrives.
	Submit(turn int, call *pb.CoordinationCall, answer func(*pb.CoordinationResult)) (cancel func())
}

// Callers are the applications of a run.
type Callers struct {
	env      Environment
	random   *rand.Rand
	stopped  bool
	watchers []*watcher
	calls    []*history.Call
}

// Start has callers of all kinds begin.
func Start(world Environment, random *rand.Rand) *Callers {
	all := &Callers{env: world, random: random}
	for number := range 4 {
		(&locker{caller: all.newCaller(fmt.Sprintf("locker%d", number))}).rest()
	}
	for number := range 2 {
		all.newCaller(fmt.Sprintf("numberer%d", number)).takeNumbers()
	}
	for number := range 3 {
		writer := &putter{caller: all.newCaller(fmt.Sprintf("putter%d", number)), known: make(map[string]uint64)}
		writer.rest()
	}
	for number := range 2 {
		all.newCaller(fmt.Sprintf("reader%d", number)).readKeys()
	}
	for number := range 2 {
		watching := &watcher{caller: all.newCaller(fmt.Sprintf("watcher%d", number)), group: groupNames[number]}
		all.watchers = append(all.watchers, watching)
		watching.watch()
	}
	return all
}

// Stop has no caller begin another call.
func (c *Callers) Stop() { c.stopped = true }

// History is all calls so far.
func (c *Callers) History() []history.Call {
	calls := make([]history.Call, 0, len(c.calls))
	for _, call := range c.calls {
		calls = append(calls, *call)
	}
	return calls
}

func (c *Callers) chance(probability float64) bool { return c.random.Float64() < probability }

func (c *Callers) between(least, most time.Duration) time.Duration {
	return least + time.Duration(c.random.Float64()*float64(most-least))
}

func pick[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }
