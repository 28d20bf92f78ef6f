package relay

import (
	"time"

	"fieldrelay/internal/sidecar/logic"
)

// drainReportTTL is how long a server counts as draining if only another sidecar has reported it.
const drainReportTTL = time.Minute

// maxDrainReports bounds the number of servers that count as draining by such reports at a time.
const maxDrainReports = 1024

// ReportDrain records that another sidecar's list has a server, identified by its name and start time, as
// draining or as no longer draining. The record applies to that start of the server only and expires after
// drainReportTTL. It keeps a sidecar whose list is late from sending to a draining server.
func (r *Relay) ReportDrain(name string, startedAt time.Duration, draining bool) {
	r.mailbox.Put(func() {
		reported, exists := r.reportedDraining[name]
		known := exists && reported == startedAt
		switch {
		case draining == known:
			return
		case !draining:
			delete(r.reportedDraining, name)
		case len(r.reportedDraining) >= maxDrainReports:
			return
		default:
			r.addDrainReport(name, startedAt)
		}
		r.refreshNamed(name)
	})
}

// addDrainReport records that a server drains, for drainReportTTL.
func (r *Relay) addDrainReport(name string, startedAt time.Duration) {
	if r.reportedDraining == nil {
		r.reportedDraining = map[string]time.Duration{}
	}
	r.reportedDraining[name] = startedAt
	time.AfterFunc(drainReportTTL, func() {
		r.mailbox.Put(func() {
			if r.reportedDraining[name] == startedAt {
				delete(r.reportedDraining, name)
				r.refreshNamed(name)
			}
		})
	})
}

// drainReported reports whether another sidecar has reported that this start of a server drains.
func (r *Relay) drainReported(m Member) bool {
	startedAt, exists := r.reportedDraining[m.Name]
	s := r.servers[m.ID]
	return exists && s != nil && startedAt == s.startedAt
}

// notifyDrain notifies the observer if an entry starts or ends the drain of a server. A server that is missing
// from a list is not reported, since lists can be incomplete.
func (r *Relay) notifyDrain(m Member) {
	s := r.servers[m.ID]
	if r.observer == nil || s == nil || s.startedAt != m.Since {
		return
	}
	if m.State == logic.Gone && r.cfg.Contract.GoneIsAdvisory {
		return
	}
	if draining := m.State != logic.Ready; draining != (s.member.State != logic.Ready) {
		r.observer.DrainChanged(m.Name, m.Since, draining)
	}
}
