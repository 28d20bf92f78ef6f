package view

import (
	"math"
	"time"
)

// StalenessBound returns the longest time for which a member can hold the lease on a view after the next view was decided.
// drift is the largest relative difference between the rates of two members' clocks.
func StalenessBound(lease time.Duration, drift float64) time.Duration {
	return time.Duration(float64(lease) * (1 + drift))
}

// LeaseEnd returns when this member's lease on its view ends: the duration of a lease after the last time at which the view was
// known to be the newest. If that time has passed, or this process is not a member of the view, the member holds no lease.
func (m *Machine) LeaseEnd() time.Duration {
	if !m.isConfirmed {
		return math.MinInt64
	}
	if me, ok := m.view.Find(m.cfg.Name); !ok || me.Boot != m.cfg.Boot {
		return math.MinInt64
	}
	return m.confirmedAt + m.cfg.Lease
}

// HoldsLease reports whether this member holds the lease on its view at the time now. To operate safely under the lease, read
// the clock after the operation, or let the process that executes the operation check a Fence.
func (m *Machine) HoldsLease(now time.Duration) bool { return now < m.LeaseEnd() }

// Stamp returns the stamp to send with an answer. now must not be before the request was sent: the requester counts the age from
// the sending of the request, and the age must not be too small.
func (m *Machine) Stamp(now time.Duration) Stamp {
	if !m.hasView {
		return Stamp{}
	}
	s := Stamp{ID: m.view.ID}
	if m.isConfirmed {
		s.Age = uint64(max(0, now-m.confirmedAt)/time.Microsecond) + 2
	}
	return s
}

// maxStampQueries is the number of unanswered queries from which on a stamp causes no further query.
const maxStampQueries = 4

// confirmedAt returns a time, on this member's clock, such that the stamped view was the newest at that time or at some time
// since, and whether the stamp has an age. requestedAt is when the request that the stamp answers was sent: the age counts from
// then, so that network delay can only shorten the lease.
func (s Stamp) confirmedAt(requestedAt time.Duration, drift float64) (at time.Duration, known bool) {
	age := time.Duration(s.Age-1) * time.Microsecond
	at = requestedAt - time.Duration(float64(age)*(1+drift))
	return at, s.Age > 0 && s.Age < uint64(math.MaxInt64/int64(time.Microsecond))/2
}

// receiveStamp processes the stamp of a member that answered a request sent at requestedAt, and that member's view v, if the
// answer includes it.
func (m *Machine) receiveStamp(from string, s Stamp, requestedAt time.Duration, v *View) {
	if s.ID == (ID{}) {
		return
	}
	if m.cfg.Mutate == AgeFromReceipt {
		requestedAt = m.now
	}
	at, known := s.confirmedAt(requestedAt, m.cfg.Drift)
	if m.hasView && s.ID == m.latest() {
		if known {
			m.confirmLatest(at)
		}
		return
	}
	if m.hasView && s.ID == m.view.ID { // the view in force, which precedes the pending one
		if known && at > m.confirmedAt {
			m.confirmedAt = at
		}
		return
	}
	if !m.maySwitchTo(s.ID, at, known) {
		return
	}
	// A view of another group is not adopted if its stamp has no age: no voter is known to have confirmed it.
	unconfirmed := !known && m.hasView && s.ID.Era != m.view.ID.Era
	switch {
	case unconfirmed:
	case v == nil || v.ID != s.ID: // a stamp has no room for the view itself
		if len(m.queries) < maxStampQueries {
			m.query(from)
		}
	default:
		m.adopt(*v)
		if known {
			m.confirmLatest(at)
		}
	}
}

// maySwitchTo reports whether another member's view may replace the one in force. Within an era, a later view replaces an
// earlier one. A view of another era may replace the one in force if that era is later, or if the current era is certainly
// over. The other view was the newest at some time not before at; at is valid if known is set.
func (m *Machine) maySwitchTo(id ID, at time.Duration, known bool) bool {
	switch {
	case !m.hasView || id.Compare(m.latest()) > 0:
		return true
	case m.voter != nil && id.Era < m.voter.decided.Group.Era: // a new group waits for leases of the previous one to expire
		return false
	}
	return id.Era < m.view.ID.Era && known && m.now-at < m.cfg.Lease && !m.mayBeCurrent()
}

// latest returns the ID of the newest view that this member has: the pending one, or else the one in force.
func (m *Machine) latest() ID {
	if m.pending != nil {
		return m.pending.ID
	}
	return m.view.ID
}

// confirmLatest extends the lease: the latest view was the newest at some time not before at. A pending view comes into force.
func (m *Machine) confirmLatest(at time.Duration) {
	if m.pending != nil {
		m.switchTo(*m.pending)
	}
	if !m.isConfirmed || at > m.confirmedAt {
		m.confirmedAt, m.isConfirmed = at, true
		m.everHeldLease = m.everHeldLease || m.HoldsLease(m.now)
	}
}

// mayBeCurrent reports whether some member may still hold the lease on the view in force on this member.
func (m *Machine) mayBeCurrent() bool {
	return m.isConfirmed && m.now < m.confirmedAt+m.cfg.Lease+StalenessBound(m.cfg.Lease, m.cfg.Drift)
}

// adopt adopts a newer view. While the lease on the previous view lasts and the new view is not confirmed, the previous one
// stays in force: otherwise a member without contact to the voters would lose a lease without getting another.
func (m *Machine) adopt(v View) {
	if m.hasView && m.HoldsLease(m.now) && v.ID.Era == m.view.ID.Era {
		m.pending = &v
		m.queryDue = min(m.queryDue, m.now+m.jitter(queryInterval*m.cfg.Pace))
		return
	}
	m.switchTo(v)
}

// switchTo puts a view in force. The member holds no lease on it until the view is confirmed.
func (m *Machine) switchTo(v View) {
	m.view, m.hasView, m.isConfirmed, m.pending = v, true, false, nil
	m.out = append(m.out, Adopted{View: v})
}
