package shuffle

import (
	"flag"
	"testing"
	"time"

	"fieldrelay/internal/testkit/digesttest"
)

var update = flag.Bool("update", false, "record the digests of the runs again")

// Guards against a refactoring that changes the exchanges between members or their views.
func TestSwarmHasTheRecordedDigests(t *testing.T) {
	digesttest.Compare(t, "swarm", *update, func() *digesttest.Recorder {
		recorder := digesttest.New(10 * time.Second)
		s := newSwarm(t, 1)
		s.loss = 0.1
		s.onAction = func(host string, action Action) {
			switch action := action.(type) {
			case Exchange:
				entry := recorder.Entry(s.now, "exchange").Text(host)
				recordMembers(entry, action.To, action.From)
				recordMembers(entry, action.Sample...)
			case ExchangeReply:
				recordMembers(recorder.Entry(s.now, "answer").Text(host), action.Sample...)
			default:
				t.Errorf("action of unknown type is not recorded in the digests")
			}
		}
		s.bootstrapFromPredecessors(3)
		s.run(time.Minute)
		for _, i := range s.random.Perm(swarmSize)[:swarmSize/4] {
			s.dead[member(i).Host] = true
		}
		s.run(time.Minute)
		for _, view := range s.members {
			recordMembers(recorder.Entry(s.now, "end"), view.Neighbours()...)
		}
		return recorder
	})
}

func recordMembers(entry *digesttest.Recorder, members ...Neighbour) {
	entry.Number(uint64(len(members)))
	for _, neighbour := range members {
		entry.Text(neighbour.Host).Text(neighbour.Address).Text(neighbour.Zone).Text(neighbour.Region).Number(uint64(neighbour.Age))
	}
}
