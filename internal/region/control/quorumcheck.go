package control

import (
	"net/http"
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/quorum"
)

const (
	// maxQuorumChecks bounds the results that wait for a quorum check.
	maxQuorumChecks = 2 * maxPendingOrders
	// quorumCheckResendInterval is the wait before the voters are queried again.
	quorumCheckResendInterval = 300 * time.Millisecond
)

// quorumChecks holds results back until a majority of the voters knows of no later view, as Raft's ReadIndex does for
// reads. A view that was decided before the check began has been accepted by a majority, which shares a voter with the
// majority that answers; that voter would not agree. So the view was the newest one when the check began, and with it the
// state that the result rests on.
type quorumChecks struct {
	clock      *clock
	replica    *chain.Replica
	electorate *electorate
	output     *stepOutput
	ids        *idSequence

	pending []*quorumCheck
}

// quorumCheck is one result that waits.
type quorumCheck struct {
	id      uint64
	to      *pb.Replica
	result  *pb.OrderResult
	read    *checkedRead // nil: the result is complete
	votes   map[int]bool // by index among the voters
	agreed  bool         // by a majority
	expires time.Duration
	sentAt  time.Duration
}

// checkedRead is a read whose result waits: it tells the committed state.
type checkedRead struct {
	minSequence    uint64 // sequence that the state must have reached
	originSequence uint64 // sequence of the state that the origin holds
}

// begin asks the voters; the result leaves when a majority has agreed.
func (c *quorumChecks) begin(to *pb.Replica, result *pb.OrderResult) {
	c.add(to, result, nil)
}

// beginRead asks the voters; the result leaves when a majority has agreed and the state has reached a sequence.
func (c *quorumChecks) beginRead(to *pb.Replica, order *pb.Order, minSequence uint64) {
	result := &pb.OrderResult{Id: order.GetId(), Status: http.StatusOK}
	c.add(to, result, &checkedRead{minSequence: minSequence, originSequence: order.GetHeld()})
}

func (c *quorumChecks) add(to *pb.Replica, result *pb.OrderResult, read *checkedRead) {
	if len(c.pending) >= maxQuorumChecks {
		c.output.sendResult(to, unavailable(result.GetId()))
		return
	}
	check := &quorumCheck{
		id:      c.ids.next(),
		to:      to,
		result:  result,
		read:    read,
		votes:   make(map[int]bool),
		expires: c.clock.now + orderTimeout,
	}
	c.pending = append(c.pending, check)
	c.queryVoters(check)
}

func (c *quorumChecks) queryVoters(check *quorumCheck) {
	check.sentAt = c.clock.now
	c.electorate.sendToAll(&pb.Message{Body: &pb.Message_ViewCheck{ViewCheck: &pb.ViewCheck{
		Id:         check.id,
		ViewNumber: viewInForce(c.replica).GetNumber(),
	}}})
}

// contains reports whether the result of an order waits for its check.
func (c *quorumChecks) contains(from *pb.Replica, id uint64) bool {
	return slices.ContainsFunc(c.pending, func(check *quorumCheck) bool {
		return check.to.GetIdentity() == from.GetIdentity() && check.result.GetId() == id
	})
}

// reset drops all checks: they were of a view that was replaced.
func (c *quorumChecks) reset() { c.pending = nil }

// receive takes a voter's answer.
func (c *quorumChecks) receive(from *pb.Replica, answer *pb.ViewCheckResult) {
	view := viewInForce(c.replica)
	voter := quorum.VoterIndex(view, from)
	if answer.GetViewNumber() != view.GetNumber() || !answer.GetCurrent() || voter == quorum.NotFound {
		return
	}
	index := slices.IndexFunc(c.pending, func(check *quorumCheck) bool { return check.id == answer.GetId() })
	if index < 0 {
		return
	}
	check := c.pending[index]
	check.votes[voter] = true
	check.agreed = len(check.votes) >= quorum.Majority(view)
	c.sendComplete()
}

// sendComplete sends the results that wait for nothing any more.
func (c *quorumChecks) sendComplete() {
	for {
		index := slices.IndexFunc(c.pending, c.isComplete)
		if index < 0 {
			return
		}
		check := c.pending[index]
		c.pending = slices.Delete(c.pending, index, index+1)
		c.output.sendResult(check.to, c.outcome(check))
	}
}

func (c *quorumChecks) isComplete(check *quorumCheck) bool {
	if !check.agreed || check.read == nil {
		return check.agreed
	}
	return c.replica.KnowsCommitted() && c.replica.Committed().Sequence() >= check.read.minSequence
}

// outcome is the result, with the configuration if it is that of a read whose origin lacks it.
func (c *quorumChecks) outcome(check *quorumCheck) *pb.OrderResult {
	if check.read == nil {
		return check.result
	}
	committed := c.replica.Committed()
	if check.read.originSequence == committed.Sequence() {
		check.result.HeldIsNewest = true
		return check.result
	}
	return readResult(check.result.GetId(), committed)
}

// tick drops the checks whose time is up and asks again for the others. Asking this machine itself may complete a check,
// hence the copy of the list.
func (c *quorumChecks) tick() {
	c.pending = slices.DeleteFunc(c.pending, func(check *quorumCheck) bool { return c.clock.now >= check.expires })
	for _, check := range slices.Clone(c.pending) {
		if !check.agreed && c.clock.now-check.sentAt >= quorumCheckResendInterval {
			c.queryVoters(check)
		}
	}
}
