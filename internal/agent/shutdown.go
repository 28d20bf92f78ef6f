package agent

import "time"

const (
	// graceMargin is kept from the time that the platform leaves a process to end.
	graceMargin = time.Second
	// proxyGoneTimeout is how long the proxy must have been out of reach before the agent ends after it. Where nobody
	// listens any more, the proxy has ended, and both are started again at the same time.
	proxyGoneTimeout = 300 * time.Millisecond
)

// ending is the agent's way out: control is told at once, then the proxy is served to its end.
type shutdown struct {
	requested        bool
	deadline         time.Duration
	proxyIncarnation uint64 // of the proxy that is served to its end, 0 if it was not known
}

func (s *shutdown) begin(now, grace time.Duration, link *proxyLink) {
	if s.requested {
		return
	}
	s.requested = true
	s.deadline = now + max(grace-graceMargin, 0)
	s.proxyIncarnation = link.status.GetIncarnation()
	link.shuttingDown = true
	link.nextExchange = min(link.nextExchange, now+shutdownExchangeInterval)
}

// over tells whether the process may end. Notices are calls to control that have not come back.
func (s *shutdown) finished(now time.Duration, link *proxyLink, notices int) bool {
	if !s.requested {
		return false
	}
	if now >= s.deadline {
		return true
	}
	return notices == 0 && s.proxyEnded(now, link)
}

// proxyEnded tells whether the proxy has been out of reach for a while or has been started anew.
func (s *shutdown) proxyEnded(now time.Duration, link *proxyLink) bool {
	if link.reachable {
		return link.status.GetIncarnation() != s.proxyIncarnation
	}
	return link.unreachableSince > 0 && (link.connectionRefused || now-link.unreachableSince >= proxyGoneTimeout)
}
