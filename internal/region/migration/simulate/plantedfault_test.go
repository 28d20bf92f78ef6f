package simulate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/migration/capacity"
	"fieldrelay/internal/region/migration/execute"
)

// plantedFault is a deliberate fault in the components on which an executor relies. It shows that the checker finds the
// effect of such a fault.
type plantedFault uint8

const (
	faultNone                plantedFault = iota
	faultFalseConfirmation                // proxies are reported to have confirmed every revision
	faultNothingInFlight                  // requests in flight are not counted
	faultArrivedOnly                      // requests in flight to a server are neither counted nor waited for
	faultStreamsRestart                   // proxies restart migrated streams from the beginning
	faultLowLoad                          // the measured demand is a tenth of the real one
	faultStaleLoad                        // the measured demand is always that of the plan
	faultAbsentServersListed              // servers that are not ready are listed as serving
	faultFalseVotes                       // voters are reported as exchanged although they are not
	faultUnconditionalStore               // the chain stores a state without comparing revisions
	faultNoConfirmation                   // proxies never confirm
)

// distort changes an observation according to the fault.
func (f plantedFault) distort(d *deployment, observation *execute.Observation) {
	switch f {
	case faultFalseConfirmation:
		observation.ConfirmedRevision = ^uint64(0)
	case faultNothingInFlight:
		for id, status := range observation.Nodes {
			status.InFlight = 0
			observation.Nodes[id] = status
		}
	case faultLowLoad:
		for index := range observation.Loads {
			observation.Loads[index].Required = observation.Loads[index].Required.Scale(0.1)
		}
	case faultStaleLoad:
		observation.Loads = d.input.Demand.Periods[0].Loads
	case faultAbsentServersListed:
		for _, node := range d.orderedNodes {
			if node.spec.Kind == capacity.Server && !node.ready(d.now) {
				observation.Fleet = append(observation.Fleet, node.spec)
			}
		}
	case faultFalseVotes:
		for _, node := range d.orderedNodes {
			status, present := observation.Nodes[node.spec.ID]
			if present && node.spec.Kind == capacity.Core {
				status.Votes = !isOld(d, node)
				observation.Nodes[node.spec.ID] = status
			}
		}
	case faultNoConfirmation:
		observation.ConfirmedRevision = 0
	}
}

func isOld(d *deployment, node *node) bool {
	return d.input.Replacements[d.store.replacementOf(node)].Old.ID == node.spec.ID
}

// growDemand makes the demand grow beyond the planned demand while nodes are cordoned.
func growDemand(f *faults) {
	withoutFaults(f)
	f.growAt, f.growth = 7*time.Second, 2.5
}

// growDemandWhileCordoned delays new states at the proxies, so that the demand grows while cordons wait for confirmation.
func growDemandWhileCordoned(f *faults) {
	withoutFaults(f)
	f.propagation = 0.01
	f.growAt, f.growth = 12*time.Second, 5
}

// maxSeeds is the number of seeds within which a planted fault must be found.
const maxSeeds = 40

// scenarioCache caches scenarios by seed.
type scenarioCache map[uint64]*scenario

func (c scenarioCache) get(seed uint64) *scenario {
	if c[seed] == nil {
		c[seed] = drawScenario(seed)
	}
	return c[seed]
}

// Guards against a checker that misses violations: for each planted fault, the expected rule must be violated within
// maxSeeds runs.
func TestPlantedFaultsAreFound(t *testing.T) {
	cases := map[string]struct {
		planted plantedFault
		want    rule
		adjust  func(*faults) // nil: the default faults
	}{
		"false confirmation by proxies":       {faultFalseConfirmation, ruleLost, func(f *faults) { f.propagation, f.killFraction = 0.002, 0 }},
		"responses in flight not counted":     {faultNothingInFlight, ruleLost, nil},
		"requests in flight not counted":      {faultArrivedOnly, ruleLost, func(f *faults) { f.maxSendDelay = 10 * maxSendDelay }},
		"migrated streams restarted":          {faultStreamsRestart, ruleDuplicated, withoutFaults},
		"measured demand too low":             {faultLowLoad, ruleCapacity, growDemand},
		"measured demand stale":               {faultStaleLoad, ruleReaction, growDemandWhileCordoned},
		"absent servers listed":               {faultAbsentServersListed, ruleLastServer, func(f *faults) { f.rate, f.only, f.maxDowntime = 2, crashServer, time.Minute }},
		"exchange of voters falsely reported": {faultFalseVotes, ruleVoters, nil},
		"unconditional store":                 {faultUnconditionalStore, ruleTransitions, nil},
		"no confirmation by proxies":          {faultNoConfirmation, ruleEnd, nil},
	}
	scenarios := scenarioCache{}
	for name, testCase := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= maxSeeds; seed++ {
				d := prepareRun(scenarios.get(seed), seed, testCase.planted, testCase.adjust)
				d.checker.onlyRule = testCase.want
				d.run()
				if len(d.checker.violations) > 0 {
					t.Logf("seed %d: %s", seed, d.checker.violations[0].text)
					return
				}
			}
			require.Fail(t, "planted fault not found within maxSeeds runs")
		})
	}
}
