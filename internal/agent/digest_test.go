package agent

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/digesttest"
	"fieldrelay/internal/shuffle"
)

var update = flag.Bool("update", false, "record the digests of the runs anew")

// A change that should change no behaviour changes no call of any agent, to its proxy, to control or to another agent.
func TestStormsHaveTheRecordedDigests(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		name := fmt.Sprintf("storm-%d", seed)
		t.Run(name, func(t *testing.T) {
			digesttest.Compare(t, name, *update, func() *digesttest.Recorder {
				recorder := digesttest.New(time.Second)
				m := newModel(seed, 3, 6)
				m.watch = func(who *modelAgent, happened event, wanted []action) {
					recordAnswers(recorder, who, happened)
					for _, one := range wanted {
						recordCall(recorder, who, one)
					}
				}
				require.True(t, m.let(before))
				m.storm(m.now + 8*time.Second)
				require.True(t, m.let(300))
				for _, one := range m.agents[:2] {
					one.deliver(shutdownRequested{})
				}
				m.runUntil(5*time.Second, func() bool { return false })
				require.Empty(t, m.failures)
				for _, one := range m.agents {
					recorder.Entry(m.now, "end").Number(one.proxy.replica.Sequence()).Message(one.proxy.replica.Snapshot().Digests())
				}
				return recorder
			})
		})
	}
}

func recordNeighbours(entry *digesttest.Recorder, neighbours ...shuffle.Neighbour) {
	entry.Number(uint64(len(neighbours)))
	for _, one := range neighbours {
		entry.Text(one.Host).Text(one.Address).Text(one.Zone).Text(one.Region).Number(uint64(one.Age))
	}
}

func recordCall(recorder *digesttest.Recorder, who *modelAgent, wanted action) {
	begin := func(label string) *digesttest.Recorder {
		return recorder.Entry(who.model.now, label).Text(who.self.Host).Number(who.incarnation)
	}
	switch wanted := wanted.(type) {
	case watchCall:
		label := map[watchKind]string{watchLongPoll: "watch", watchNotice: "notice", watchProbe: "probe"}[wanted.kind]
		begin(label).Number(wanted.id).Text(wanted.address).Message(wanted.request).
			Time(wanted.started).Time(wanted.dialTimeout).Time(wanted.timeout)
	case proxyCall:
		begin("feed").Message(wanted.apply)
	case shuffleCall:
		entry := begin("shuffle")
		recordNeighbours(entry, wanted.To, wanted.From)
		recordNeighbours(entry, wanted.Sample...)
	case pushCall:
		entry := begin("push").Number(uint64(len(wanted.Changes)))
		for _, change := range wanted.Changes {
			entry.Message(change)
		}
		recordNeighbours(entry.Message(wanted.List), wanted.To)
	case compareCall:
		recordNeighbours(begin("compare").Message(wanted.Digests).Message(wanted.List), wanted.To)
	default:
		who.model.fail("an action that the digests do not know")
	}
}

// recordAnswers takes in what an agent answered to another one's call. Its answer stays where it is for the caller.
func recordAnswers(recorder *digesttest.Recorder, who *modelAgent, happened event) {
	begin := func(label string) *digesttest.Recorder {
		return recorder.Entry(who.model.now, label).Text(who.self.Host).Number(who.incarnation)
	}
	switch happened := happened.(type) {
	case shuffleRequested:
		begin("shuffle-asked").Message(happened.request)
	case pushRequested:
		begin("push-asked").Message(happened.request).Number(who.core.replica.Sequence())
	case compareRequested:
		begin("compare-asked").Message(happened.request)
	case compareDone:
		begin("compare-done").Flag(happened.err != nil).Message(happened.response)
	case shuffleDone:
		begin("shuffle-done").Flag(happened.err != nil).Message(happened.response)
	case pushDone:
		begin("push-done").Flag(happened.err != nil).Message(happened.response)
	}
}
