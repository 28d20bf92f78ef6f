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
	// quorumCheckResendInterval is the time after which the voters are queried again.
	quorumCheckResendInterval = 300 * time.Millisecond
)

// quorumChecks holds results back until a majority of the voters has confirmed that it knows of no later view, like
// Raft's ReadIndex for reads. A later view that was decided before the check began was accepted by a majority, which
// shares a voter with the confirming majority; that voter would not have confirmed. So the view in force was the newest
// view when the check began, and the state that the result depends on was the newest state.
type quorumChecks struct {
	clock      *clock
	replica    *chain.Replica
	electorate *electorate
	output     *stepOutput
	ids        *idSequence

	pending []*quorumCheck
}

// quorumCheck is one result that waits for the confirmation of a majority.
type quorumCheck struct {
	id      uint64
	to      *pb.Replica
	result  *pb.OrderResult
	read    *checkedRead // the read that the result answers; nil: the result does not answer a read and is complete
	votes   map[int]bool // voters that have confirmed, by their index in the view
	agreed  bool         // a majority has confirmed
	expires time.Duration
	sentAt  time.Duration
}

// checkedRead describes a read that waits for its quorum check; its result is the committed state at the time when the
// check completes.
type checkedRead struct {
	minSequence    uint64 // sequence that the committed state must reach before the read is answered
	originSequence uint64 // sequence of the committed state that the origin holds
}

// begin queries the voters; the result is sent when a majority has confirmed.
func (c *quorumChecks) begin(to *pb.Replica, result *pb.OrderResult) {
	c.add(to, result, nil)
}

// beginRead queries the voters; the result is sent when a majority has confirmed and the committed state has reached
// minSequence.
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

// contains reports whether the result of an order, identified by origin and id, waits for its check.
func (c *quorumChecks) contains(from *pb.Replica, id uint64) bool {
	return slices.ContainsFunc(c.pending, func(check *quorumCheck) bool {
		return check.to.GetIdentity() == from.GetIdentity() && check.result.GetId() == id
	})
}

// reset drops all checks at a view change, since they belong to the previous view.
func (c *quorumChecks) reset() { c.pending = nil }

// receive handles a voter's answer to a quorum check.
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

// sendComplete sends the results whose checks are complete.
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

// outcome returns the result to send. For a read it contains the configuration, unless the origin holds the newest
// state itself.
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

// tick drops the expired checks and queries the voters again for the remaining checks. This machine's own answer is
// handled at once and may complete a check, so the loop iterates over a copy of the list.
func (c *quorumChecks) tick() {
	c.pending = slices.DeleteFunc(c.pending, func(check *quorumCheck) bool { return c.clock.now >= check.expires })
	for _, check := range slices.Clone(c.pending) {
		if !check.agreed && c.clock.now-check.sentAt >= quorumCheckResendInterval {
			c.queryVoters(check)
		}
	}
}
