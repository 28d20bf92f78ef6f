package register

import (
	"testing"

	"pgregory.net/rapid"

	pb "fieldrelay/api/fieldrelay/v1"
)

// unorderedCluster is a cluster of three voters, two of which propose and one of which loses power. Its messages may be
// reordered, duplicated and lost.
type unorderedCluster struct {
	*rapid.T
	cluster  *cluster
	lastID   uint64
	floors   map[uint64]uint64 // by call, the highest number assigned before the call was submitted
	assigned map[uint64]uint64 // by number, the call that received it
	highest  uint64
	checked  map[*member]int // number of results already checked
}

func TestNumbersRiseInAnyOrderOfMessages(t *testing.T) {
	const checksInHundreds = 10
	for range checksInHundreds {
		rapid.Check(t, checkAnyOrder)
	}
}

func checkAnyOrder(t *rapid.T) {
	run := &unorderedCluster{
		T: t, cluster: newActiveCluster("a", "b", "c"),
		floors: make(map[uint64]uint64), assigned: make(map[uint64]uint64), checked: make(map[*member]int),
	}
	run.cluster.members["c"].slowDisk = true
	for range rapid.IntRange(10, 120).Draw(t, "steps") {
		run.step()
		run.check()
	}
}

func (r *unorderedCluster) step() {
	switch rapid.IntRange(0, 15).Draw(r.T, "action") {
	case 0, 1, 2:
		r.submit(rapid.SampledFrom([]string{"a", "b"}).Draw(r.T, "proposer"))
	case 3:
		r.cluster.advanceClock(resendInterval)
		r.cluster.tick("a", "b", "c")
	case 4:
		r.cluster.members["c"].restart(firstEpoch("a", "b", "c"))
	case 5, 6:
		r.cluster.members["c"].sync()
	case 7:
		r.deliver(true)
	case 8:
		r.drop()
	default:
		r.deliver(false)
	}
}

func (r *unorderedCluster) submit(proposer string) {
	r.lastID++
	r.floors[r.lastID] = r.highest
	r.cluster.members[proposer].submit(numberCall(r.lastID))
}

// take draws a message in flight, and removes it unless stays is set. It returns false if there is none.
func (r *unorderedCluster) take(stays bool) (sentMessage, bool) {
	wire := r.cluster.wire
	if len(wire) == 0 {
		return sentMessage{}, false
	}
	index := rapid.IntRange(0, len(wire)-1).Draw(r.T, "message")
	taken := wire[index]
	if !stays {
		r.cluster.wire = append(wire[:index:index], wire[index+1:]...)
	}
	return taken, true
}

func (r *unorderedCluster) deliver(again bool) {
	if taken, found := r.take(again); found {
		r.cluster.members[taken.to].receive(&pb.Replica{Identity: taken.from}, taken.message)
	}
}

func (r *unorderedCluster) drop() { r.take(false) }

// check requires that every number assigned since the last check is new, and higher than all numbers assigned before
// its call was submitted.
func (r *unorderedCluster) check() {
	for _, proposer := range []string{"a", "b"} {
		answered := r.cluster.members[proposer]
		for _, result := range answered.results[r.checked[answered]:] {
			r.checkResult(result)
		}
		r.checked[answered] = len(answered.results)
	}
}

func (r *unorderedCluster) checkResult(result *pb.CoordinationResult) {
	if result.GetOutcome() != ok {
		return
	}
	number, id := result.GetNumber(), result.GetId()
	if other, isGiven := r.assigned[number]; isGiven {
		r.Fatalf("number %d was assigned to calls %d and %d", number, other, id)
	}
	if number <= r.floors[id] {
		r.Fatalf("call %d was assigned number %d although %d had been assigned before the call", id, number, r.floors[id])
	}
	r.assigned[number] = id
	r.highest = max(r.highest, number)
}
