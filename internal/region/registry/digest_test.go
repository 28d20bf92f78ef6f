package registry

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"fieldrelay/internal/testkit/digesttest"
)

var update = flag.Bool("update", false, "rewrite the recorded digests")

// Guards against refactorings that change the lists that control machines send each other, or the times of their polls.
func TestInventoriesHaveTheRecordedDigests(t *testing.T) {
	digesttest.Compare(t, "inventories", *update, func() *digesttest.Recorder {
		recorder := digesttest.New(5 * time.Second)
		s := newSimulation(t, 3)
		s.lossy = true
		s.watch = func(host string, action Action) {
			switch action := action.(type) {
			case StartPoll:
				recorder.Entry(s.now, "poll").Text(host)
			case SendList:
				recorder.Entry(s.now, "send").Text(host).Message(action.List)
			case ListChanged:
				recorder.Entry(s.now, "changed").Text(host)
			default:
				t.Errorf("unexpected type of action")
			}
		}
		s.run(60*time.Second, func() {
			if s.random.IntN(30) == 0 {
				s.injectFault()
			}
			for _, machine := range s.machines {
				recorder.Entry(s.now, "told").Text(machine.host).Message(machine.inventory.AdvertisedVersion()).Flag(machine.inventory.IsOwner())
			}
		})
		return recorder
	})
}

// Guards against refactorings that change the addresses that each control machine of a simulated deployment returns to
// clients of each region.
func TestDirectoryHasTheRecordedDigests(t *testing.T) {
	digesttest.Compare(t, "directory", *update, func() *digesttest.Recorder {
		recorder := digesttest.New(5 * time.Second)
		e := newSimulatedEdge(2)
		for range 400 {
			e.step()
			for index, agents := range e.control {
				members := agents.Refresh(e.now)
				for region := range edgeRegions {
					name := fmt.Sprintf("r%d", region)
					client := Client{Region: name, Zone: name + "-z0", HomeRegions: unreadableHomes}
					entry := recorder.Entry(e.now, "named").Number(uint64(index)).Number(uint64(region))
					for _, address := range members.Endpoints(e.now, client, uint64(e.now)) {
						entry.Text(address)
					}
				}
			}
		}
		return recorder
	})
}

// Guards against refactorings that change the actions of a lag monitor. Agents are partitioned, proxies restart, and
// one proxy applies no changes.
func TestLagMonitorHasTheRecordedDigests(t *testing.T) {
	digesttest.Compare(t, "lateness", *update, func() *digesttest.Recorder {
		recorder := digesttest.New(5 * time.Second)
		e := newFollowingEdge(4)
		e.hosts[3].stuck = true
		e.hosts[3].reportInterval = 2200 * time.Millisecond
		recorded := 0
		for e.now < followTime {
			e.step()
			// The order in which agents are evaluated is unspecified; the actions of one agent are in order.
			actions := slices.Clone(e.events[recorded:])
			slices.SortStableFunc(actions, func(a, b Action) int { return strings.Compare(hostOf(a), hostOf(b)) })
			for _, action := range actions {
				recordLagAction(t, recorder, e.now, action)
			}
			recorded = len(e.events)
		}
		recorder.Entry(e.now, "violations").Number(e.monitor.Stats(e.now).Violations)
		return recorder
	})
}

func hostOf(action Action) string {
	switch action := action.(type) {
	case AgentLagging:
		return action.Host
	case AgentCaughtUp:
		return action.Host
	case ProxyBoundExceeded:
		return action.Host
	}
	return ""
}

func recordLagAction(t *testing.T, recorder *digesttest.Recorder, now time.Duration, action Action) {
	switch action := action.(type) {
	case AgentLagging:
		recorder.Entry(now, "behind").Text(action.Host).Number(action.Reported).Number(action.Committed).
			Time(action.Lag).Flag(action.Ready)
	case AgentCaughtUp:
		recorder.Entry(now, "caught-up").Text(action.Host).Number(action.Reported).Time(action.LongestLag).Flag(action.LostContact)
	case ProxyBoundExceeded:
		recorder.Entry(now, "late").Text(action.Host).Number(action.Reported).Number(action.Committed).
			Time(action.Lag).Time(action.Bound)
	default:
		t.Errorf("unexpected type of action")
	}
}
