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

// LeaseEnd is when this member's lease on its view ends: the member belongs to the view, and the view was the newest at some
// moment within the lease before that time. If the time has passed, it holds no lease.
func (m *Machine) LeaseEnd() time.Duration {
	if !m.isConfirmed {
		return math.MinInt64
	}
	if me, ok := m.view.Find(m.cfg.Name); !ok || me.Boot != m.cfg.Boot {
		return math.MinInt64
	}
	return m.confirmedAt + m.cfg.Lease
}

// HoldsLease reports whether this member holds the lease on its view at a time. To act safely under the lease, read the clock
// after the act, or have who carries it out ask a Fence.
func (m *Machine) HoldsLease(now time.Duration) bool { return now < m.LeaseEnd() }

// Stamp returns the stamp for an answer. now must not be before the request was sent: the requester counts the age from there,
// and it must not be too small.
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

// maxStampQueries is how many queries may be unanswered for a stamp to cause another one.
const maxStampQueries = 4

// confirmedAt returns from when on the stamped view was the newest at some moment, on this member's clock, and whether the
// stamp says so. requestedAt is when the request that the stamp answers was sent: the age counts from there, so that time on
// links only makes the lease shorter.
func (s Stamp) confirmedAt(requestedAt time.Duration, drift float64) (at time.Duration, known bool) {
	age := time.Duration(s.Age-1) * time.Microsecond
	at = requestedAt - time.Duration(float64(age)*(1+drift))
	return at, s.Age > 0 && s.Age < uint64(math.MaxInt64/int64(time.Microsecond))/2
}

// receiveStamp takes in which view another member had when it answered a request sent at requestedAt, and the view itself
// if the answer has it.
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
	if m.hasView && s.ID == m.view.ID { // the one before the pending one
		if known && at > m.confirmedAt {
			m.confirmedAt = at
		}
		return
	}
	if !m.maySwitchTo(s.ID, at, known) {
		return
	}
	// Nobody vouches for a view of another group whose stamp has no age.
	unconfirmed := !known && m.hasView && s.ID.Era != m.view.ID.Era
	switch {
	case unconfirmed:
	case v == nil || v.ID != s.ID: // a view is too long for a stamp
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

// maySwitchTo reports whether a view that another member has may replace the one in force. Views of one era follow one
// another. A view of another era does if that era is later, or if the present era is surely over; at is from when on the
// view was the newest at some moment, if that is known.
func (m *Machine) maySwitchTo(id ID, at time.Duration, known bool) bool {
	switch {
	case !m.hasView || id.Compare(m.latest()) > 0:
		return true
	case m.voter != nil && id.Era < m.voter.decided.Group.Era: // a new group waits for the leases of the one before it
		return false
	}
	return id.Era < m.view.ID.Era && known && m.now-at < m.cfg.Lease && !m.mayBeCurrent()
}

// latest is the number of the newest view that this member knows of.
func (m *Machine) latest() ID {
	if m.pending != nil {
		return m.pending.ID
	}
	return m.view.ID
}

// confirmLatest extends the lease: the latest view was the newest one at some moment from a time on.
func (m *Machine) confirmLatest(at time.Duration) {
	if m.pending != nil {
		m.switchTo(*m.pending)
	}
	if !m.isConfirmed || at > m.confirmedAt {
		m.confirmedAt, m.isConfirmed = at, true
		m.everHeldLease = m.everHeldLease || m.HoldsLease(m.now)
	}
}

// mayBeCurrent reports whether some member may still hold the lease on the view in force here.
func (m *Machine) mayBeCurrent() bool {
	return m.isConfirmed && m.now < m.confirmedAt+m.cfg.Lease+StalenessBound(m.cfg.Lease, m.cfg.Drift)
}

// adopt takes over a view. While the lease on the one before lasts and the new one is not confirmed, the one before stays in
// force: otherwise a member without contact to the voters would give up a lease for nothing.
func (m *Machine) adopt(v View) {
	if m.hasView && m.HoldsLease(m.now) && v.ID.Era == m.view.ID.Era {
		m.pending = &v
		m.queryDue = min(m.queryDue, m.now+m.jitter(queryInterval*m.cfg.Pace))
		return
	}
	m.switchTo(v)
}

// switchTo puts a view in force, without a lease so far.
func (m *Machine) switchTo(v View) {
	m.view, m.hasView, m.isConfirmed, m.pending = v, true, false, nil
	m.out = append(m.out, Adopted{View: v})
}
