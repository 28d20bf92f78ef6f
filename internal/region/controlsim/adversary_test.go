package controlsim

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/chain"
)

const (
	// adversarySeeds is the number of runs of each deployment, for the default number of seeds; with another number of
	// those it is in proportion.
	adversarySeeds = 8
	// adversaryDuration is how long a run lasts.
	adversaryDuration = 120 * time.Second
	// probeOrderInterval is the time between two orders that are sent to find out when orders are acknowledged.
	probeOrderInterval = 50 * time.Millisecond
	// redundancyCheckInterval is the time between two checks of the redundancy.
	redundancyCheckInterval = 10 * time.Millisecond
)

// deployment is a kind of site with what has to be borne there at once.
type deployment struct {
	name                     string
	machines, zones, regions int
	requirement              chain.Requirement
	lostPeriod               time.Duration // a machine counts as lost for so long after its start
	losses                   []lossKind
}

// lossKind is which machines may be lost at once.
type lossKind int

const (
	oneMachine lossKind = iota
	twoMachines
	oneZone
	oneRegion
)

var deployments = []deployment{
	{
		name: "3 in 3 zones", machines: 3, zones: 3, lostPeriod: 4 * time.Second,
		requirement: chain.Requirement{Replicas: 2, Zones: 2, Regions: 1}, losses: []lossKind{oneMachine, oneZone},
	},
	{
		name: "4 in 3 zones", machines: 4, zones: 3, lostPeriod: 4 * time.Second,
		requirement: chain.Requirement{Replicas: 2, Zones: 1, Regions: 1}, losses: []lossKind{oneMachine},
	},
	{
		name: "5 in 3 zones", machines: 5, zones: 3, lostPeriod: 4 * time.Second,
		requirement: chain.Requirement{Replicas: 2, Zones: 2, Regions: 1}, losses: []lossKind{oneMachine, oneZone},
	},
	{
		name: "5 in 3 zones, two machines", machines: 5, zones: 3, lostPeriod: 4 * time.Second,
		requirement: chain.Requirement{Replicas: 3, Zones: 2, Regions: 1}, losses: []lossKind{twoMachines, oneZone},
	},
	{
		name: "5 in 5 zones in 3 regions", machines: 5, zones: 5, regions: 3, lostPeriod: 4 * time.Second,
		requirement: chain.Requirement{Replicas: 2, Zones: 2, Regions: 2}, losses: []lossKind{oneMachine, oneZone, oneRegion},
	},
	{
		name: "9 in 6 zones", machines: 9, zones: 6, lostPeriod: 6 * time.Second,
		requirement: chain.Requirement{Replicas: 3, Zones: 2, Regions: 1}, losses: []lossKind{twoMachines, oneZone},
	},
}

// adversary takes machines for good as soon as the fault budget is free again, those that hurt most.
type adversary struct {
	world        *world
	deployment   deployment
	ended        bool
	budgetFreeAt time.Duration // when the budget is free again
	losses       int
	measurements *lossMeasurements
}

// lossMeasurements are what losses were measured to take: until the chain is whole and enough for acknowledgements, since
// the loss or, where all others lost power, since the last of those was back; until an order was acknowledged, since
// the same; until the voters are back to strength, too, since the last machine was back or its successor started.
type lossMeasurements struct {
	repairs, acknowledgements, strengths durations
	leaves, disagreed                    int
}

func (f *lossMeasurements) add(other *lossMeasurements) {
	f.repairs = append(f.repairs, other.repairs...)
	f.acknowledgements = append(f.acknowledgements, other.acknowledgements...)
	f.strengths = append(f.strengths, other.strengths...)
	f.leaves += other.leaves
	f.disagreed += other.disagreed
}

// next chooses what happens once the budget is free.
func (a *adversary) next() {
	if a.ended || len(a.world.checker.failures) > 0 {
		return
	}
	if a.world.now < a.budgetFreeAt {
		a.world.after(a.budgetFreeAt-a.world.now, a.next)
		return
	}
	if !a.isRedundant() {
		a.world.checker.fail("not redundant %v after the last machine was back", a.deployment.lostPeriod)
	}
	switch draw := a.world.random.IntN(20); {
	case len(a.surplus()) > 0 && draw < 12:
		a.remove()
	case draw < 10 || len(a.surplus()) > 0:
		a.lose()
	case draw < 14:
		a.replaceNewFirst()
	case draw < 17:
		a.replaceOldFirst()
	default:
		a.restart()
	}
}

// lose takes the worst machines that may be lost at once, mostly while all others lose power.
func (a *adversary) lose() {
	w := a.world
	victims := a.mostHarmful(a.candidates())
	a.losses++
	lost := episode{adversary: a, at: w.now}
	goesForGood := w.chance(0.5)
	for _, victim := range victims {
		w.tracef("%s is lost, for good: %v", victim.name, goesForGood)
		victim.wipe()
		victim.removed = goesForGood
		lost.returns(w.durationBetween(200*time.Millisecond, 3*time.Second), a.successor(victim))
	}
	if w.chance(0.7) {
		w.tracef("all others lose power")
		for _, other := range w.remaining() {
			if other.machine != nil {
				other.losePower()
				lost.resumes(w.durationBetween(100*time.Millisecond, time.Second), other)
			}
		}
	}
	lost.watch()
	a.budgetFreeAt = lost.lastReturn + a.deployment.lostPeriod
	if w.plan.mutation.strikeEarly {
		a.budgetFreeAt = w.now + 100*time.Millisecond
	}
	a.next()
}

// successor returns the start of a machine that was lost, or of another one in its place if it is gone.
func (a *adversary) successor(lost *host) func() {
	return func() {
		if lost.removed {
			a.startNew(lost)
			return
		}
		lost.start()
	}
}

// startNew starts a new machine in the place of another one.
func (a *adversary) startNew(old *host) {
	added := a.world.addHost(false)
	added.zone, added.region = old.zone, old.region
	a.world.tracef("%s is new, for %s", added.name, old.name)
	added.start()
}

// terminate shuts a machine down gracefully and counts how that went.
func (a *adversary) terminate(victim *host, forGood bool, then func()) {
	w := a.world
	w.tracef("%s is told to end, for good: %v", victim.name, forGood)
	a.measurements.leaves++
	victim.terminate(func(bool) {
		if forGood {
			victim.removed = true
			victim.wipe()
		}
		then()
	})
}

// replaceNewFirst starts a successor and shuts the old machine down gracefully when that has had its time. The budget is free
// at that moment, and when the old one has ended.
func (a *adversary) replaceNewFirst() {
	w := a.world
	old := a.mostHarmful(a.singles())[0]
	a.startNew(old)
	a.budgetFreeAt = w.now + a.deployment.lostPeriod
	w.after(a.deployment.lostPeriod, func() {
		if a.ended {
			return
		}
		if w.chance(0.4) {
			a.lose()
			return
		}
		a.terminate(old, true, a.strike)
	})
}

// remove shuts a machine down gracefully whose successor has been there for long.
func (a *adversary) remove() {
	a.terminate(a.mostHarmful(a.surplus())[0], true, a.strike)
}

// strike takes machines at once.
func (a *adversary) strike() {
	if a.ended {
		return
	}
	a.lose()
}

// replaceOldFirst shuts a machine down gracefully and starts its successor after that.
func (a *adversary) replaceOldFirst() {
	old := a.mostHarmful(a.singles())[0]
	a.terminate(old, true, func() {
		a.returnsLater(func() { a.startNew(old) })
	})
}

// restart shuts a machine down gracefully and starts it again.
func (a *adversary) restart() {
	victim := a.mostHarmful(a.singles())[0]
	a.terminate(victim, false, func() { a.returnsLater(victim.start) })
}

// returnsLater starts a machine after a while, and goes on when it has had its time.
func (a *adversary) returnsLater(start func()) {
	back := episode{adversary: a, at: a.world.now}
	back.returns(a.world.durationBetween(200*time.Millisecond, time.Second), start)
	back.watch()
	a.budgetFreeAt = back.lastReturn + a.deployment.lostPeriod
	a.next()
}

// plan has no faults but those that the adversary brings about.
func (d deployment) plan(seed uint64, planted mutation) plan {
	return plan{
		seed: seed, machines: d.machines, zones: d.zones, regions: d.regions,
		requirement: d.requirement, mutation: planted, calm: true,
		processor: float64(envInt("CONTROLSIM_PROCESSOR_PERCENT", 0)) / 100,
	}
}

// attack plays a run of a deployment.
func attack(deployment deployment, seed uint64, planted mutation) (*world, *lossMeasurements) {
	return attackWorld(deployment, deployment.plan(seed, planted), adversaryDuration)
}

// attackWorld plays a run of a plan for a deployment.
func attackWorld(deployment deployment, plan plan, lasts time.Duration) (*world, *lossMeasurements) {
	w := newWorld(plan)
	operators := []*operator{w.addOperator(1), w.addOperator(2)}
	measurements := &lossMeasurements{}
	adversary := &adversary{world: w, deployment: deployment, measurements: measurements, budgetFreeAt: 2 * deployment.lostPeriod}
	w.after(0, adversary.next)
	w.run(lasts)
	adversary.ended = true
	w.run(2 * deployment.lostPeriod)
	for _, operator := range operators {
		operator.stopped = true
	}
	w.checkLiveness()
	w.checker.finish()
	return w, measurements
}

func TestAcknowledgedStateOutlivesAnAdversary(t *testing.T) {
	seeds := max(1, envInt("CONTROLSIM_SEEDS", defaultSeeds)*adversarySeeds/defaultSeeds)
	first := envInt("CONTROLSIM_FIRST", 1)
	for _, deployment := range deployments {
		t.Run(strings.ReplaceAll(deployment.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			var total lossMeasurements
			failed := 0
			for seed := first; seed < first+seeds && failed < maxFailed; seed++ {
				w, measurements := attack(deployment, uint64(seed), mutation{})
				total.add(measurements)
				if len(w.checker.failures) == 0 {
					continue
				}
				failed++
				t.Errorf("seed %d: %s", seed, strings.Join(w.checker.failures, "; "))
				if failed == 1 {
					t.Log(strings.Join(w.trace, "\n"))
				}
			}
			t.Logf("until the chain is whole: %v", total.repairs)
			t.Logf("until an order is acknowledged: %v", total.acknowledgements)
			t.Logf("until the voters are back to strength: %v", total.strengths)
			t.Logf("%d were told to end", total.leaves)
			require.Less(t, total.repairs.worst(), deployment.lostPeriod/2)
			require.Less(t, total.strengths.worst(), deployment.lostPeriod/2)
			require.Less(t, total.acknowledgements.worst(), deployment.lostPeriod/2)
		})
	}
}
