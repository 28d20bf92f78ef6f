package agent

import "time"

const (
	// graceMargin is kept from the time that the platform leaves a process to end.
	graceMargin = time.Second
	// goneFor is how long the proxy must have been out of reach before the agent ends after it. Where nobody
	// listens any more, the proxy has ended, and both are started again at the same time.
	goneFor = 300 * time.Millisecond
)

// ending is the agent's way out: control is told at once, then the proxy is served to its end.
type ending struct {
	requested   bool
	deadline    time.Duration
	incarnation uint64 // of the proxy that is served to its end, 0 if it was not known
}

func (e *ending) request(now, grace time.Duration, proxy *feed) {
	if e.requested {
		return
	}
	e.requested = true
	e.deadline = now + max(grace-graceMargin, 0)
	e.incarnation = proxy.status.GetIncarnation()
	proxy.ending = true
	proxy.due = min(proxy.due, now+endingPeriod)
}

// over tells whether the process may end. Notices are calls to control that have not come back.
func (e *ending) over(now time.Duration, proxy *feed, notices int) bool {
	if !e.requested {
		return false
	}
	if now >= e.deadline {
		return true
	}
	return notices == 0 && e.proxyGone(now, proxy)
}

// proxyGone tells whether the proxy has been out of reach for a while or has been started anew.
func (e *ending) proxyGone(now time.Duration, proxy *feed) bool {
	if proxy.reachable {
		return proxy.status.GetIncarnation() != e.incarnation
	}
	return proxy.goneSince > 0 && (proxy.refused || now-proxy.goneSince >= goneFor)
}
