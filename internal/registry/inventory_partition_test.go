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
	// longestCut is how long a machine may be cut off.
	longestCut = 22 * time.Second
	// mayGoBack is how much older the content of a list may be than that of the one which it replaces: a holder
	// whose readings fail counts until staleThreshold, and a reading takes PollTimeout at most.
	mayGoBack = staleThreshold + PollTimeout
)

// contents remembers when the platform's list said what.
type contents struct {
	since map[string]time.Duration // by content: until when the platform last said so
	now   string
}

func contentOf(servers []*pb.Server) string {
	var ids []string
	for _, server := range servers {
		ids = append(ids, server.GetId())
	}
	slices.Sort(ids)
	return strings.Join(ids, " ")
}

// lastTrue is when the platform's list last said what a list says.
func (c *contents) lastTrue(now time.Duration, list *ServerList) time.Duration {
	content := contentOf(list.servers)
	if content == c.now {
		return now
	}
	return c.since[content]
}

// cutting is a simulation in which machines are cut off from the others, with and without the platform.
type cutting struct {
	*simulation
	contents contents
	held     []*ServerList
	worst    time.Duration // by which a list went back
	trusting bool          // the planted fault: a list counts as news though no reading succeeds
}

func newCutting(t *testing.T, seed uint64) *cutting {
	c := &cutting{simulation: newSimulation(t, seed)}
	c.contents = contents{since: make(map[string]time.Duration), now: contentOf(c.servers)}
	c.held = make([]*ServerList, len(c.machines))
	return c
}

// look is called at every step.
func (c *cutting) look() {
	if c.random.IntN(60) == 0 {
		c.changeServers()
		c.contents.since[c.contents.now] = c.now
		c.contents.now = contentOf(c.servers)
	}
	for index, machine := range c.machines {
		if c.trusting && machine.inventory.IsOwner() {
			machine.inventory.current = machine.inventory.current.confirmed(c.now)
		}
		list := machine.inventory.Current()
		before := c.held[index]
		c.held[index] = list
		if before == nil || list == nil || before.version == list.version {
			continue
		}
		back := c.contents.lastTrue(c.now, before) - c.contents.lastTrue(c.now, list)
		c.worst = max(c.worst, back)
	}
}

// cutOff cuts a machine off for a while, one way or both; the platform is out of its reach for a part of it, and
// perhaps beyond.
func (c *cutting) cutOff() {
	machine := c.machines[c.random.IntN(len(c.machines))]
	span := time.Duration(c.random.Int64N(int64(longestCut)))
	sighted := time.Duration(c.random.Int64N(int64(longestCut)))
	direction := c.random.IntN(4)
	machine.mute, machine.deaf = direction != 0, direction != 1
	c.run(min(span, sighted), c.look)
	machine.blind = c.random.IntN(4) > 0
	c.run(max(0, span-sighted), c.look)
	machine.mute, machine.deaf = false, false
	c.run(time.Duration(c.random.Int64N(int64(4*time.Second))), c.look)
	machine.blind = false
	c.run(time.Duration(c.random.Int64N(int64(4*time.Second))), c.look)
}

func TestAListOfACutOffMachineUndoesNoLaterOne(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(100) {
		c := newCutting(t, seed)
		c.run(5*time.Second, c.look)
		for range 4 {
			c.cutOff()
			require.LessOrEqual(t, c.worst, mayGoBack, "seed %d", seed)
		}
		worst = max(worst, c.worst)
		c.calm()
		c.run(12*time.Second, func() {})
		c.requireAgreement()
	}
	t.Logf("lists went back by %v at most", worst)
}

func TestAgeIsWhatKeepsAnOldListFromReplacingALaterOne(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(20) {
		c := newCutting(t, seed)
		c.trusting = true
		c.run(5*time.Second, c.look)
		for range 4 {
			c.cutOff()
		}
		worst = max(worst, c.worst)
	}
	require.Greater(t, worst, mayGoBack)
}

// Each part of a core that is cut into many reads the list, and together they keep to the platform's rate.
func TestAMachineThatIsApartReadsManyPagesLessOften(t *testing.T) {
	inventory, now := holding(t, serverNamed("a"))
	inventory.lastPages = 28
	polls := 0
	for end := now + 40*time.Second; now < end; now += 100 * time.Millisecond {
		for range inventory.Step(now, Tick{LiveHosts: []string{"m1"}, Partitioned: true}) {
			polls++
			inventory.Step(now, PollDone{SentAt: now, Pages: 28, Servers: []*pb.Server{serverNamed("a")}})
		}
	}
	require.InDelta(t, 40/8, polls, 1, "28 pages at a twelfth of 42 a second: one reading in eight seconds")
}

// A machine that has no list gets even an old one: the platform may be out of reach of all.
func TestAnOldListIsSentToAMachineWithoutOneAlone(t *testing.T) {
	inventory, now := holding(t, serverNamed("a"))
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
