package simulate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/migration/capacity"
	"fieldrelay/internal/region/migration/execute"
)

// plantedFault is a fault in what an executor relies on, planted to see that the checker finds its effect.
type plantedFault uint8

const (
	faultNone                plantedFault = iota
	faultFalseConfirmation                // proxies are said to have confirmed what they have not
	faultNothingInFlight                  // requests in flight are not counted
	faultArrivedOnly                      // requests on their way are neither counted nor waited for
	faultStreamsRestart                   // proxies begin migrated streams from their beginning
	faultLowLoad                          // a tenth of the demand is measured
	faultStaleLoad                        // the measured demand is that of the plan
	faultAbsentServersListed              // servers that are gone are listed as serving
	faultFalseVotes                       // voters are said to be exchanged that are not
	faultUnconditionalStore               // the chain stores any state
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

// growDemand lets demand grow beyond what was planned for while nodes are cordoned.
func growDemand(f *faults) {
	withoutFaults(f)
	f.growAt, f.growth = 7*time.Second, 2.5
}

// growDemandWhileCordoned delays new states at the proxies, so that demand grows while cordons wait for confirmation.
func growDemandWhileCordoned(f *faults) {
	withoutFaults(f)
	f.propagation = 0.01
	f.growAt, f.growth = 12*time.Second, 5
}

// maxSeeds is the number of runs within which a planted fault must be found.
const maxSeeds = 40

// scenarioCache keeps drawn scenarios by seed.
type scenarioCache map[uint64]*scenario

func (c scenarioCache) get(seed uint64) *scenario {
	if c[seed] == nil {
		c[seed] = drawScenario(seed)
	}
	return c[seed]
}

// Every rule is seen to catch a fault that is planted in what the executor relies on.
func TestPlantedFaultsAreFound(t *testing.T) {
	cases := map[string]struct {
		planted plantedFault
		want    rule
		adjust  func(*faults) // nil: the default faults
	}{
		"proxies are said to know":              {faultFalseConfirmation, ruleLost, func(f *faults) { f.propagation, f.killFraction = 0.002, 0 }},
		"open replies are not counted":          {faultNothingInFlight, ruleLost, nil},
		"requests on their way are passed over": {faultArrivedOnly, ruleLost, func(f *faults) { f.maxSendDelay = 10 * maxSendDelay }},
		"streams that are moved begin anew":     {faultStreamsRestart, ruleDuplicated, withoutFaults},
		"little demand is measured":             {faultLowLoad, ruleCapacity, growDemand},
		"demand is not measured again":          {faultStaleLoad, ruleReaction, growDemandWhileCordoned},
		"servers that are gone are listed":      {faultAbsentServersListed, ruleLastServer, func(f *faults) { f.rate, f.only, f.maxDowntime = 2, crashServer, time.Minute }},
		"voters are said to be exchanged":       {faultFalseVotes, ruleVoters, nil},
		"the chain takes any state":             {faultUnconditionalStore, ruleTransitions, nil},
		"proxies never confirm":                 {faultNoConfirmation, ruleEnd, nil},
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
			require.Fail(t, "not found")
		})
	}
}
