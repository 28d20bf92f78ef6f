package http

import "time"

// While a server is paused, a connection is closed once it has been idle for pausedIdleTimeout, which is checked every
// pausePollInterval.
const (
	pausedIdleTimeout = 300 * time.Millisecond
	pausePollInterval = 100 * time.Millisecond
)

// Pause makes /ready fail and closes every connection once it is idle, until Resume. Requests are answered as before.
func (s *Server) Pause() {
	resumed := make(chan struct{})
	if s.paused.CompareAndSwap(nil, &resumed) {
		go s.endIdleUntil(resumed)
	}
}

// endIdleUntil closes idle connections until resumed is closed or the server shuts down. The shutdown closes them
// itself.
func (s *Server) endIdleUntil(resumed <-chan struct{}) {
	tick := time.NewTicker(pausePollInterval)
	defer tick.Stop()
	for !s.closing.Load() {
		if l := s.listener.Load(); l != nil {
			l.endIdle(pausedIdleTimeout)
		}
		select {
		case <-resumed:
			return
		case <-tick.C:
		}
	}
}

// Resume ends a pause.
func (s *Server) Resume() {
	if resumed := s.paused.Swap(nil); resumed != nil {
		close(*resumed)
	}
}
