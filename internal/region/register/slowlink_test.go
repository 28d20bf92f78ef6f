package register

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// The smallest link of a control machine in the site files, and the time within which a machine that lost its disk must
// be back.
const (
	slowLinkBytesPerSecond = 30_000_000 / 8
	slowLinkDelay          = 12 * time.Millisecond
	syncTime               = 6 * time.Second
	testTick               = 150 * time.Millisecond
)

// slowLinks delivers the messages of a cluster over links of limited bandwidth: each machine sends and receives at
// slowLinkBytesPerSecond.
type slowLinks struct {
	*cluster
	sending   map[string]time.Duration // time until which the outgoing link of a machine is busy
	receiving map[string]time.Duration
	arrivals  []arrival
	received  map[string]int // bytes received by each machine
}

type arrival struct {
	at   time.Duration
	sent sentMessage
}

func newSlowLinks(c *cluster) *slowLinks {
	return &slowLinks{
		cluster: c, sending: make(map[string]time.Duration), receiving: make(map[string]time.Duration),
		received: make(map[string]int),
	}
}

// transmit puts the messages that were sent onto the links.
func (l *slowLinks) transmit() {
	for _, sent := range l.wire {
		if l.members[sent.to] == nil {
			continue
		}
		size := proto.Size(sent.message)
		duration := time.Duration(size) * time.Second / slowLinkBytesPerSecond
		start := max(l.now, l.sending[sent.from])
		l.sending[sent.from] = start + duration
		arrivesAt := max(start+slowLinkDelay, l.receiving[sent.to]) + duration
		l.receiving[sent.to] = arrivesAt
		l.received[sent.to] += size
		l.arrivals = append(l.arrivals, arrival{at: arrivesAt, sent: sent})
	}
	l.wire = nil
	sort.SliceStable(l.arrivals, func(i, j int) bool { return l.arrivals[i].at < l.arrivals[j].at })
}

// run advances the clock by the given time, with a tick of each machine every testTick.
func (l *slowLinks) run(duration time.Duration) {
	end := l.now + duration
	nextTick := l.now + testTick
	for {
		l.transmit()
		if len(l.arrivals) > 0 && l.arrivals[0].at <= min(nextTick, end) {
			next := l.arrivals[0]
			l.arrivals = l.arrivals[1:]
			l.now = max(l.now, next.at)
			l.members[next.sent.to].receive(&pb.Replica{Identity: next.sent.from}, next.sent.message)
			continue
		}
		if nextTick > end {
			l.now = end
			return
		}
		l.now = nextTick
		nextTick += testTick
		for _, member := range l.members {
			member.replica.Tick(l.now)
			member.proposers.Tick(l.now)
		}
	}
}

// groupOf returns a group with puts of 10 KiB each that have the given size together.
func groupOf(name string, bytes int) *pb.RegisterValue {
	const putBytes = 10 << 10
	value := strings.Repeat("x", putBytes)
	group := &pb.KeyGroupState{}
	for revision := uint64(1); int(revision)*putBytes <= bytes; revision++ {
		event := &pb.KeyEvent{Name: name + ".k", Value: fmt.Sprint(revision, value)[:putBytes], Revision: revision}
		group.Events = append(group.Events, event)
		group.Revision = revision
	}
	group.Keys = group.GetEvents()[len(group.GetEvents())-1:]
	return groupValue(group)
}

// fill restores groups of the given total size at each of the machines, as registers of an epoch.
func (c *cluster) fill(epoch uint64, groups, bytes int, identities ...string) {
	for _, identity := range identities {
		replica := c.members[identity].replica
		for index := range groups {
			name := fmt.Sprintf("g%02d", index)
			replica.Restore(&pb.RegisterRecord{
				Name:     name,
				Accepted: &pb.RegisterPosition{Epoch: epoch, Round: 1, Proposer: "a/1", Sequence: uint64(index + 1)},
				Change:   wholeChange(groupOf(name, bytes/groups)),
			})
		}
		replica.Restore(&pb.RegisterRecord{ActiveEpoch: epoch})
		replica.FinishRestore(c.now)
	}
}

// Guards against a voter whose disk was lost not being back within sync-s: all voters sent all of their registers to it
// again and again, so that its link carried nothing else.
func TestVoterThatLostItsDiskHoldsTheRegistersWithinTheSyncTime(t *testing.T) {
	const stateBytes = slowLinkBytesPerSecond * int(syncTime/time.Second) / 3
	for _, groups := range []int{4, 40} {
		t.Run(fmt.Sprint(groups), func(t *testing.T) {
			links := newSlowLinks(newCluster("b", "c", "d", "e", "f"))
			links.fill(1, groups, stateBytes, "b", "c", "d", "e")
			links.enter(firstEpoch("a", "b", "c", "d", "e"), "b", "c", "d", "e")
			links.enter(secondEpoch([]string{"a", "b", "c", "d", "e"}, "b", "c", "d", "e", "f"), "b", "c", "d", "e", "f")
			links.run(syncTime)
			for _, identity := range []string{"b", "c", "d", "e", "f"} {
				require.True(t, links.members[identity].replica.IsActive(), identity)
			}
			assert.Equal(t, groups, links.members["f"].replica.Len())
			assert.Less(t, links.received["f"], 2*stateBytes)
		})
	}
}

// Guards against calls that are not executed after a change of the proposer: it sent each group whole to every voter,
// and again at each timeout, although the voters held it.
func TestNewProposerDoesNotSendTheGroupAgain(t *testing.T) {
	const groupBytes = 1 << 20
	links := newSlowLinks(newActiveCluster("a", "b", "c"))
	for _, member := range links.members {
		member.replica.Restore(&pb.RegisterRecord{
			Name:     "x",
			Accepted: &pb.RegisterPosition{Epoch: 1, Round: 1, Proposer: "a/1", Sequence: 1},
			Change:   wholeChange(groupOf("x", groupBytes)),
		})
		member.replica.FinishRestore(links.now)
	}
	for id, proposer := range []string{"b", "c", "b"} {
		links.members[proposer].submit(eventCall(uint64(id+1), fmt.Sprint("value ", id)))
		links.run(time.Second)
		assert.Equal(t, ok, links.members[proposer].result(t, uint64(id+1)).GetOutcome())
	}
	for identity, received := range links.received {
		assert.Less(t, received, groupBytes/8, identity)
	}
}

// A voter that missed the newest value gets the whole group once, not again while it may still be on its way.
func TestVoterThatLagsIsSentALargeGroupOnce(t *testing.T) {
	const groupBytes = 1 << 20
	links := newSlowLinks(newActiveCluster("a", "b", "c"))
	for _, identity := range []string{"a", "b"} {
		member := links.members[identity]
		member.replica.Restore(&pb.RegisterRecord{
			Name:     "x",
			Accepted: &pb.RegisterPosition{Epoch: 1, Round: 1, Proposer: "a/1", Sequence: 1},
			Change:   wholeChange(groupOf("x", groupBytes)),
		})
		member.replica.FinishRestore(links.now)
	}
	for id := range uint64(8) {
		links.members["a"].submit(eventCall(id+1, fmt.Sprint("value ", id)))
		links.run(100 * time.Millisecond)
	}
	links.run(time.Second)
	assert.Equal(t, ok, links.members["a"].result(t, 8).GetOutcome())
	assert.Less(t, links.received["c"], 2*groupBytes)
	// The next call brings the voter up to date.
	links.members["a"].submit(eventCall(9, "last"))
	links.run(2 * time.Second)
	assert.Zero(t, ComparePositions(links.members["a"].replica.localState("x").accepted, links.members["c"].replica.localState("x").accepted))
}
