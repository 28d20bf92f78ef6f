package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/packing"
)

// Bandwidths and sizes of a deployment on which large changes have exceeded maxApplyDelay: 61 edge machines on
// 10 Mbit/s and five control machines on 30 Mbit/s, of which two may be lost; 1,500 routes, and 1,400 more in one
// change.
const (
	edgeBandwidth    = 10e6 / 8 // bytes per second
	controlBandwidth = 30e6 / 8 // bytes per second
	edgeMachines     = 61
	coreMachines     = 5
	lostMachines     = 2
	initialRoutes    = 1500
	routesInChange   = 1400
	// maxApplyDelay is the maximum acceptable time from a commit until the last proxy has applied the change.
	maxApplyDelay = 3 * time.Second
)

// limitBandwidth gives the machines links of limited bandwidth.
func (m *model) limitBandwidth() {
	m.links = newModelLinks(m)
	for _, control := range m.controls {
		m.links.capacity[control.address] = controlBandwidth
	}
	for _, agent := range m.agents {
		m.links.capacity[agent.self.Address] = edgeBandwidth
	}
}

// commitRoutes commits one change that adds routes of the size that operators send. The names are random and have
// nothing in common that compression could use.
func (m *model) commitRoutes(count int) {
	sequence := m.newestSequence() + 1
	change := &pb.Change{Sequence: sequence, Generation: sequence}
	for range count {
		name := fmt.Sprintf("r-%07x", m.random.Uint64()&0xfffffff)
		change.Upserts = append(change.Upserts, &pb.Item{
			Kind:     catalog.KindRoutes,
			Name:     name,
			Order:    1,
			Sequence: sequence,
			Body: fmt.Appendf(nil, `{"name":%q,"vhost":"%06x.example","path-prefix":"/%06x/","route-kind":"streaming",`+
				`"deadline-ms":5000,"target-ms":800,"prio":1,"split":[{"backend":"model","share":90},{"backend":"other","share":10}],`+
				`"tries":1,"pinned":true,"resumable":false,"gap_aim_ms":400,"home-regions":[]}`,
				name, m.random.Uint64()&0xffffff, m.random.Uint64()&0xffffff),
		})
	}
	m.appendChange(change)
}

// loseControlMachines makes the first lostMachines control machines stop responding without closing connections.
func (m *model) loseControlMachines() {
	for _, control := range m.controls[:lostMachines] {
		control.dead = true
		m.partitioned[control.address] = true
	}
}

// newStartWithoutState returns a model in which agents without state start after all changes have been committed and
// control machines have been lost.
func newStartWithoutState(seed uint64) *model {
	m := newModel(seed, coreMachines, edgeMachines)
	m.limitBandwidth()
	m.loseControlMachines()
	m.commitRoutes(initialRoutes)
	m.commitRoutes(routesInChange)
	return m
}

// A change of many routes must reach all proxies within maxApplyDelay even though two of five control machines are
// lost.
func TestALargeChangeIsInForceInTimeOverNarrowLinks(t *testing.T) {
	for seed := range uint64(environment("AGENT_NARROW", 3)) {
		m := newModel(seed, coreMachines, edgeMachines)
		m.limitBandwidth()
		m.commitRoutes(initialRoutes)
		require.True(t, m.runUntil(time.Minute, m.converged), "seed %d: the first state", seed)
		m.loseControlMachines()
		m.runUntil(5*time.Second, func() bool { return false })
		for round := range 3 {
			before := m.links.carried
			began := m.now
			m.commitRoutes(routesInChange)
			inForce := m.runUntil(time.Minute, m.converged)
			t.Logf("seed %d, change %d: applied by all proxies after %v, %.1f MB transferred", seed, round, m.now-began, (m.links.carried-before)/1e6)
			require.True(t, inForce)
			require.Less(t, m.now-began, maxApplyDelay, "seed %d, change %d", seed, round)
		}
		require.Empty(t, m.failures, "seed %d", seed)
	}
}

// When all agents start at once without state, as after a power failure, all proxies must have the complete state
// within maxApplyDelay.
func TestAllAgentsStartInTimeOverNarrowLinks(t *testing.T) {
	for seed := range uint64(environment("AGENT_NARROW", 3)) {
		m := newStartWithoutState(seed)
		inForce := m.runUntil(time.Minute, m.converged)
		t.Logf("seed %d: applied by all proxies after %v, %.1f MB transferred", seed, m.now, m.links.carried/1e6)
		require.True(t, inForce)
		require.Less(t, m.now, maxApplyDelay, "seed %d", seed)
		require.Empty(t, m.failures, "seed %d", seed)
	}
}

// Guards against responses that are abandoned during their transfer and requested again: over links so narrow that
// every response takes longer than the timeout for its start, all proxies must still receive the change.
func TestSlowResponsesMakeProgress(t *testing.T) {
	const (
		slowdown = 20
		// slack allows for responses that are requested twice, and for the responses of other agents.
		slack = 3
	)
	for seed := range uint64(environment("AGENT_NARROW", 3)) {
		m := newModel(seed, coreMachines, edgeMachines)
		m.limitBandwidth()
		m.commitRoutes(10)
		require.True(t, m.runUntil(time.Minute, m.converged), "seed %d: the first state", seed)
		for machine := range m.links.capacity {
			m.links.capacity[machine] /= slowdown
		}
		m.loseControlMachines()
		m.runUntil(5*time.Second, func() bool { return false })
		began := m.now
		m.commitRoutes(routesInChange)
		inForce := m.runUntil(2*time.Minute, m.converged)
		took := m.now - began
		compressedSize := proto.Size(m.controls[coreMachines-1].compressor.Compressed(
			packing.Key{Base: m.newestSequence() - 1, Sequence: m.newestSequence()}, func() *pb.StateUpdate { return nil }))
		idealSeconds := float64(compressedSize*edgeMachines) / (controlBandwidth / slowdown * (coreMachines - lostMachines))
		t.Logf("seed %d: applied by all proxies after %v; one transfer to each agent over evenly loaded links takes %.1f s", seed, took, idealSeconds)
		require.True(t, inForce)
		require.Less(t, took.Seconds(), idealSeconds*slack, "seed %d", seed)
		require.Empty(t, m.failures, "seed %d", seed)
	}
}
