package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// fakePeers implements Peers with fixed sets of failed and leaving machines.
type fakePeers struct {
	failed, leaving map[string]bool
}

func (p fakePeers) IsLive(identity string) bool    { return !p.failed[identity] }
func (p fakePeers) IsLeaving(identity string) bool { return p.leaving[identity] }

// fiveVoters returns the voters v0 to v4: three in region r, two in region s.
func fiveVoters() []*pb.Replica {
	var voters []*pb.Replica
	for index, region := range []string{"r", "r", "r", "s", "s"} {
		voters = append(voters, &pb.Replica{Identity: fmt.Sprintf("v%d", index), Region: region})
	}
	return voters
}

func countProposers(now time.Duration, chosenBy *routing) map[string]int {
	counts := make(map[string]int)
	for index := range 300 {
		counts[chosenBy.proposerFor(now, fmt.Sprintf("lock/l%d", index), fiveVoters()).GetIdentity()]++
	}
	return counts
}

func TestProposersAreSpreadOverTheLargestRegion(t *testing.T) {
	counts := countProposers(0, newRouting(fakePeers{}))
	require.Len(t, counts, 3)
	for _, identity := range []string{"v0", "v1", "v2"} {
		assert.Greater(t, counts[identity], 60)
	}
}

func TestProposerOfARegisterStaysWhenAnotherOneFails(t *testing.T) {
	before := newRouting(fakePeers{})
	after := newRouting(fakePeers{failed: map[string]bool{"v1": true, "v4": true}})
	for index := range 100 {
		register := fmt.Sprintf("lock/l%d", index)
		chosen := before.proposerFor(0, register, fiveVoters()).GetIdentity()
		if chosen != "v1" {
			assert.Equal(t, chosen, after.proposerFor(0, register, fiveVoters()).GetIdentity())
		}
	}
}

func TestMachinesThatFailedOrLeaveDoNotPropose(t *testing.T) {
	chosenBy := newRouting(fakePeers{failed: map[string]bool{"v0": true}, leaving: map[string]bool{"v1": true}})
	counts := countProposers(0, chosenBy)
	assert.Len(t, counts, 2)
	assert.Zero(t, counts["v0"]+counts["v1"])
}

func TestProposerIsChosenEvenIfNoneIsAvailable(t *testing.T) {
	all := map[string]bool{"v0": true, "v1": true, "v2": true, "v3": true, "v4": true}
	assert.NotEmpty(t, countProposers(0, newRouting(fakePeers{failed: all})))
	assert.Nil(t, newRouting(fakePeers{}).proposerFor(0, "lock/l", nil))
}

func TestMachineThatDidNotAnswerIsAvoidedForAWhile(t *testing.T) {
	chosenBy := newRouting(fakePeers{})
	chosenBy.suspect(time.Minute, "v0")
	assert.Zero(t, countProposers(time.Minute, chosenBy)["v0"])
	assert.Positive(t, countProposers(time.Minute+suspicionTimeout, chosenBy)["v0"])
	chosenBy.clearSuspicion("v0")
	assert.Positive(t, countProposers(time.Minute, chosenBy)["v0"])
}

func TestSuspicionOfAMachineThatNoLongerVotesIsForgotten(t *testing.T) {
	chosenBy := newRouting(fakePeers{})
	chosenBy.suspect(0, "v0")
	chosenBy.suspect(0, "old")
	chosenBy.retainVoters(fiveVoters())
	assert.Len(t, chosenBy.suspectedUntil, 1)
}
