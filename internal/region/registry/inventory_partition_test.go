package registry

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

const (
	// longestPartition is the maximum time for which a machine is partitioned.
	longestPartition = 22 * time.Second
	// maxRegression bounds by how much the content of a list may be older than the content of the list that it
	// replaces: an owner whose polls fail keeps its role until staleThreshold, and a poll takes at most PollTimeout.
	maxRegression = staleThreshold + PollTimeout
)

// contentHistory records the times at which the platform's list had each content.
type contentHistory struct {
	lastPresent map[string]time.Duration // last time at which the platform's list had a content, by former content
	current     string                   // present content of the platform's list
}

func contentOf(servers []*pb.Server) string {
	var ids []string
	for _, server := range servers {
		ids = append(ids, server.GetId())
	}
	slices.Sort(ids)
	return strings.Join(ids, " ")
}

// lastPresentAt returns the last time at which the platform's list had the content of the given list.
func (c *contentHistory) lastPresentAt(now time.Duration, list *ServerList) time.Duration {
	content := contentOf(list.servers)
	if content == c.current {
		return now
	}
	return c.lastPresent[content]
}

// partitionSimulation is a simulation in which machines are partitioned from the others, and sometimes also from the
// platform.
type partitionSimulation struct {
	*simulation
	contents             contentHistory
	previous             []*ServerList
	worstRegression      time.Duration // maximum time by which a list was older than the list that it replaced
	confirmsWithoutPolls bool          // injected fault: the owner's list counts as confirmed though no poll succeeds
}

func newPartitionSimulation(t *testing.T, seed uint64) *partitionSimulation {
	c := &partitionSimulation{simulation: newSimulation(t, seed)}
	c.contents = contentHistory{lastPresent: make(map[string]time.Duration), current: contentOf(c.servers)}
	c.previous = make([]*ServerList, len(c.machines))
	return c
}

// observe is called at every step. It may change the servers, and records the regressions of all machines' lists.
func (c *partitionSimulation) observe() {
	if c.random.IntN(60) == 0 {
		c.changeServers()
		c.contents.lastPresent[c.contents.current] = c.now
		c.contents.current = contentOf(c.servers)
	}
	for index, machine := range c.machines {
		if c.confirmsWithoutPolls && machine.inventory.IsOwner() {
			machine.inventory.current = machine.inventory.current.confirmed(c.now)
		}
		list := machine.inventory.Current()
		before := c.previous[index]
		c.previous[index] = list
		if before == nil || list == nil || before.version == list.version {
			continue
		}
		back := c.contents.lastPresentAt(c.now, before) - c.contents.lastPresentAt(c.now, list)
		c.worstRegression = max(c.worstRegression, back)
	}
}

// partition partitions a machine from the others for a while, in one direction or both. The platform may be unreachable
// for a part of that time, and beyond it.
func (c *partitionSimulation) partition() {
	machine := c.machines[c.random.IntN(len(c.machines))]
	span := time.Duration(c.random.Int64N(int64(longestPartition)))
	reachableFor := time.Duration(c.random.Int64N(int64(longestPartition)))
	direction := c.random.IntN(4)
	machine.sendsNothing, machine.receivesNothing = direction != 0, direction != 1
	c.run(min(span, reachableFor), c.observe)
	machine.platformUnreachable = c.random.IntN(4) > 0
	c.run(max(0, span-reachableFor), c.observe)
	machine.sendsNothing, machine.receivesNothing = false, false
	c.run(time.Duration(c.random.Int64N(int64(4*time.Second))), c.observe)
	machine.platformUnreachable = false
	c.run(time.Duration(c.random.Int64N(int64(4*time.Second))), c.observe)
}

func TestListOfAPartitionedMachineReplacesNoLaterList(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(100) {
		c := newPartitionSimulation(t, seed)
		c.run(5*time.Second, c.observe)
		for range 4 {
			c.partition()
			require.LessOrEqual(t, c.worstRegression, maxRegression, "seed %d", seed)
		}
		worst = max(worst, c.worstRegression)
		c.heal()
		c.run(12*time.Second, func() {})
		c.requireAgreement()
	}
	t.Logf("the longest regression of a list was %v", worst)
}

func TestAgeIsWhatKeepsAnOldListFromReplacingALaterOne(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(20) {
		c := newPartitionSimulation(t, seed)
		c.confirmsWithoutPolls = true
		c.run(5*time.Second, c.observe)
		for range 4 {
			c.partition()
		}
		worst = max(worst, c.worstRegression)
	}
	require.Greater(t, worst, maxRegression)
}

// Guards against two sides of a partition that exceed the platform's rate: both sides poll, and together they must stay
// below the rate.
func TestPartitionedMachinePollsManyPagesLessOften(t *testing.T) {
	inventory, now := newOwner(t, serverNamed("a"))
	inventory.lastPages = 28
	polls := 0
	for end := now + 40*time.Second; now < end; now += 100 * time.Millisecond {
		for range inventory.Step(now, Tick{LiveHosts: []string{"m1"}, Partitioned: true}) {
			polls++
			inventory.Step(now, PollDone{SentAt: now, Pages: 28, Servers: []*pb.Server{serverNamed("a")}})
		}
	}
	require.InDelta(t, 40/8, polls, 1, "28 pages at a twelfth of 42 calls per second take eight seconds per poll")
}

// Guards against a machine that stays without a list while the platform is unreachable for all machines: an owner sends
// a stale list to machines that have no list, and only to them.
func TestAnOldListIsSentToAMachineWithoutOneAlone(t *testing.T) {
	inventory, now := newOwner(t, serverNamed("a"))
	now += staleThreshold
	for now < 2*staleThreshold+time.Second {
		now += 100 * time.Millisecond
		inventory.Step(now, Tick{LiveHosts: []string{"m1", "m2"}})
		inventory.Step(now, PollDone{SentAt: now, Pages: 1, Failed: true})
	}
	require.Empty(t, inventory.AdvertisedVersion().GetHolder())
	require.Empty(t, inventory.Step(now, VersionObserved{Version: &pb.ListVersion{Epoch: 1, Holder: "m2", Revision: 1}, Peer: true}))
	require.Len(t, inventory.Step(now, VersionObserved{Peer: true}), 1)
}
