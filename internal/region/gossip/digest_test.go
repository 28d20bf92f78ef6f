package gossip

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"fieldrelay/internal/testkit/digesttest"
)

var update = flag.Bool("update", false, "rewrite the recorded digests")

// Guards against refactorings that change the messages that members send each other.
func TestSwarmHasTheRecordedDigests(t *testing.T) {
	digesttest.Compare(t, "swarm", *update, func() *digesttest.Recorder {
		recorder := digesttest.New(time.Second)
		s := newSwarm(t, 1, 60)
		s.loss = 0.3
		s.watch = func(i int, actions []Action) {
			for _, action := range actions {
				recordAction(t, recorder, s.now, i, action)
			}
		}
		for sequence := uint64(1); sequence <= 20; sequence++ {
			s.deliverEvent(s.random.IntN(len(s.machines)), UpdateReceived{
				Changes: changes(1, sequence),
				List:    list(sequence, fmt.Sprint("i-", sequence)),
			})
			s.rounds(200 * time.Millisecond)
		}
		s.replicas[0].history.Reset(20)
		s.rounds(15 * time.Second)
		for _, replica := range s.replicas {
			recorder.Entry(s.now, "end").Number(replica.Sequence()).Message(replica.Snapshot().Digests()).Message(replica.ListVersion())
		}
		return recorder
	})
}

func recordAction(t *testing.T, recorder *digesttest.Recorder, now time.Duration, from int, action Action) {
	begin := func(label string) *digesttest.Recorder { return recorder.Entry(now, label).Number(uint64(from)) }
	switch action := action.(type) {
	case Push:
		entry := begin("push").Text(action.To.Host).Text(action.To.Address).Number(uint64(len(action.Changes)))
		for _, change := range action.Changes {
			entry.Message(change)
		}
		entry.Message(action.List)
	case PushReply:
		begin("push-reply").Number(action.Sequence).Message(action.List)
	case Compare:
		begin("compare").Text(action.To.Host).Text(action.To.Address).Message(action.Digests).Message(action.List)
	case CompareReply:
		begin("compare-reply").Message(action.Response)
	default:
		t.Errorf("unexpected type of action")
	}
}
