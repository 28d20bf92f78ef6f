package registry

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/lag"
)

const (
	// LagThreshold is how long a proxy may lack a committed change before its agent counts as behind.
	LagThreshold = time.Second

	// expectedReportInterval is the time within which an agent that gets its answers reports again: a call is held for a second.
	expectedReportInterval = time.Second
)

// LagBounds are the deployment's bounds on a change that was acknowledged.
type LagBounds struct {
	Contact time.Duration // for which a machine must have been in contact before it is judged
	Apply   time.Duration // from the acknowledgement until the change is in force; 0: nobody is judged
	Stretch time.Duration // more, while this control machine does not hold the agreed state
}

// LagMonitor compares what the agents report of their proxies with what is committed at this control machine, by its
// steady clock. It decides nothing: its results are for logs and counters. Only agents that this machine heard last from
// themselves are judged, so that each is judged by one machine.
type LagMonitor struct {
	committed        lag.Timeline
	agents           map[string]*follower
	bounds           LagBounds
	unsynchronized   bool          // this machine did not hold the agreed state at some time
	unsynchronizedAt time.Duration // when it last did not
	violations       uint64
}

// LagStats summarise which agents are behind.
type LagStats struct {
	Behind     int           // agents heard lately whose proxies are late by more than LagThreshold
	Oldest     time.Duration // the longest lag among all that are judged
	OldestHost string
	Violations uint64 // ProxyBoundExceeded since the start
}

// NewLagMonitor returns a machine that knows no agents and no committed change.
func NewLagMonitor() *LagMonitor { return &LagMonitor{agents: make(map[string]*follower)} }

// SetBounds changes the deployment's bounds.
func (l *LagMonitor) SetBounds(bounds LagBounds) { l.bounds = bounds }

// Committed takes the newest sequence that is committed at this machine.
func (l *LagMonitor) Committed(now time.Duration, sequence uint64) { l.committed.Record(sequence, now) }

// SuspendBounds tells that this machine does not hold the agreed state now.
func (l *LagMonitor) SuspendBounds(now time.Duration) {
	l.unsynchronized = true
	l.unsynchronizedAt = now
}

// Observe takes a report that came from the agent itself.
func (l *LagMonitor) Observe(now time.Duration, record *pb.AgentRecord) []Action {
	agent := l.accept(now, record, true)
	if agent == nil {
		return nil
	}
	events := l.updateEpisode(now, record.GetHost(), agent)
	return l.checkBound(events, now, record.GetHost(), agent)
}

// Merge takes reports that another control machine heard, with their ages.
func (l *LagMonitor) Merge(now time.Duration, records []*pb.AgentRecord) {
	for _, record := range records {
		l.accept(now-time.Duration(record.GetAgeMs())*time.Millisecond, record, false)
	}
}

// Step looks at what time changes.
func (l *LagMonitor) Step(now time.Duration) []Action {
	var events []Action
	for host, agent := range l.agents {
		if now-agent.receivedAt >= FailureTimeout {
			events = agent.endEpisode(events, host)
			delete(l.agents, host)
			continue
		}
		events = append(events, l.updateEpisode(now, host, agent)...)
	}
	return events
}

// Stats are those of now.
func (l *LagMonitor) Stats(now time.Duration) LagStats {
	figures := LagStats{Violations: l.violations}
	for host, agent := range l.agents {
		lagging := l.lagOf(now, agent)
		if lagging > LagThreshold {
			figures.Behind++
		}
		if lagging > figures.Oldest {
			figures.Oldest = lagging
			figures.OldestHost = host
		}
	}
	return figures
}

// learn takes a report unless a fresher one is known, and returns the agent if it did.
func (l *LagMonitor) accept(heardAt time.Duration, record *pb.AgentRecord, direct bool) *follower {
	if record.GetHost() == "" {
		return nil
	}
	agent := l.agents[record.GetHost()]
	if agent == nil {
		if len(l.agents) >= MaxAgents {
			return nil
		}
		agent = &follower{contactSince: heardAt, receivedAt: heardAt}
		l.agents[record.GetHost()] = agent
	}
	if heardAt < agent.receivedAt || !direct && agent.mayBeOlder(heardAt, record) {
		return nil
	}
	agent.update(heardAt, record)
	agent.direct = direct
	if l.committed.Lag(heardAt, agent.sequence, agent.contactSince) <= LagThreshold {
		agent.overdueTime = 0
	}
	return agent
}

// lagOf is how long an agent's proxy is known to have lacked a committed change; 0 for an agent that is not judged.
// The next report is due expectedReportInterval after the last one: until then the proxy may hold the change and the agent have
// had no occasion to say so.
func (l *LagMonitor) lagOf(now time.Duration, agent *follower) time.Duration {
	if !agent.evaluated || !agent.direct {
		return 0
	}
	known := max(agent.receivedAt, now-expectedReportInterval)
	return l.committed.Lag(known, agent.sequence, agent.contactSince)
}

// look tells whether an agent has begun or ceased to be behind.
func (l *LagMonitor) updateEpisode(now time.Duration, host string, agent *follower) []Action {
	if !agent.direct || !agent.evaluated {
		return agent.endEpisode(nil, host)
	}
	lagging := l.lagOf(now, agent)
	switch agent.episode.Update(lagging, LagThreshold) {
	case lag.Began:
		return []Action{AgentLagging{
			Host: host, Reported: agent.sequence, Committed: l.committed.Newest(), Lag: lagging, Ready: agent.ready,
		}}
	case lag.Ended:
		agent.violated = false
		return []Action{AgentCaughtUp{Host: host, Reported: agent.sequence, Longest: agent.episode.Longest()}}
	}
	return nil
}

// judge adds a violation of the bound, by a report that has just come from the agent itself.
func (l *LagMonitor) checkBound(events []Action, now time.Duration, host string, agent *follower) []Action {
	lagging := l.lagOf(now, agent)
	bound := l.boundFor(now, lagging, agent)
	inContact := now-agent.contactSince >= l.bounds.Contact
	if l.bounds.Apply <= 0 || agent.violated || !agent.ready || !inContact || lagging <= bound {
		return events
	}
	agent.violated = true
	l.violations++
	return append(events, ProxyBoundExceeded{
		Host: host, Reported: agent.sequence, Committed: l.committed.Newest(), Lag: lagging, Bound: bound,
	})
}

// boundFor is the longest lag that is allowed. An agent that was silent for longer than usual may have been cut off for
// that time, and this machine may have been out of touch itself.
func (l *LagMonitor) boundFor(now, lagging time.Duration, agent *follower) time.Duration {
	bound := l.bounds.Apply + agent.overdueTime
	if l.unsynchronized && now-l.unsynchronizedAt < lagging+l.bounds.Contact {
		bound += l.bounds.Stretch
	}
	return bound
}
