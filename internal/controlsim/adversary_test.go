package controlsim

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/chain"
)

const (
	// adversarySeeds is the number of runs of each deployment, for the default number of seeds; with another number of
	// those it is in proportion.
	adversarySeeds = 8
	// adversaryFor is how long a run lasts.
	adversaryFor = 120 * time.Second
	// orderPeriod is the time between two orders that are sent to find out when orders are acknowledged.
	orderPeriod = 50 * time.Millisecond
	// probePeriod is the time between two looks at the redundancy.
	probePeriod = 10 * time.Millisecond
)

// deployment is a kind of site with what has to be borne there at once.
type deployment struct {
	name                     string
	machines, zones, regions int
	required                 chain.Requirement
	syncFor                  time.Duration // a machine counts as lost for so long after its start
	losses                   []lossKind
}

// lossKind tells which machines may be lost at once.
type lossKind int

const (
	oneMachine lossKind = iota
	twoMachines
	oneZone
	oneRegion
)

var deployments = []deployment{
	{
		name: "3 in 3 zones", machines: 3, zones: 3, syncFor: 4 * time.Second,
		required: chain.Requirement{Replicas: 2, Zones: 2, Regions: 1}, losses: []lossKind{oneMachine, oneZone},
	},
	{
		name: "4 in 3 zones", machines: 4, zones: 3, syncFor: 4 * time.Second,
		required: chain.Requirement{Replicas: 2, Zones: 1, Regions: 1}, losses: []lossKind{oneMachine},
	},
	{
		name: "5 in 3 zones", machines: 5, zones: 3, syncFor: 4 * time.Second,
		required: chain.Requirement{Replicas: 2, Zones: 2, Regions: 1}, losses: []lossKind{oneMachine, oneZone},
	},
	{
		name: "5 in 3 zones, two machines", machines: 5, zones: 3, syncFor: 4 * time.Second,
		required: chain.Requirement{Replicas: 3, Zones: 2, Regions: 1}, losses: []lossKind{twoMachines, oneZone},
	},
	{
		name: "5 in 5 zones in 3 regions", machines: 5, zones: 5, regions: 3, syncFor: 4 * time.Second,
		required: chain.Requirement{Replicas: 2, Zones: 2, Regions: 2}, losses: []lossKind{oneMachine, oneZone, oneRegion},
	},
	{
		name: "9 in 6 zones", machines: 9, zones: 6, syncFor: 6 * time.Second,
		required: chain.Requirement{Replicas: 3, Zones: 2, Regions: 1}, losses: []lossKind{twoMachines, oneZone},
	},
}

// adversary takes machines for good as soon as the fault budget is free again, those that hurt most.
type adversary struct {
	world      *world
	deployment deployment
	ended      bool
	freeAt     time.Duration // when the budget is free again
	losses     int
	figures    *lossFigures
}

// lossFigures are what losses were measured to take: until the chain is whole and enough for acknowledgements, since
// the loss or, where all others lost power, since the last of those was back; until an order was acknowledged, since
// the same; until the voters are back to strength, too, since the last machine was back or its successor started.
type lossFigures struct {
	repairs, acknowledgements, strengths spans
	leaves, disagreed                    int
}

func (f *lossFigures) add(other *lossFigures) {
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
	if a.world.now < a.freeAt {
		a.world.after(a.freeAt-a.world.now, a.next)
		return
	}
	if !a.isRedundant() {
		a.world.checker.fail("not redundant %v after the last machine was back", a.deployment.syncFor)
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
	victims := a.worst(a.candidates())
	a.losses++
	lost := episode{adversary: a, at: w.now}
	goesForGood := w.chance(0.5)
	for _, victim := range victims {
		w.note("%s is lost, for good: %v", victim.name, goesForGood)
		victim.wipe()
		victim.gone = goesForGood
		lost.returns(w.between(200*time.Millisecond, 3*time.Second), a.successor(victim))
	}
	if w.chance(0.7) {
		w.note("all others lose power")
		for _, other := range w.living() {
			if other.machine != nil {
				other.losePower()
				lost.resumes(w.between(100*time.Millisecond, time.Second), other)
			}
		}
	}
	lost.watch()
	a.freeAt = lost.lastReturn + a.deployment.syncFor
	if w.plan.mutation.strikeEarly {
		a.freeAt = w.now + 100*time.Millisecond
	}
	a.next()
}

// successor returns the start of a machine that was lost, or of another one in its place if it is gone.
func (a *adversary) successor(lost *host) func() {
	return func() {
		if lost.gone {
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
	a.world.note("%s is new, for %s", added.name, old.name)
	added.start()
}

// terminate tells a machine to end and counts how that went.
func (a *adversary) terminate(victim *host, forGood bool, then func()) {
	w := a.world
	w.note("%s is told to end, for good: %v", victim.name, forGood)
	a.figures.leaves++
	victim.terminate(func(bool) {
		if forGood {
			victim.gone = true
			victim.wipe()
		}
		then()
	})
}

// replaceNewFirst starts a successor and tells the old machine to end when that has had its time. The budget is free
// at that moment, and when the old one has ended.
func (a *adversary) replaceNewFirst() {
	w := a.world
	old := a.worst(a.singles())[0]
	a.startNew(old)
	a.freeAt = w.now + a.deployment.syncFor
	w.after(a.deployment.syncFor, func() {
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

// remove tells a machine to end whose successor has been there for long.
func (a *adversary) remove() {
	a.terminate(a.worst(a.surplus())[0], true, a.strike)
}

// strike takes machines at once.
func (a *adversary) strike() {
	if a.ended {
		return
	}
	a.lose()
}

// replaceOldFirst tells a machine to end and starts its successor after that.
func (a *adversary) replaceOldFirst() {
	old := a.worst(a.singles())[0]
	a.terminate(old, true, func() {
		a.returnsLater(func() { a.startNew(old) })
	})
}

// restart tells a machine to end and starts it again.
func (a *adversary) restart() {
	victim := a.worst(a.singles())[0]
	a.terminate(victim, false, func() { a.returnsLater(victim.start) })
}

// returnsLater starts a machine after a while, and goes on when it has had its time.
func (a *adversary) returnsLater(start func()) {
	back := episode{adversary: a, at: a.world.now}
	back.returns(a.world.between(200*time.Millisecond, time.Second), start)
	back.watch()
	a.freeAt = back.lastReturn + a.deployment.syncFor
	a.next()
}

// candidates are the sets of machines that may be lost at once.
func (a *adversary) candidates() [][]*host {
	var sets [][]*host
	for _, kind := range a.deployment.losses {
		switch kind {
		case oneMachine:
			sets = append(sets, a.singles()...)
		case twoMachines:
			sets = append(sets, a.pairs()...)
		case oneZone:
			sets = append(sets, a.places(func(host *host) string { return host.zone })...)
		case oneRegion:
			sets = append(sets, a.places(func(host *host) string { return host.region })...)
		}
	}
	return sets
}

// surplus are the machines, each by itself, of zones that have more of them than in the beginning.
func (a *adversary) surplus() [][]*host {
	excess := make(map[string]int)
	for _, host := range a.world.living() {
		excess[host.zone]++
	}
	for _, host := range a.world.hosts[:a.deployment.machines] {
		excess[host.zone]--
	}
	return slices.DeleteFunc(a.singles(), func(set []*host) bool { return excess[set[0].zone] <= 0 })
}

// isRedundant reports whether the system bears the next loss.
func (a *adversary) isRedundant() bool { return a.world.isRedundant(a.candidates()) }

func (a *adversary) singles() [][]*host {
	var sets [][]*host
	for _, one := range a.world.living() {
		sets = append(sets, []*host{one})
	}
	return sets
}

func (a *adversary) pairs() [][]*host {
	var sets [][]*host
	living := a.world.living()
	for index, first := range living {
		for _, second := range living[index+1:] {
			sets = append(sets, []*host{first, second})
		}
	}
	return sets
}

func (a *adversary) places(of func(*host) string) [][]*host {
	byPlace := make(map[string]int)
	var sets [][]*host
	for _, host := range a.world.living() {
		index, known := byPlace[of(host)]
		if !known {
			index = len(sets)
			byPlace[of(host)] = index
			sets = append(sets, nil)
		}
		sets[index] = append(sets[index], host)
	}
	return sets
}

// worst mostly picks the set without which the fewest votes and copies are left, now and then any.
func (a *adversary) worst(sets [][]*host) []*host {
	w := a.world
	view := w.newestView()
	if view == nil || w.chance(0.2) {
		return sets[w.random.IntN(len(sets))]
	}
	var worst []*host
	fewest := 0
	for _, index := range w.random.Perm(len(sets)) {
		left := 100*w.spareVotes(view, sets[index]) + w.copies(view, sets[index])
		if worst == nil || left < fewest {
			worst, fewest = sets[index], left
		}
	}
	return worst
}

// episode is the time from a loss to full redundancy.
type episode struct {
	adversary  *adversary
	at         time.Duration
	lastReturn time.Duration // of the lost machines and of the others
	resumed    time.Duration // of the others
}

// returns has a lost machine, or its successor, start after a while.
func (e *episode) returns(after time.Duration, start func()) {
	e.lastReturn = max(e.lastReturn, e.at+after)
	e.adversary.world.after(after, start)
}

// resumes has one of the other machines start after a while.
func (e *episode) resumes(after time.Duration, other *host) {
	e.lastReturn = max(e.lastReturn, e.at+after)
	e.resumed = max(e.resumed, e.at+after)
	e.adversary.world.after(after, other.start)
}

// watch measures how long it takes until the system is repaired, takes orders, and is redundant.
func (e *episode) watch() {
	w := e.adversary.world
	figures := e.adversary.figures
	began := max(e.at, e.resumed)
	w.await(began, w.isRepaired, &figures.repairs)
	w.after(began-w.now, func() { w.awaitAcknowledgement(&figures.acknowledgements) })
	w.await(e.lastReturn, e.adversary.isRedundant, &figures.strengths)
}

// await measures the time from a moment until something is reached.
func (w *world) await(began time.Duration, reached func() bool, into *spans) {
	w.every(probePeriod, func() bool {
		if w.now < began || !reached() {
			return false
		}
		*into = append(*into, w.now-began)
		return true
	})
}

// awaitAcknowledgement measures the time until an order is acknowledged that is sent to any running machine, and to
// another one soon after.
func (w *world) awaitAcknowledgement(into *spans) {
	began := w.now
	done := false
	w.every(orderPeriod, func() bool {
		if running := w.running(); !done && len(running) > 0 {
			order := &pb.Order{Kind: pb.Order_KIND_EVACUATE_BEGIN, Zone: staleZone}
			w.submit(running[w.random.IntN(len(running))], order, func(result *pb.OrderResult) {
				if result.GetStatus() == http.StatusOK && !done {
					done = true
					*into = append(*into, w.now-began)
				}
			})
		}
		return done
	})
}

// attack plays a run of a deployment.
func attack(deployment deployment, seed uint64, planted mutation) (*world, *lossFigures) {
	plan := plan{
		seed: seed, machines: deployment.machines, zones: deployment.zones, regions: deployment.regions,
		required: deployment.required, mutation: planted, calm: true,
	}
	w := newWorld(plan)
	operators := []*operator{w.addOperator(1), w.addOperator(2)}
	figures := &lossFigures{}
	adversary := &adversary{world: w, deployment: deployment, figures: figures, freeAt: 2 * deployment.syncFor}
	w.after(0, adversary.next)
	w.run(adversaryFor)
	adversary.ended = true
	w.run(2 * deployment.syncFor)
	for _, operator := range operators {
		operator.ended = true
	}
	w.checkLiveness()
	w.checker.finish()
	return w, figures
}

func TestAcknowledgedStateOutlivesAnAdversary(t *testing.T) {
	seeds := max(1, number("CONTROLSIM_SEEDS", defaultSeeds)*adversarySeeds/defaultSeeds)
	first := number("CONTROLSIM_FIRST", 1)
	for _, deployment := range deployments {
		t.Run(strings.ReplaceAll(deployment.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			var total lossFigures
			failed := 0
			for seed := first; seed < first+seeds && failed < maxFailed; seed++ {
				w, figures := attack(deployment, uint64(seed), mutation{})
				total.add(figures)
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
			require.Less(t, total.repairs.worst(), deployment.syncFor/2)
			require.Less(t, total.strengths.worst(), deployment.syncFor/2)
			require.Less(t, total.acknowledgements.worst(), deployment.syncFor/2)
		})
	}
}

func TestAdversaryFindsPlantedFaults(t *testing.T) {
	faults := []struct {
		name     string
		mutation mutation
		finding  string
	}{
		{
			name:     "machines are taken before the budget is free again",
			mutation: mutation{strikeEarly: true}, finding: "not redundant",
		},
		{
			name:     "a machine that is told to end just ends",
			mutation: mutation{leaveSilently: true}, finding: "not redundant",
		},
		{
			name:     "changes are not on disk",
			mutation: mutation{records: withoutChanges}, finding: "was acknowledged",
		},
		{
			name:     "new machines are not let in",
			mutation: mutation{message: hideView}, finding: "not redundant",
		},
		{
			name:     "a repair lacks what differs",
			mutation: mutation{message: emptyRepairs}, finding: "two states of sequence",
		},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			require.True(t, isFoundByAdversary(fault.mutation, fault.finding), "%q was not found", fault.finding)
		})
	}
}

func isFoundByAdversary(planted mutation, finding string) bool {
	for seed := range uint64(adversarySeeds) {
		for _, deployment := range deployments[:3] {
			w, _ := attack(deployment, seed, planted)
			if strings.Contains(strings.Join(w.checker.failures, "; "), finding) {
				return true
			}
		}
	}
	return false
}

// A system that is slow to let new machines in misses the bound on its times, or is not redundant when the next loss
// comes.
func TestAdversaryFindsThatNewMachinesAreLetInLate(t *testing.T) {
	w, figures := attack(deployments[0], 1, mutation{message: withholdHeartbeats()})
	missed := figures.strengths.worst() >= deployments[0].syncFor/2
	require.True(t, missed || len(w.checker.failures) > 0)
}

// isNew reports whether a machine came after the founding.
func isNew(replica *pb.Replica) bool {
	index, err := strconv.Atoi(strings.TrimPrefix(replica.GetHost(), "core-"))
	return err == nil && index >= deployments[0].machines
}

// hideView makes the machines that came later tell that they hold no view.
func hideView(message *pb.Message) *pb.Message {
	if message.GetHeartbeat() == nil || !isNew(message.GetFrom()) {
		return message
	}
	changed := proto.CloneOf(message)
	changed.GetHeartbeat().ViewNumber = 0
	return changed
}

// withholdHeartbeats lets pass one of twelve heartbeats of the machines that came later.
func withholdHeartbeats() func(*pb.Message) *pb.Message {
	count := 0
	return func(message *pb.Message) *pb.Message {
		if message.GetHeartbeat() == nil || !isNew(message.GetFrom()) {
			return message
		}
		count++
		if count%12 == 0 {
			return message
		}
		return &pb.Message{}
	}
}
