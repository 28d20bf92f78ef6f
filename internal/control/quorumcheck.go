package control

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/quorum"
)

const (
	// maxQuorumChecks bounds the results that wait for a check of the view.
	maxQuorumChecks = 2 * maxPendingOrders
	// quorumCheckResendInterval is the wait before the voters are asked again.
	quorumCheckResendInterval = 300 * time.Millisecond
)

// quorumChecks are results that may only leave when a majority of the voters knows of no later view: the state
// that they rest on was then the newest one.
type quorumChecks struct {
	pending []*quorumCheck
	next    uint64 // id
}

type quorumCheck struct {
	id      uint64
	to      *pb.Replica
	result  *pb.OrderResult
	read    *catalog.Snapshot // whose configuration becomes the body of the result; nil: the result is whole
	votes   map[int]bool      // by index among the voters
	expires time.Duration
	sentAt  time.Duration
}

// check asks the voters and sends the result when a majority has answered well.
func (m *Machine) check(to *pb.Replica, result *pb.OrderResult, read *catalog.Snapshot) {
	if len(m.checks.pending) >= maxQuorumChecks {
		m.result(to, unavailable(result.GetId()))
		return
	}
	m.checks.next++
	pending := &quorumCheck{
		id:      m.checks.next,
		to:      to,
		result:  result,
		read:    read,
		votes:   make(map[int]bool),
		expires: m.now + orderTimeout,
	}
	m.checks.pending = append(m.checks.pending, pending)
	m.askVoters(pending)
}

func (m *Machine) askVoters(pending *quorumCheck) {
	pending.sentAt = m.now
	m.toVoters(&pb.Message{Body: &pb.Message_ViewCheck{ViewCheck: &pb.ViewCheck{
		Id:         pending.id,
		ViewNumber: m.View().GetNumber(),
	}}})
}

// isChecked reports whether the result of an order waits for its check.
func (m *Machine) isChecked(from *pb.Replica, id uint64) bool {
	for _, pending := range m.checks.pending {
		if pending.to.GetIdentity() == from.GetIdentity() && pending.result.GetId() == id {
			return true
		}
	}
	return false
}

// quorumCheck answers whether this voter knows of a later view, decided or accepted. A value that was promised
// but not accepted cannot have been decided with this voter's help.
func (m *Machine) viewCheck(from *pb.Replica, check *pb.ViewCheck) {
	number := check.GetViewNumber()
	later := m.View().GetNumber() > number
	accepted := m.acceptor.ViewNumber() > number && m.acceptor.HasAccepted()
	m.send(from, &pb.Message{Body: &pb.Message_ViewCheckResult{ViewCheckResult: &pb.ViewCheckResult{
		Id:         check.GetId(),
		ViewNumber: number,
		Current:    !later && !accepted,
	}}})
}

func (m *Machine) viewCheckResult(from *pb.Replica, answer *pb.ViewCheckResult) {
	view := m.View()
	voter := quorum.VoterIndex(view, from)
	if answer.GetViewNumber() != view.GetNumber() || !answer.GetCurrent() || voter == quorum.NotFound {
		return
	}
	for index, pending := range m.checks.pending {
		if pending.id != answer.GetId() {
			continue
		}
		pending.votes[voter] = true
		if len(pending.votes) >= quorum.Majority(view) {
			m.checks.pending = append(m.checks.pending[:index], m.checks.pending[index+1:]...)
			m.result(pending.to, pending.outcome())
		}
		return
	}
}

// outcome is the result, with the configuration if it is that of a read.
func (c *quorumCheck) outcome() *pb.OrderResult {
	if c.read == nil {
		return c.result
	}
	return readResult(c.result.GetId(), c.read)
}

func (m *Machine) tickChecks() {
	kept := m.checks.pending[:0]
	for _, pending := range m.checks.pending {
		if m.now < pending.expires {
			kept = append(kept, pending)
		}
	}
	m.checks.pending = kept
	for _, pending := range append([]*quorumCheck(nil), kept...) {
		if m.now-pending.sentAt >= quorumCheckResendInterval {
			m.askVoters(pending)
		}
	}
}
