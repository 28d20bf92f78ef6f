package agent

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

const (
	// defaultFarRuns is the number of runs of an agent far behind; AGENT_FAR sets another one, AGENT_FIRST the first
	// seed.
	defaultFarRuns = 35
	// caughtUpWithin is the limit for an agent and its proxy to hold all that was committed when they returned.
	caughtUpWithin = 3 * time.Second
	// before is the number of changes before an absence.
	before = 20
)

// absence is how an agent or its proxy misses changes.
type absence int

const (
	absentCut       absence = iota // the machine is cut off from all others
	absentControl                  // the agent is cut off from control, not from its neighbours
	absentRestarted                // it is cut off from all, and started anew as it returns
	absentDown                     // the process is dead
	absentProxy                    // the proxy beside it is dead, and starts anew
	absentProxyCut                 // it is cut off from all, and its proxy alone is started anew as it returns
	absentCore                     // all agents are cut off from control
	absences
)

func (a absence) String() string {
	return [...]string{"cut off", "cut off from control", "cut off, restarted", "down", "proxy down", "cut off, proxy restarted", "all cut off from control"}[a]
}

// misleader is who answers a returning agent first, with an old state.
type misleader int

const (
	misledByNobody      misleader = iota
	misledByControl               // a control machine that hears of nothing new and doesn't say that it holds the agreed state
	misledByAuthority             // one that says that it does
	misledByNeighbour             // a neighbour that was cut off as well
	misledByEarlierLife           // pushes of neighbours' earlier lives
	misleaders
)

func (m misleader) String() string {
	return [...]string{"nobody", "old control", "old control with authority", "old neighbour", "earlier life"}[m]
}

// farRun is a run in which an agent or its proxy misses many changes.
type farRun struct {
	seed      uint64
	distance  uint64
	absence   absence
	misleader misleader
	busy      bool
}

func farRunOf(seed uint64) farRun {
	random := rand.New(rand.NewPCG(seed, 5))
	run := farRun{
		seed:      seed,
		distance:  300,
		absence:   absence(seed % uint64(absences)),
		misleader: misleader(seed / uint64(absences) % uint64(misleaders)),
		busy:      random.IntN(2) == 0,
	}
	switch draw := random.IntN(20); {
	case draw == 0:
		run.distance = 3000
	case draw < 4:
		run.distance = 1000
	}
	return run
}

// playFar runs a model and returns how long the agent's proxy needed for what was committed as it returned.
func playFar(run farRun, plant planted) (*model, time.Duration) {
	m := newModel(run.seed, 3, 5)
	m.plant = plant
	if !m.let(before) {
		return m, 0
	}
	agent, neighbour := m.agents[0], m.agents[1]
	m.leave(run.absence, agent)
	old := m.controls[m.random.IntN(len(m.controls))]
	switch run.misleader {
	case misledByControl, misledByAuthority:
		old.stuck = true
		old.authoritative = run.misleader == misledByAuthority
	case misledByNeighbour:
		m.cut[neighbour.self.Address] = true
	}
	if !m.let(run.distance) {
		return m, 0
	}
	if run.misleader == misledByControl || run.misleader == misledByAuthority {
		m.onlyReaches(agent, old)
	}
	delete(m.cut, neighbour.self.Address)
	target := m.last()
	if run.busy {
		m.commitMany(100, func() {})
	}
	m.comeBack(run.absence, agent)
	if run.misleader == misledByEarlierLife {
		m.after(m.upTo(50*time.Millisecond), agent.repeatPushes)
	}
	began := m.now
	m.after(500*time.Millisecond, func() { m.mend(agent, old) })
	m.runUntil(time.Minute, func() bool { return !agent.proxy.dead && agent.proxy.replica.Sequence() >= target })
	caught := m.now - began
	if caught > caughtUpWithin {
		m.fail("the proxy has caught up after %v", caught)
	}
	if !m.runUntil(20*time.Second, m.converged) {
		m.fail("not all proxies hold the newest state")
	}
	return m, caught
}

// let makes changes and waits until they are made.
func (m *model) let(count uint64) bool {
	done := false
	m.commitMany(count, func() { done = true })
	if !m.runUntil(time.Duration(count)*100*time.Millisecond+time.Second, func() bool { return done }) {
		m.fail("the model is stuck")
	}
	return done
}

func (m *model) converged() bool {
	return !slices.ContainsFunc(m.agents, func(one *modelAgent) bool { return one.proxy.replica.Sequence() < m.last() })
}

func (m *model) leave(absence absence, agent *modelAgent) {
	switch absence {
	case absentCut, absentRestarted, absentProxyCut:
		m.cut[agent.self.Address] = true
	case absentControl:
		m.setReach(agent, nil)
	case absentDown:
		agent.kill()
	case absentProxy:
		agent.proxy.dead = true
	case absentCore:
		for _, one := range m.agents {
			m.setReach(one, nil)
		}
	}
}

// setReach lets an agent reach some control machines only.
func (m *model) setReach(agent *modelAgent, reached []*modelControl) {
	for _, control := range m.controls {
		m.cut[agent.self.Host+">"+control.address] = !slices.Contains(reached, control)
	}
}

func (m *model) onlyReaches(agent *modelAgent, control *modelControl) {
	m.setReach(agent, []*modelControl{control})
}

func (m *model) comeBack(absence absence, agent *modelAgent) {
	delete(m.cut, agent.self.Address)
	switch absence {
	case absentRestarted:
		agent.kill()
		m.after(m.upTo(200*time.Millisecond), agent.start)
	case absentDown:
		agent.start()
	case absentProxy, absentProxyCut:
		agent.proxy.restart()
	case absentCore:
		for _, one := range m.agents[1:] {
			m.setReach(one, m.controls)
		}
	}
}

// mend lets the agent reach all control machines again, and the old one hear of what is new.
func (m *model) mend(agent *modelAgent, old *modelControl) {
	m.setReach(agent, m.controls)
	old.stuck = false
	old.authoritative = true
	old.follow()
}

func environment(name string, otherwise int) int {
	value, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return otherwise
	}
	return value
}

func TestAgentsFarBehindCatchUp(t *testing.T) {
	first, count := environment("AGENT_FIRST", 1), environment("AGENT_FAR", defaultFarRuns)
	caught := make(map[string][]time.Duration)
	for seed := first; seed < first+count; seed++ {
		run := farRunOf(uint64(seed))
		m, after := playFar(run, planted{})
		require.Empty(t, m.failures, "%+v", run)
		for _, kind := range []string{fmt.Sprint(run.distance, " changes"), run.absence.String(), run.misleader.String()} {
			caught[kind] = append(caught[kind], after)
		}
	}
	for kind, times := range caught {
		slices.Sort(times)
		at := func(share float64) time.Duration {
			return times[int(share*float64(len(times)-1))].Round(time.Millisecond)
		}
		t.Logf("%-28s %4d runs: p50 %v, p99 %v, worst %v", kind, len(times), at(0.5), at(0.99), at(1))
	}
}

// Each check of the model is seen to find a fault.
func TestModelFindsPlantedFaults(t *testing.T) {
	faults := []struct {
		name    string
		plant   planted
		finding string
	}{
		{"a proxy is handed a state of another number", planted{proxyCall: renumber}, "holds another state"},
		{"a proxy is handed older changes", planted{proxyCall: olderChanges()}, "is handed changes up to"},
		{"a proxy is handed an older state", planted{proxyCall: olderRepair()}, "is handed the state"},
		{"a repair of control lacks what differs", planted{watch: withoutRanges}, "holds another state"},
		{"control tells no state", planted{watch: withoutState}, "caught up after"},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(absences) * uint64(misleaders) {
				run := farRunOf(seed)
				run.distance = 300
				if m, _ := playFar(run, fault.plant); strings.Contains(strings.Join(m.failures, "; "), fault.finding) {
					return
				}
			}
			require.Fail(t, "not found")
		})
	}
}

// renumber takes the last change away from those that lead to a number.
func renumber(call *proxyCall) {
	changes := call.apply.GetChanges()
	if len(changes) < 2 {
		return
	}
	last := changes[len(changes)-1]
	lacking := &pb.Change{Sequence: last.GetSequence(), Generation: last.GetGeneration()}
	call.apply.Changes = append(slices.Clone(changes[:len(changes)-1]), lacking)
}

// olderChanges hands the first changes again in place of later ones.
func olderChanges() func(*proxyCall) {
	var first []*pb.Change
	return func(call *proxyCall) {
		if len(call.apply.GetChanges()) == 0 {
			return
		}
		if first == nil {
			first = call.apply.GetChanges()
		}
		call.apply.Changes = first
	}
}

// olderRepair hands the first whole state again in place of later changes.
func olderRepair() func(*proxyCall) {
	var first *pb.Repair
	return func(call *proxyCall) {
		if first == nil {
			first = call.apply.GetRepair()
		}
		if first != nil && len(call.apply.GetChanges()) > 0 {
			call.apply.Repair = first
		}
	}
}

func withoutRanges(response *pb.WatchResponse) {
	if ranges := response.GetRepair().GetRanges(); len(ranges) > 1 {
		response.Repair.Ranges = ranges[:1]
	}
}

func withoutState(response *pb.WatchResponse) {
	if response.GetSequence() > before {
		response.Changes, response.Repair, response.NeedDigests = nil, nil, false
	}
}
