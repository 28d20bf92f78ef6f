package registry

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/lag"
)

const (
	// LagThreshold is the time for which a proxy may lack a committed change before it counts as lagging.
	LagThreshold = time.Second

	// expectedReportInterval is the time within which an agent that receives its responses reports again: each long
	// poll stays open for at most a second.
	expectedReportInterval = time.Second
)

// LagBounds are the deployment's bounds on the delay of an acknowledged change.
type LagBounds struct {
	MinContact              time.Duration // minimum time in contact before the bound applies to a machine
	ApplyDelay              time.Duration // maximum time from the acknowledgement until the change is in force; 0: no bound
	UnsynchronizedAllowance time.Duration // addition to ApplyDelay while this control machine is not synchronized
}

// LagMonitor measures how far proxies lag behind the configuration that is committed at this control machine, from the
// reports of their agents. Its results are used only for logs and counters. An agent is evaluated only while its last
// report was sent to this machine by the agent itself, so that only one machine evaluates it. A LagMonitor is not safe
// for concurrent use.
type LagMonitor struct {
	committed        lag.Timeline
	agents           map[string]*trackedAgent
	bounds           LagBounds
	unsynchronized   bool          // this machine has been out of sync with the control state before
	unsynchronizedAt time.Duration // last time at which this machine was out of sync
	violations       uint64        // number of ProxyBoundExceeded since the start
}

// LagStats summarize the lag of the proxies.
type LagStats struct {
	Lagging        int           // number of proxies that lag by more than LagThreshold
	LongestLag     time.Duration // longest lag of a proxy
	LongestLagHost string        // host of that proxy
	Violations     uint64        // number of ProxyBoundExceeded since the start
}

// NewLagMonitor returns a monitor without agents, committed changes or bounds.
func NewLagMonitor() *LagMonitor { return &LagMonitor{agents: make(map[string]*trackedAgent)} }

// SetBounds changes the deployment's bounds.
func (l *LagMonitor) SetBounds(bounds LagBounds) { l.bounds = bounds }

// RecordCommit records the newest sequence that is committed at this machine.
func (l *LagMonitor) RecordCommit(now time.Duration, sequence uint64) {
	l.committed.Record(sequence, now)
}

// ObserveUnsynchronized records that this machine is not synchronized with the control state now.
func (l *LagMonitor) ObserveUnsynchronized(now time.Duration) {
	l.unsynchronized = true
	l.unsynchronizedAt = now
}

// Observe records a report that came from the agent itself. Only such a report can show that a bound was exceeded.
func (l *LagMonitor) Observe(now time.Duration, record *pb.AgentRecord) []Action {
	agent := l.accept(now, record, true)
	if agent == nil {
		return nil
	}
	actions := l.updateEpisode(now, record.GetHost(), agent)
	return l.checkBound(actions, now, record.GetHost(), agent)
}

// Merge records reports that another control machine received, with their ages.
func (l *LagMonitor) Merge(now time.Duration, records []*pb.AgentRecord) {
	for _, record := range records {
		l.accept(now-time.Duration(record.GetAgeMs())*time.Millisecond, record, false)
	}
}

// Step evaluates all agents at the time now, and removes those whose last report is FailureTimeout old.
func (l *LagMonitor) Step(now time.Duration) []Action {
	var actions []Action
	for host, agent := range l.agents {
		if now-agent.receivedAt >= FailureTimeout {
			actions = agent.endEpisode(actions, host)
			delete(l.agents, host)
			continue
		}
		actions = append(actions, l.updateEpisode(now, host, agent)...)
	}
	return actions
}

// Stats summarizes the lag at the time now.
func (l *LagMonitor) Stats(now time.Duration) LagStats {
	stats := LagStats{Violations: l.violations}
	for host, agent := range l.agents {
		lagging := l.lagOf(now, agent)
		if lagging > LagThreshold {
			stats.Lagging++
		}
		if lagging > stats.LongestLag {
			stats.LongestLag = lagging
			stats.LongestLagHost = host
		}
	}
	return stats
}

// accept records a report and returns its agent. It returns nil for a report that is ignored: one without a host, one
// that may be older than the last report, and one of a further agent when MaxAgents are tracked.
func (l *LagMonitor) accept(receivedAt time.Duration, record *pb.AgentRecord, direct bool) *trackedAgent {
	if record.GetHost() == "" {
		return nil
	}
	agent := l.agents[record.GetHost()]
	if agent == nil {
		if len(l.agents) >= MaxAgents {
			return nil
		}
		agent = &trackedAgent{contactSince: receivedAt, receivedAt: receivedAt}
		l.agents[record.GetHost()] = agent
	}
	if receivedAt < agent.receivedAt || !direct && agent.mayBeOlder(receivedAt, record) {
		return nil
	}
	agent.update(receivedAt, record)
	agent.direct = direct
	if l.committed.Lag(receivedAt, agent.sequence, agent.contactSince) <= LagThreshold {
		agent.overdueTime = 0
	}
	return agent
}

// lagOf returns the time for which an agent's proxy is known to have lacked a committed change, 0 for an agent that is
// not evaluated. The next report is due expectedReportInterval after the last one. Until then the proxy may have
// applied the change without its agent having had an opportunity to report it.
func (l *LagMonitor) lagOf(now time.Duration, agent *trackedAgent) time.Duration {
	if !agent.evaluated || !agent.direct {
		return 0
	}
	known := max(agent.receivedAt, now-expectedReportInterval)
	return l.committed.Lag(known, agent.sequence, agent.contactSince)
}

// updateEpisode evaluates the lag of an agent and returns an action if an episode began or ended.
func (l *LagMonitor) updateEpisode(now time.Duration, host string, agent *trackedAgent) []Action {
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
		return []Action{AgentCaughtUp{Host: host, Reported: agent.sequence, LongestLag: agent.episode.Peak()}}
	}
	return nil
}

// checkBound appends a ProxyBoundExceeded if the report that the agent itself has just sent shows a lag above the
// bound.
func (l *LagMonitor) checkBound(actions []Action, now time.Duration, host string, agent *trackedAgent) []Action {
	lagging := l.lagOf(now, agent)
	bound := l.boundFor(now, lagging, agent)
	inContact := now-agent.contactSince >= l.bounds.MinContact
	if l.bounds.ApplyDelay <= 0 || agent.violated || !agent.ready || !inContact || lagging <= bound {
		return actions
	}
	agent.violated = true
	l.violations++
	return append(actions, ProxyBoundExceeded{
		Host: host, Reported: agent.sequence, Committed: l.committed.Newest(), Lag: lagging, Bound: bound,
	})
}

// boundFor returns the maximum lag that is allowed. It includes the time for which the agent's reports were overdue,
// since the agent may have been partitioned for that time, and an allowance if this machine was recently out of sync.
func (l *LagMonitor) boundFor(now, lagging time.Duration, agent *trackedAgent) time.Duration {
	bound := l.bounds.ApplyDelay + agent.overdueTime
	if l.unsynchronized && now-l.unsynchronizedAt < lagging+l.bounds.MinContact {
		bound += l.bounds.UnsynchronizedAllowance
	}
	return bound
}
