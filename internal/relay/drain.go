package relay

import (
	"time"

	"fieldrelay/logic"
)

// drainReportTTL is for how long a node is seen as draining on the word of others that the list does not bear out.
const drainReportTTL = time.Minute

// maxDrainReports bounds the nodes that are seen so at once.
const maxDrainReports = 1024

// drain is that others have heard of a node, by its start, that it drains.
type drainReport struct {
	startedAt time.Duration
	expires   time.Duration
}

// DrainChanged takes in that another sidecar's list has a node that started at a time as draining, or no longer so. It holds for
// that start, and for drainReportTTL: what drains is not sent to by whoever hears of it late.
func (r *Relay) ReportDrain(name string, since time.Duration, drains bool) {
	r.mailbox.Put(func() {
		d, was := r.reportedDrains[name]
		switch {
		case drains && was && d.startedAt == since, !drains && !(was && d.startedAt == since):
			return
		case !drains:
			delete(r.reportedDrains, name)
		case len(r.reportedDrains) >= maxDrainReports:
			return
		default:
			if r.reportedDrains == nil {
				r.reportedDrains = map[string]drainReport{}
			}
			r.reportedDrains[name] = drainReport{since, r.now() + drainReportTTL}
			time.AfterFunc(drainReportTTL, func() {
				r.mailbox.Put(func() {
					if r.reportedDrains[name].startedAt == since {
						delete(r.reportedDrains, name)
						r.refreshNamed(name)
					}
				})
			})
		}
		r.refreshNamed(name)
	})
}

// drained tells whether others say that a node drains.
func (r *Relay) drainReported(m Member) bool {
	d, ok := r.reportedDrains[m.Name]
	n := r.servers[m.ID]
	return ok && n != nil && d.startedAt == n.startedAt
}

// notifyDrain tells the observer of a node that begins to drain by the list, or no longer does. That one is missing from
// the list tells nothing: lists have gaps.
func (r *Relay) notifyDrain(m Member) {
	n := r.servers[m.ID]
	if r.observer == nil || n == nil || n.startedAt != m.Since || m.State == logic.Gone && r.cfg.Contract.GoneIsAdvisory {
		return
	}
	if is := m.State != logic.Ready; is != (n.member.State != logic.Ready) {
		r.observer.DrainChanged(m.Name, m.Since, is)
	}
}
