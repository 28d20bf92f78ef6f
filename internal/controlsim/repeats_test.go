package controlsim

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Eight operators send configurations and amendments in quick succession, often two of them on one version and
// under one number, and send again what was acknowledged at any time before. CONTROLSIM_REPEAT_SEEDS sets the
// number of runs, CONTROLSIM_REPEAT_FIRST the first seed, CONTROLSIM_REPEAT_SECONDS the length of a storm.
const (
	defaultRepeatSeeds = 12
	repeatOperators    = 8
	repeatStormSeconds = 90
	// finalRepeats is the number of acknowledged orders that are sent again after the storm.
	finalRepeats = 200
	// finalRepeatsWithin is the limit for their answers.
	finalRepeatsWithin = 60 * time.Second
)

// repeatWorld is a world with operators that repeat orders.
type repeatWorld struct {
	*world
	storm        bool
	acknowledged []*configuration // each once, in the order of their first acknowledgement
	known        map[string]bool  // keys of those
	refused      []*configuration
	underWay     map[string]*configuration
	repeats      int     // answered 200
	unclear      int     // repeats without a clear answer
	loseAnswer   float64 // chance that the caller does not get an answer
}

func repeatPlan(seed uint64) plan {
	chosen := planOf(seed)
	chosen.restless = []float64{0, 0.02, 0.1}[seed%3]
	return chosen
}

func newRepeatWorld(plan plan) *repeatWorld {
	r := &repeatWorld{
		world:    newWorld(plan),
		storm:    true,
		known:    make(map[string]bool),
		underWay: make(map[string]*configuration),
	}
	losses := answerLosses()
	loss := losses[plan.seed%uint64(len(losses))]
	r.loseAnswer = loss.caller
	if loss.lost != nil {
		r.network.loses = func(message *pb.Message) bool { return loss.lost(message) && r.chance(answerLossChance) }
	}
	for name := 1; name <= repeatOperators; name++ {
		operator := &repeatOperator{operator: operator{world: r.world, name: name}, all: r}
		r.after(r.between(500*time.Millisecond, 1500*time.Millisecond), operator.next)
	}
	return r
}

// playRepeats runs a world through a storm and returns it with the checker's findings.
func playRepeats(plan plan) *repeatWorld {
	r := newRepeatWorld(plan)
	storm := r.addTrouble()
	r.run(time.Duration(number("CONTROLSIM_REPEAT_SECONDS", repeatStormSeconds)) * time.Second)
	storm.heal()
	r.plan.restless = 0
	r.storm = false
	r.network.loses = nil
	r.loseAnswer = 0
	r.checkLiveness()
	r.checkFinalRepeats()
	r.checker.finish()
	return r
}

// checkFinalRepeats sends acknowledged orders again when all is well: an answer of 200 must come in the end. The
// oldest are among them.
func (r *repeatWorld) checkFinalRepeats() {
	asked := r.acknowledged
	if len(asked) > finalRepeats {
		asked = append([]*configuration(nil), asked[:finalRepeats/2]...)
		for range finalRepeats / 2 {
			asked = append(asked, r.anyAcknowledged())
		}
	}
	left := len(asked)
	for index, order := range asked {
		sender := &repeatOperator{operator: operator{world: r.world, name: 9, ended: true}, all: r}
		r.after(time.Duration(index)*10*time.Millisecond, func() { sender.insistOn(order, &left) })
	}
	if !r.runUntil(finalRepeatsWithin, func() bool { return left == 0 }) {
		r.checker.fail("%d acknowledged orders are not acknowledged again in calm times", left)
	}
}

func (r *repeatWorld) anyAcknowledged() *configuration {
	return r.acknowledged[r.random.IntN(len(r.acknowledged))]
}

func (r *repeatWorld) noteAcknowledged(order *configuration) {
	r.checker.acknowledge(order)
	delete(r.underWay, order.key)
	if !r.known[order.key] {
		r.known[order.key] = true
		r.acknowledged = append(r.acknowledged, order)
	}
}

// anyUnderWay is an order that some operator has sent and has no clear answer to.
func (r *repeatWorld) anyUnderWay() *configuration {
	keys := slices.Sorted(maps.Keys(r.underWay))
	return r.underWay[keys[r.random.IntN(len(keys))]]
}

// repeatOperator is an operator that also sends again what anyone has sent.
type repeatOperator struct {
	operator
	all *repeatWorld
}

func (o *repeatOperator) next() {
	if !o.all.storm {
		return
	}
	switch draw := o.world.random.IntN(20); {
	case draw < 9:
		o.sendNew()
	case draw < 14 && len(o.all.acknowledged) > 0:
		o.repeat(o.all.anyAcknowledged())
	case draw < 16 && len(o.all.underWay) > 0:
		o.send(o.all.anyUnderWay(), 3)
	case draw < 17 && len(o.all.refused) > 0: // it must not be taken now
		o.send(o.all.refused[o.world.random.IntN(len(o.all.refused))], 1)
	default:
		o.read()
	}
}

func (o *repeatOperator) pause() {
	o.world.after(o.world.between(5*time.Millisecond, 60*time.Millisecond), o.next)
}

// sendNew sends a new order. Two operators on one version mostly choose the same number for it.
func (o *repeatOperator) sendNew() {
	o.count++
	order := &configuration{
		key:        fmt.Sprintf("/%d-%d/", o.name, o.count),
		base:       o.base,
		generation: o.base + 1,
		invalid:    o.world.chance(0.05),
		amend:      o.base > 0 && o.world.chance(0.5),
	}
	if o.world.chance(0.1) {
		order.generation += uint64(o.world.random.IntN(3))
	}
	o.all.underWay[order.key] = order
	if o.world.chance(0.1) { // through two machines at once
		o.ask(order.order(), func(result *pb.OrderResult) { o.settle(order, result) })
	}
	o.send(order, 8)
}

// settle notes a clear answer and reports whether it was one.
func (o *repeatOperator) settle(order *configuration, result *pb.OrderResult) bool {
	switch status := result.GetStatus(); {
	case status == http.StatusOK:
		o.all.noteAcknowledged(order)
		o.base = max(o.base, order.generation)
		return true
	case status >= 400 && status < 500:
		if o.all.known[order.key] {
			o.world.checker.fail("%s was acknowledged, and refused when sent again: %d", order.key, status)
		}
		o.world.checker.refuse(order, status)
		o.all.refused = append(o.all.refused, order)
		delete(o.all.underWay, order.key)
		return true
	default:
		return false
	}
}

// send sends an order until there is a clear answer, to another machine each time.
func (o *repeatOperator) send(order *configuration, tries int) {
	if tries == 0 {
		delete(o.all.underWay, order.key)
		o.read()
		return
	}
	o.ask(order.order(), func(result *pb.OrderResult) {
		if !o.settle(order, result) {
			wait := o.world.between(5*time.Millisecond, 300*time.Millisecond)
			o.world.after(wait, func() { o.send(order, tries-1) })
			return
		}
		if result.GetStatus() != http.StatusOK {
			o.read()
			return
		}
		o.pause()
	})
}

// repeat sends an acknowledged order once more: the answer is 200 again, or there is no clear one.
func (o *repeatOperator) repeat(order *configuration) {
	o.ask(order.order(), func(result *pb.OrderResult) {
		if o.settle(order, result) {
			o.all.repeats++
		} else {
			o.all.unclear++
		}
		o.pause()
	})
}

// insistOn sends an acknowledged order until it is acknowledged again, and counts left down then.
func (o *repeatOperator) insistOn(order *configuration, left *int) {
	o.ask(order.order(), func(result *pb.OrderResult) {
		if o.settle(order, result) {
			*left--
			return
		}
		o.world.after(100*time.Millisecond, func() { o.insistOn(order, left) })
	})
}

func (o *repeatOperator) read() {
	least := o.world.checker.newestAcked
	o.ask(&pb.Order{Kind: pb.Order_KIND_READ}, func(result *pb.OrderResult) {
		if result.GetStatus() == http.StatusOK {
			generation := generationOf(result.GetBody())
			o.world.checker.read(least, generation)
			o.base = max(o.base, generation)
		}
		o.pause()
	})
}

// ask sends an order to any machine; the answer may be lost on its last way.
func (o *repeatOperator) ask(order *pb.Order, done func(*pb.OrderResult)) {
	o.operator.ask(order, func(result *pb.OrderResult) {
		if o.world.chance(o.all.loseAnswer) {
			result = &pb.OrderResult{Status: http.StatusServiceUnavailable}
		}
		done(result)
	})
}

func TestAcknowledgedOrdersAreNeverRefusedLater(t *testing.T) {
	first := number("CONTROLSIM_REPEAT_FIRST", 1)
	count := number("CONTROLSIM_REPEAT_SEEDS", defaultRepeatSeeds)
	var total figures
	t.Cleanup(func() {
		t.Logf("%d runs: %d orders acknowledged, the most in a run %d, %d again, %d of these without a clear answer, %d refused, %d views, %d failed",
			count, total.acknowledged.Load(), total.most.Load(), total.repeats.Load(), total.unclear.Load(),
			total.refused.Load(), total.views.Load(), total.failed.Load())
		require.Positive(t, total.repeats.Load())
	})
	total.each(t, first, count, func(seed uint64) *world {
		r := playRepeats(repeatPlan(seed))
		total.addRepeats(r)
		return r.world
	})
}

func (f *figures) addRepeats(r *repeatWorld) {
	f.acknowledged.Add(int64(len(r.acknowledged)))
	f.refused.Add(int64(r.checker.refusals))
	f.views.Add(int64(len(r.checker.views)))
	f.repeats.Add(int64(r.repeats))
	f.unclear.Add(int64(r.unclear))
	for most := f.most.Load(); int64(len(r.acknowledged)) > most; most = f.most.Load() {
		if f.most.CompareAndSwap(most, int64(len(r.acknowledged))) {
			return
		}
	}
}
