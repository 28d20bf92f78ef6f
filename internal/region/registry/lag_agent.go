package registry

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/lag"
)

// trackedAgent is the state of one agent and its proxy in a LagMonitor, as known from the agent's reports.
type trackedAgent struct {
	incarnation  uint64        // incarnation of the agent
	sequence     uint64        // sequence that the proxy has applied, by the last report
	ready        bool          // the proxy is ready, by the last report
	direct       bool          // the last report came from the agent itself
	evaluated    bool          // the lag is evaluated: there is a proxy, and it does not drain
	receivedAt   time.Duration // time of the last report
	contactSince time.Duration // start of the reports without a gap of FailureTimeout and without a restart of agent or proxy
	overdueTime  time.Duration // total delay of reports beyond expectedReportInterval since the proxy last did not lag
	episode      lag.Episode
	violated     bool // the bound was exceeded in the present episode
}

// mayBeOlder reports whether a report that came through another control machine may be older than the last report,
// since the age in the message does not include its transmission time.
func (a *trackedAgent) mayBeOlder(receivedAt time.Duration, record *pb.AgentRecord) bool {
	return receivedAt <= a.receivedAt+recordTolerance && record.GetSequence() < a.sequence
}

// update records a report. A restart of the agent or the proxy, or a gap of FailureTimeout, begins a new contact.
func (a *trackedAgent) update(receivedAt time.Duration, record *pb.AgentRecord) {
	gap := receivedAt - a.receivedAt
	evaluated := record.GetEdgeAddress() != "" && !record.GetDraining()
	restarted := record.GetIncarnation() != a.incarnation || record.GetSequence() < a.sequence || !a.evaluated
	if gap >= FailureTimeout || restarted {
		a.contactSince = receivedAt
		a.overdueTime = 0
	} else {
		a.overdueTime += max(0, gap-expectedReportInterval)
	}
	a.incarnation = record.GetIncarnation()
	a.sequence = record.GetSequence()
	a.ready = record.GetReady()
	a.evaluated = evaluated
	a.receivedAt = receivedAt
}

// endEpisode ends the episode of an agent that is no longer evaluated, and appends the AgentCaughtUp if there was one.
func (a *trackedAgent) endEpisode(actions []Action, host string) []Action {
	if a.episode.Update(0, LagThreshold) != lag.Ended {
		return actions
	}
	a.violated = false
	return append(actions, AgentCaughtUp{Host: host, Reported: a.sequence, LongestLag: a.episode.Peak(), LostContact: true})
}
