package http

import "time"

// Pausing: how long a connection may idle before it is ended, and how often that is looked at.
const (
	pausedIdleTimeout  = 300 * time.Millisecond
	pauseCheckInterval = 100 * time.Millisecond
)

// Pause makes /ready say no and ends every connection once it carries no request, until Resume. What is taken is
// answered; nothing else changes.
func (f *Server) Pause() {
	done := make(chan struct{})
	if !f.paused.CompareAndSwap(nil, &done) {
		return
	}
	go func() {
		tick := time.NewTicker(pauseCheckInterval)
		defer tick.Stop()
		for !f.closing.Load() { // a front that shuts down ends its connections itself
			if l := f.listener.Load(); l != nil {
				l.endIdle(pausedIdleTimeout)
			}
			select {
			case <-done:
				return
			case <-tick.C:
			}
		}
	}()
}

// Resume undoes Pause.
func (f *Server) Resume() {
	if done := f.paused.Swap(nil); done != nil {
		close(*done)
	}
}
