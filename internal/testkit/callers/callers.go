// Package callers simulates applications that call the coordination service, and records the history of their calls for package
// history. All their decisions are drawn from the random number generator that they are given.
package callers

import (
	"fmt"
	"math/rand/v2"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/testkit/history"
)

// Timing and choices of the callers.
const (
	// Timeout is the time that a caller waits for an answer.
	Timeout = time.Second
	// FinalCallDelay is the time between the last regular calls and the final calls, which read the state that was kept.
	FinalCallDelay = Timeout
	// putAgainFor is the time for which a put without a clear answer is sent again.
	putAgainFor = 3 * time.Second
	// turns is the exclusive upper bound of the turn with which a caller starts.
	turns = 16
	// freshKeyInterval is the time for which a fresh key is in use. Its group is one that was never written before.
	freshKeyInterval = 500 * time.Millisecond
)

// Names of the locks, counters, keys and groups that callers use.
var (
	lockNames    = []string{"l1", "l2"}
	counterNames = []string{"n1", "n2"}
	keyNames     = []string{"g.a", "g.b", "h.a", "h.b"}
	groupNames   = []string{"g.", "h."}
)

// Environment is the simulated clock and network of the callers.
type Environment interface {
	// Now returns the current time.
	Now() time.Duration
	// After runs an action after a delay.
	After(delay time.Duration, action func())
	// Submit sends a call to the machine that turn selects, and passes its result to answer. The result is nil if the machine is known
	// not to answer; answer may never be called. A call that has not arrived when it is canceled never arrives.
	Submit(turn int, call *pb.CoordinationCall, answer func(*pb.CoordinationResult)) (cancel func())
}

// Callers are the simulated applications of a run.
type Callers struct {
	env      Environment
	random   *rand.Rand
	stopped  bool
	watchers []*watcher
	calls    []*history.Call
}

// Start starts callers of all kinds.
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

// Stop keeps the callers from beginning regular calls.
func (c *Callers) Stop() { c.stopped = true }

// History returns all calls so far.
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
