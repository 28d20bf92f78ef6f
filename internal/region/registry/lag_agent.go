package registry

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/lag"
)

// trackedAgent is what a LagMonitor knows about one agent and its proxy, from the agent's reports.
type trackedAgent struct {
	incarnation  uint64 // of the agent
	sequence     uint64 // that its proxy has, by the last report
	ready        bool
	direct       bool          // the last report came from the agent itself
	evaluated    bool          // its lag counts: there is a proxy, and it does not drain
	receivedAt   time.Duration // of the last report
	contactSince time.Duration // since then reports came without a gap of FailureTimeout, from one incarnation of agent and proxy
	overdueTime  time.Duration // by which reports were late (expectedReportInterval), summed up since the proxy last did not lag
	episode      lag.Episode
	violated     bool // in this episode
}

// mayBeOlder reports whether a report that came through another control machine may be older than the last one, since
// its age leaves out the time that the message took.
func (a *trackedAgent) mayBeOlder(receivedAt time.Duration, record *pb.AgentRecord) bool {
	return receivedAt <= a.receivedAt+recordTolerance && record.GetSequence() < a.sequence
}

// update records a report. Another incarnation of the agent or the proxy, or a gap of FailureTimeout, begins a new
// contact.
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

// endEpisode appends the end of the running episode, if there is one, of an agent that is no longer evaluated.
func (a *trackedAgent) endEpisode(actions []Action, host string) []Action {
	if a.episode.Update(0, LagThreshold) != lag.Ended {
		return actions
	}
	a.violated = false
	return append(actions, AgentCaughtUp{Host: host, Reported: a.sequence, LongestLag: a.episode.Peak(), LostContact: true})
}
