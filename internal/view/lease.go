package view

import (
	"math"
	"time"
)

// Bound is the longest time for which a member can hold a view after the next one was decided.
func Bound(lease time.Duration, drift float64) time.Duration {
	return time.Duration(float64(lease) * (1 + drift))
}

// LeaseEnd is the time to which this member holds its view: it belongs to it, and the view was the newest at some moment
// within the lease before. A time that has passed: it does not hold it.
func (m *Machine) LeaseEnd() time.Duration {
	if !m.isConfirmed {
		return math.MinInt64
	}
	if me, ok := m.view.Find(m.cfg.Name); !ok || me.Boot != m.cfg.Boot {
		return math.MinInt64
	}
	return m.confirmedAt + m.cfg.Lease
}

// HoldsLease tells whether this member holds its view at a time, which must be read after whatever is done by that word.
func (m *Machine) HoldsLease(now time.Duration) bool { return now < m.LeaseEnd() }

// Stamp goes with an answer. m.now is when the question was taken in, or earlier: the age is none too small.
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

// stamped takes in how fresh the view of another is, or was when it was asked for.
func (m *Machine) receiveStamp(from string, s Stamp, asked time.Duration, v *View) {
	if s.ID == (ID{}) {
		return
	}
	if m.cfg.Mutate == PushedAge {
		asked = m.now
	}
	age := time.Duration(s.Age-1) * time.Microsecond
	at := asked - time.Duration(float64(age)*(1+m.cfg.Drift))
	known := s.Age > 0 && s.Age < uint64(math.MaxInt64/int64(time.Microsecond))/2
	if m.hasView && s.ID == m.latest() {
		if known {
			m.confirmLatest(at)
		}
		return
	}
	if m.hasView && s.ID == m.view.ID { // of the one before the latest
		if known && at > m.confirmedAt {
			m.confirmedAt = at
		}
		return
	}
	// Views of one era follow one another; another era is gone to if it is later, or if this one is surely over.
	switch {
	case !m.hasView || s.ID.Compare(m.latest()) > 0:
	case m.voter != nil && s.ID.Era < m.voter.decided.Group.Era: // a new group waits for the leases of the one before it
		return
	case s.ID.Era < m.view.ID.Era && known && m.now-at < m.cfg.Lease && !m.mayBeCurrent():
	default:
		return
	}
	if v == nil || v.ID != s.ID {
		if !known && m.hasView && s.ID.Era != m.view.ID.Era {
			return
		}
		if len(m.queries) < 4 { // the view itself is too long for a stamp
			m.query(from)
		}
		return
	}
	if s.ID.Era != m.view.ID.Era && m.hasView && !known {
		return // of another group, and nobody vouches for it
	}
	m.adopt(*v)
	if known {
		m.confirmLatest(at)
	}
}

// latest is the newest view that this member knows of.
func (m *Machine) latest() ID {
	if m.pending != nil {
		return m.pending.ID
	}
	return m.view.ID
}

// vouched takes in that the latest view was the newest at some moment from a time on.
func (m *Machine) confirmLatest(at time.Duration) {
	if m.pending != nil {
		m.switchTo(*m.pending)
	}
	if !m.isConfirmed || at > m.confirmedAt {
		m.confirmedAt, m.isConfirmed = at, true
		m.everHeld = m.everHeld || m.HoldsLease(m.now)
	}
}

// current tells whether the view may still be the newest, as far as this member's lease goes.
func (m *Machine) mayBeCurrent() bool {
	return m.isConfirmed && m.now < m.confirmedAt+m.cfg.Lease+Bound(m.cfg.Lease, m.cfg.Drift)
}

// adopt takes over a view. While the one before is held and the new one is not vouched for, the one before goes on.
func (m *Machine) adopt(v View) {
	if m.hasView && m.HoldsLease(m.now) && v.ID.Era == m.view.ID.Era {
		m.pending = &v
		m.queryDue = min(m.queryDue, m.now+m.jitter(queryInterval*m.cfg.Pace))
		return
	}
	m.switchTo(v)
}

func (m *Machine) switchTo(v View) {
	m.view, m.hasView, m.isConfirmed, m.pending = v, true, false, nil
	m.out = append(m.out, Adopted{View: v})
}
