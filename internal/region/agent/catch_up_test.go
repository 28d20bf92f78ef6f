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
	// defaultFarRuns is the default number of seeded runs; AGENT_FAR overrides it, and AGENT_FIRST sets the first seed.
	defaultFarRuns = 35
	// catchUpTimeout is the time within which an agent that returns, and its proxy, must have all changes committed
	// before the return.
	catchUpTimeout = 3 * time.Second
	// changesBeforeAbsence is the number of changes committed before an absence.
	changesBeforeAbsence = 20
)

// absence is the fault through which an agent or its proxy misses changes.
type absence int

const (
	absencePartitioned               absence = iota // the machine is partitioned from all other machines
	absencePartitionedFromControl                   // the agent is partitioned from the control machines only
	absencePartitionedRestarted                     // partitioned; the agent is restarted when the partition heals
	absenceProcessDown                              // the agent process is down
	absenceProxyDown                                // the proxy of the agent is down, and then restarted
	absencePartitionedProxyRestarted                // partitioned; only the proxy is restarted when the partition heals
	absenceAllPartitionedFromControl                // all agents are partitioned from the control machines
	absenceCount
)

func (a absence) String() string {
	return [...]string{"partitioned", "partitioned from control", "partitioned, restarted", "down", "proxy down", "partitioned, proxy restarted", "all partitioned from control"}[a]
}

// staleSource is what sends a returning agent an old state first.
type staleSource int

const (
	staleSourceNone                 staleSource = iota
	staleSourceControl                          // a control machine that receives no changes and has no authority
	staleSourceAuthoritativeControl             // a control machine that receives no changes and claims authority
	staleSourceNeighbour                        // another agent that was partitioned as well
	staleSourceEarlierIncarnation               // repeated pushes that earlier incarnations of other agents sent
	staleSourceCount
)

func (m staleSource) String() string {
	return [...]string{"nobody", "old control", "old control with authority", "old neighbour", "earlier incarnation"}[m]
}

// absenceRun describes a seeded run in which an agent or its proxy misses many changes.
type absenceRun struct {
	seed          uint64
	missedChanges uint64
	absence       absence
	staleSource   staleSource
	busy          bool
}

func newAbsenceRun(seed uint64) absenceRun {
	random := rand.New(rand.NewPCG(seed, 5))
	run := absenceRun{
		seed:          seed,
		missedChanges: 300,
		absence:       absence(seed % uint64(absenceCount)),
		staleSource:   staleSource(seed / uint64(absenceCount) % uint64(staleSourceCount)),
		busy:          random.IntN(2) == 0,
	}
	switch draw := random.IntN(20); {
	case draw == 0:
		run.missedChanges = 3000
	case draw < 4:
		run.missedChanges = 1000
	}
	return run
}

// runAbsence runs a model, and returns the time after the end of the absence in which the agent's proxy received all
// changes committed during it.
func runAbsence(run absenceRun, fault injectedFault) (*model, time.Duration) {
	m := newModel(run.seed, 3, 5)
	m.injected = fault
	if !m.commitAndWait(changesBeforeAbsence) {
		return m, 0
	}
	agent, neighbour := m.agents[0], m.agents[1]
	m.beginAbsence(run.absence, agent)
	old := m.controls[m.random.IntN(len(m.controls))]
	switch run.staleSource {
	case staleSourceControl, staleSourceAuthoritativeControl:
		old.stalled = true
		old.authoritative = run.staleSource == staleSourceAuthoritativeControl
	case staleSourceNeighbour:
		m.partitioned[neighbour.self.Address] = true
	}
	if !m.commitAndWait(run.missedChanges) {
		return m, 0
	}
	if run.staleSource == staleSourceControl || run.staleSource == staleSourceAuthoritativeControl {
		m.onlyReaches(agent, old)
	}
	delete(m.partitioned, neighbour.self.Address)
	target := m.newestSequence()
	if run.busy {
		m.commitMany(100, func() {})
	}
	m.endAbsence(run.absence, agent)
	if run.staleSource == staleSourceEarlierIncarnation {
		m.after(m.jitter(50*time.Millisecond), agent.repeatPushes)
	}
	began := m.now
	m.after(500*time.Millisecond, func() { m.heal(agent, old) })
	m.runUntil(time.Minute, func() bool { return !agent.proxy.dead && agent.proxy.replica.Sequence() >= target })
	catchUpTime := m.now - began
	if catchUpTime > catchUpTimeout {
		m.fail("the proxy has caught up after %v", catchUpTime)
	}
	if !m.runUntil(20*time.Second, m.converged) {
		m.fail("not all proxies have the newest state")
	}
	return m, catchUpTime
}

// commitAndWait commits changes one after the other, and waits until all of them are committed.
func (m *model) commitAndWait(count uint64) bool {
	done := false
	m.commitMany(count, func() { done = true })
	if !m.runUntil(time.Duration(count)*100*time.Millisecond+time.Second, func() bool { return done }) {
		m.fail("the changes were not committed in time")
	}
	return done
}

func (m *model) converged() bool {
	return !slices.ContainsFunc(m.agents, func(agent *modelAgent) bool { return agent.proxy.replica.Sequence() < m.newestSequence() })
}

func (m *model) beginAbsence(absence absence, agent *modelAgent) {
	switch absence {
	case absencePartitioned, absencePartitionedRestarted, absencePartitionedProxyRestarted:
		m.partitioned[agent.self.Address] = true
	case absencePartitionedFromControl:
		m.setReach(agent, nil)
	case absenceProcessDown:
		agent.kill()
	case absenceProxyDown:
		agent.proxy.dead = true
	case absenceAllPartitionedFromControl:
		for _, one := range m.agents {
			m.setReach(one, nil)
		}
	}
}

// setReach partitions an agent from all control machines except some.
func (m *model) setReach(agent *modelAgent, reached []*modelControl) {
	for _, control := range m.controls {
		m.partitioned[agent.self.Host+">"+control.address] = !slices.Contains(reached, control)
	}
}

func (m *model) onlyReaches(agent *modelAgent, control *modelControl) {
	m.setReach(agent, []*modelControl{control})
}

func (m *model) endAbsence(absence absence, agent *modelAgent) {
	delete(m.partitioned, agent.self.Address)
	switch absence {
	case absencePartitionedRestarted:
		agent.kill()
		m.after(m.jitter(200*time.Millisecond), agent.start)
	case absenceProcessDown:
		agent.start()
	case absenceProxyDown, absencePartitionedProxyRestarted:
		agent.proxy.restart()
	case absenceAllPartitionedFromControl:
		for _, one := range m.agents[1:] {
			m.setReach(one, m.controls)
		}
	}
}

// heal lets the agent reach all control machines again, and the stale control machine receive changes.
func (m *model) heal(agent *modelAgent, old *modelControl) {
	m.setReach(agent, m.controls)
	old.stalled = false
	old.authoritative = true
	old.applyCommitted()
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
		run := newAbsenceRun(uint64(seed))
		m, after := runAbsence(run, injectedFault{})
		require.Empty(t, m.failures, "%+v", run)
		for _, kind := range []string{fmt.Sprint(run.missedChanges, " changes"), run.absence.String(), run.staleSource.String()} {
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

// Each check of the model must detect the fault that violates it, in at least one of the seeded runs.
func TestModelFindsInjectedFaults(t *testing.T) {
	faults := []struct {
		name    string
		fault   injectedFault
		finding string
	}{
		{"a proxy is sent a state of another sequence", injectedFault{proxyCall: renumber}, "has another state"},
		{"a proxy is sent older changes", injectedFault{proxyCall: olderChanges()}, "is sent changes up to"},
		{"a proxy is sent an older state", injectedFault{proxyCall: olderRepair()}, "is sent the state"},
		{"a repair of control lacks what differs", injectedFault{watch: withoutRanges}, "has another state"},
		{"control sends no state", injectedFault{watch: withoutState}, "caught up after"},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(absenceCount) * uint64(staleSourceCount) {
				run := newAbsenceRun(seed)
				run.missedChanges = 300
				if m, _ := runAbsence(run, fault.fault); strings.Contains(strings.Join(m.failures, "; "), fault.finding) {
					return
				}
			}
			require.Fail(t, "no run detected the injected fault")
		})
	}
}

// renumber replaces the last of several changes by an empty change with the same sequence.
func renumber(call *proxyCall) {
	changes := call.apply.GetChanges()
	if len(changes) < 2 {
		return
	}
	last := changes[len(changes)-1]
	lacking := &pb.Change{Sequence: last.GetSequence(), Generation: last.GetGeneration()}
	call.apply.Changes = append(slices.Clone(changes[:len(changes)-1]), lacking)
}

// olderChanges returns a fault that sends the first changes again instead of later ones.
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

// olderRepair returns a fault that sends the first repair again together with later changes.
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
	if response.GetSequence() > changesBeforeAbsence {
		response.Changes, response.Repair, response.NeedDigests = nil, nil, false
	}
}
