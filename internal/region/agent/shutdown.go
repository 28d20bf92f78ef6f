package agent

import "time"

const (
	// graceMargin is the time before the end of the platform's grace period at which the process exits in any case.
	graceMargin = time.Second
	// proxyExitTimeout is how long the proxy must have been unreachable before it counts as exited. After a refused
	// connection the proxy counts as exited at once; proxy and agent are restarted together.
	proxyExitTimeout = 300 * time.Millisecond
)

// shutdown is the state of a graceful shutdown: the agent notifies control machines at once, and keeps updating the
// proxy until the proxy has exited.
type shutdown struct {
	requested        bool
	deadline         time.Duration // time at which the process exits in any case
	proxyIncarnation uint64        // incarnation of the proxy process to wait for; 0: no proxy process was known
}

// begin starts the shutdown with the grace period of the platform. Further calls do nothing.
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

// finished reports whether the process may exit: from the deadline on, or once the proxy has exited and no notice to a
// control machine is in flight.
func (s *shutdown) finished(now time.Duration, link *proxyLink, noticesInFlight int) bool {
	if !s.requested {
		return false
	}
	if now >= s.deadline {
		return true
	}
	return noticesInFlight == 0 && s.proxyEnded(now, link)
}

// proxyEnded reports whether the proxy process to wait for has exited, or has been replaced by another one.
func (s *shutdown) proxyEnded(now time.Duration, link *proxyLink) bool {
	if link.reachable {
		return link.status.GetIncarnation() != s.proxyIncarnation
	}
	return link.unreachableSince > 0 && (link.connectionRefused || now-link.unreachableSince >= proxyExitTimeout)
}
