package controlsim

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/control"
)

// Times of a core that is cut into two halves.
const (
	// halvesFor is how long the halves are cut from each other.
	halvesFor = 8 * time.Second
	// flapPeriod is how long a disk refuses, or accepts, while machines are driven out of the chain.
	flapPeriod = 700 * time.Millisecond
	// longestFlapping is how long that goes on.
	longestFlapping = 60 * time.Second
	// lastWord is how long after a cut a chain that is cut off as a whole may acknowledge: its origins notice the
	// cut after the silence limit, and what they took by then has the limit of an order.
	lastWord = control.FailureTimeout + 900*time.Millisecond + control.TickInterval
	// halvesSeeds is the number of runs.
	halvesSeeds = 40
)

// halvesRun is a world of five machines whose whole chain is cut off from the majority.
type halvesRun struct {
	*world
	chain, rest []*host
	lastAck     time.Duration // after the cut
	acked       int           // after the cut
	answered    int           // reads by machines of the majority, before the cut was noticed and after the join
	lacking     time.Duration // longest time for which the majority lacked what was acknowledged
}

// shortChain drives machines out of the chain, by disks that refuse again and again, until it has two members and the
// three others are well. It reports whether that was reached.
func (r *halvesRun) shortChain() bool {
	var flap func()
	ended, turn := false, 0
	writer := r.addOperator(1) // a disk that nothing is written to refuses nothing
	flap = func() {
		if ended {
			return
		}
		victims := r.hosts[2:]
		for index, host := range victims {
			host.setFull(index == turn%len(victims))
		}
		turn++
		r.after(flapPeriod, flap)
	}
	flap()
	reached := r.runUntil(longestFlapping, func() bool {
		view := r.newestView()
		return len(view.GetChain()) == 2 && r.hosts[0].machine.View().GetNumber() == view.GetNumber()
	})
	ended, writer.ended = true, true
	return reached
}

// cutHalves cuts the chain off from the others, both ways.
func (r *halvesRun) cutHalves(blocked bool) {
	for _, member := range r.chain {
		for _, other := range r.rest {
			r.network.cut(member, other, false, blocked)
		}
	}
}

// write has one order after the other sent to a member of the chain, each on the newest one.
func (r *halvesRun) write(cutAt time.Duration) {
	writer := &operator{world: r.world, name: 1, ended: true, only: r.chain[0]}
	before := r.checker.acknowledged
	var next func()
	next = func() {
		if r.now >= cutAt+halvesFor {
			return
		}
		writer.count++
		order := &configuration{
			key:        "/1-" + time.Duration(r.now).String() + "/",
			base:       r.checker.newestAcked,
			generation: r.checker.newestAcked + 1,
		}
		writer.ask(order.order(), func(result *pb.OrderResult) {
			if result.GetStatus() == http.StatusOK {
				r.checker.acknowledge(order)
				r.lastAck = r.now - cutAt
				r.acked = r.checker.acknowledged - before
			}
			r.after(20*time.Millisecond, next)
		})
	}
	next()
}

// read has the machines of the majority read all the while.
func (r *halvesRun) read(until time.Duration) {
	for _, host := range r.rest {
		reader := &operator{world: r.world, name: 2, ended: true, only: host}
		var next func()
		next = func() {
			if r.now >= until {
				return
			}
			least := r.checker.newestAcked
			reader.ask(&pb.Order{Kind: pb.Order_KIND_READ}, func(result *pb.OrderResult) {
				if result.GetStatus() == http.StatusOK {
					r.answered++
					r.checker.read(least, generationOf(result.GetBody()))
				}
				r.after(30*time.Millisecond, next)
			})
		}
		next()
	}
}

// playHalves plays one cut; nil if the chain never came to lie in the smaller half.
func playHalves(t *testing.T, seed uint64) *halvesRun {
	r := &halvesRun{world: newCalmWorld(t, plan{
		seed: seed, machines: 5, zones: 3, calm: true, required: usualRequirement,
	})}
	if !r.shortChain() {
		return nil
	}
	for _, host := range r.hosts {
		host.setFull(false)
	}
	r.run(400 * time.Millisecond) // the last disk accepts again, and its machine votes
	r.chain = r.hostsOf(r.newestView().GetChain())
	if len(r.chain) != 2 {
		return nil
	}
	for _, host := range r.hosts {
		if !slices.Contains(r.chain, host) {
			r.rest = append(r.rest, host)
		}
	}
	authority := r.watchAuthority()
	cutAt := r.now
	r.cutHalves(true)
	r.write(cutAt)
	r.read(cutAt + halvesFor + 2*time.Second)
	r.run(halvesFor)
	for _, host := range r.rest {
		if host.machine.Committed().Generation() < r.checker.newestAcked {
			r.lacking = halvesFor
		}
	}
	r.cutHalves(false)
	r.run(3 * time.Second)
	r.checkLiveness()
	r.checker.finish()
	require.Positive(t, authority.claims)
	return r
}

// A chain of two is cut off from the three others. It acknowledges for a moment; whatever a machine of the majority
// answers to a read must not be older.
func TestAChainThatIsCutOffAsAWholeShowsNothingOlder(t *testing.T) {
	played, acked, answered := 0, 0, 0
	var lastAck, lacking time.Duration
	for seed := range uint64(halvesSeeds) {
		r := playHalves(t, seed)
		if r == nil {
			continue
		}
		played++
		acked += r.acked
		answered += r.answered
		lastAck, lacking = max(lastAck, r.lastAck), max(lacking, r.lacking)
		require.Empty(t, r.checker.failures, "seed %d", seed)
		require.LessOrEqual(t, r.lastAck, lastWord, "seed %d", seed)
	}
	t.Logf("%d of %d runs had such a cut: %d orders acknowledged behind it, the last %v after it; the majority lacked them for %v; %d reads there were answered",
		played, halvesSeeds, acked, lastAck, lacking, answered)
	require.Positive(t, played)
	require.Positive(t, acked)
	require.Positive(t, answered)
}
