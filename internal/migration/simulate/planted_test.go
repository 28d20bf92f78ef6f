package simulate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// grows lets demand rise to what was not planned for while nodes are withheld.
func grows(f *faults) {
	calm(f)
	f.growAt, f.growth = 7*time.Second, 2.5
}

// growsWhileWithheld has proxies hear late, so that demand grows while nodes wait for them.
func growsWhileWithheld(f *faults) {
	calm(f)
	f.spread = 0.01
	f.growAt, f.growth = 12*time.Second, 5
}

// mostSeeds is the number of runs within which a planted fault must be found.
const mostSeeds = 40

// scenarioCache keeps what was drawn.
type scenarioCache map[uint64]*scenario

func (c scenarioCache) get(seed uint64) *scenario {
	if c[seed] == nil {
		c[seed] = drawScenario(seed)
	}
	return c[seed]
}

// Every rule is seen to catch a fault that is planted in what the executor rests on.
func TestPlantedFaultsAreFound(t *testing.T) {
	cases := map[string]struct {
		planted flaw
		want    rule
		adjust  func(*faults) // nil: the usual faults
	}{
		"proxies are said to know":              {flawConfirms, ruleLost, func(f *faults) { f.spread, f.killPart = 0.002, 0 }},
		"open replies are not counted":          {flawNothing, ruleLost, nil},
		"requests on their way are passed over": {flawSeesArrived, ruleLost, func(f *faults) { f.send = 10 * slowestSend }},
		"streams that are moved begin anew":     {flawMovesAnew, ruleDoubled, calm},
		"little demand is measured":             {flawLittleLoad, ruleRoom, grows},
		"demand is not measured again":          {flawOldLoad, ruleReaction, growsWhileWithheld},
		"servers that are gone are listed":      {flawGhosts, ruleLast, func(f *faults) { f.rate, f.only, f.back = 2, crashServer, time.Minute }},
		"voters are said to be exchanged":       {flawSwapped, ruleVoters, nil},
		"the chain takes any state":             {flawStoresAll, ruleSteps, nil},
		"proxies never confirm":                 {flawDeaf, ruleEnd, nil},
	}
	scenarios := scenarioCache{}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= mostSeeds; seed++ {
				w := prepared(scenarios.get(seed), seed, one.planted, one.adjust)
				w.checker.only = one.want
				w.play()
				if len(w.checker.violations) > 0 {
					t.Logf("seed %d: %s", seed, w.checker.violations[0].text)
					return
				}
			}
			require.Fail(t, "not found")
		})
	}
}
