package simulate

import (
	"fieldrelay/internal/migration/execute"
	"fieldrelay/internal/migration/room"
)

// flaw is a fault that is planted in what an executor rests on, to see that the checker finds it.
type flaw uint8

const (
	noFlaw          flaw = iota
	flawConfirms         // proxies are said to know what they do not
	flawNothing          // open replies are not counted
	flawSeesArrived      // requests on their way are not counted, and are not waited for
	flawMovesAnew        // proxies begin moved streams from their beginning
	flawLittleLoad       // a tenth of the demand is measured
	flawOldLoad          // the demand is that of the plan
	flawGhosts           // servers that are gone are listed as serving
	flawSwapped          // voters are said to be exchanged that are not
	flawStoresAll        // the chain takes any state
	flawDeaf             // proxies never confirm
)

// distort changes an observation as the flaw has it.
func (f flaw) distort(w *world, seen *execute.Observation) {
	switch f {
	case flawConfirms:
		seen.ConfirmedRevision = ^uint64(0)
	case flawNothing:
		for id, status := range seen.Nodes {
			status.InFlight = 0
			seen.Nodes[id] = status
		}
	case flawLittleLoad:
		for index := range seen.Loads {
			seen.Loads[index].Required = seen.Loads[index].Required.Scale(0.1)
		}
	case flawOldLoad:
		seen.Loads = w.input.Demand.Periods[0].Loads
	case flawGhosts:
		for _, one := range w.order {
			if one.spec.Kind == room.Server && !one.ready(w.now) {
				seen.Fleet = append(seen.Fleet, one.spec)
			}
		}
	case flawSwapped:
		for _, one := range w.order {
			status, present := seen.Nodes[one.spec.ID]
			if present && one.spec.Kind == room.Core {
				status.Votes = !isOld(w, one)
				seen.Nodes[one.spec.ID] = status
			}
		}
	case flawDeaf:
		seen.ConfirmedRevision = 0
	}
}

func isOld(w *world, one *node) bool {
	return w.input.Replacements[w.store.replacementOf(one)].Old.ID == one.spec.ID
}
