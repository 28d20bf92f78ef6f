package registry

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/lag"
)

// follower is what is known of one agent and its proxy.
type follower struct {
	incarnation  uint64 // of the agent
	sequence     uint64 // that its proxy holds, as reported last
	ready        bool
	direct       bool          // the last report came from the agent itself
	evaluated    bool          // there is a proxy, and it is not about to end
	receivedAt   time.Duration // of the last report
	contactSince time.Duration // reports came without a longer break since then, from one life of agent and proxy
	overdueTime  time.Duration // beyond expectedReportInterval, summed over the times between reports since the proxy was last not behind
	episode      lag.Episode
	violated     bool // in this episode
}

// mayBeOlder reports whether a report told by another control machine may be older than the last one, since its age
// leaves out the time that it was under way.
func (f *follower) mayBeOlder(heardAt time.Duration, record *pb.AgentRecord) bool {
	return heardAt <= f.receivedAt+recordTolerance && record.GetSequence() < f.sequence
}

// take learns a report. Another life of the agent or the proxy, or a long break, begins a new time of contact.
func (f *follower) update(heardAt time.Duration, record *pb.AgentRecord) {
	silence := heardAt - f.receivedAt
	hasProxy := record.GetEdgeAddress() != "" && !record.GetDraining()
	anew := record.GetIncarnation() != f.incarnation || record.GetSequence() < f.sequence || !f.evaluated
	if silence >= FailureTimeout || anew {
		f.contactSince = heardAt
		f.overdueTime = 0
	} else {
		f.overdueTime += max(0, silence-expectedReportInterval)
	}
	f.incarnation = record.GetIncarnation()
	f.sequence = record.GetSequence()
	f.ready = record.GetReady()
	f.evaluated = hasProxy
	f.receivedAt = heardAt
}

// end adds the end of an episode, if there is one, of an agent that is not judged any more.
func (f *follower) endEpisode(events []Action, host string) []Action {
	if f.episode.Update(0, LagThreshold) != lag.Ended {
		return events
	}
	f.violated = false
	return append(events, AgentCaughtUp{Host: host, Reported: f.sequence, Longest: f.episode.Longest(), Unheard: true})
}
