package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// startupWaitFraction is the part (one in startupWaitFraction) of the time a client has left for which a proxy that has just
	// started keeps its request. The rest is enough for another try elsewhere.
	startupWaitFraction = 2
	// maxStartupWait bounds that time.
	maxStartupWait = 4 * time.Second
)

// usable tells whether requests can be passed on by a snapshot.
func (s *snapshot) usable() bool { return s.configured() && s.list != nil }

// deadlineOf is when a request that came at a moment has to be answered: by its route, if that is known, and by what
// its client told.
func (s *snapshot) deadlineOf(request *http.Request, target string, arrived time.Time) time.Time {
	if found, ok := s.table.Lookup(request.Host, pathOf(target)); ok {
		return arrived.Add(timeoutFor(request.Header, found))
	}
	return arrived.Add(clientTimeout(request.Header))
}

// waitUntilUsable keeps a request that came before the proxy has what it serves by: after a loss of power or a
// kill, clients come as soon as the port is open, and most have no other try left. Its body is read first, so
// that the client sees it taken. The snapshot it returns may still be unusable.
func (h *handler) waitUntilUsable(control *http.ResponseController, request *http.Request, target string, arrived time.Time) (*snapshot, *chargedBuffer, error) {
	current := h.snapshots.load()
	body, err := h.readBodyBeforeStart(control, request, current, current.deadlineOf(request, target, arrived))
	if err != nil {
		return current, nil, err
	}
	h.counters.startupWaits.Add(1)
	for _, enough := range []func(*snapshot) bool{(*snapshot).configured, (*snapshot).usable} {
		left := current.deadlineOf(request, target, arrived).Sub(arrived)
		end := arrived.Add(min(left/startupWaitFraction, maxStartupWait))
		current = h.snapshots.waitFor(request.Context(), end, enough)
	}
	return current, body, nil
}

// readBodyBeforeStart reads a body within the bounds in force. A proxy that knows no configuration refuses no body as too
// large for good: the configuration may allow it.
func (h *handler) readBodyBeforeStart(control *http.ResponseController, request *http.Request, current *snapshot, deadline time.Time) (*chargedBuffer, error) {
	body, err := h.readBody(control, request, current.table.RequestLimits().MaxBodyBytes, deadline)
	if errors.Is(err, errBodyTooLarge) && !current.configured() {
		err = errLimitsUnknown
	}
	return body, err
}

// await returns the snapshot in force as soon as a condition holds for it, and at the given end in any case.
func (s *snapshotStore) waitFor(ctx context.Context, end time.Time, holds func(*snapshot) bool) *snapshot {
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	for {
		news := s.nextSnapshot()
		held := s.load()
		if holds(held) {
			return held
		}
		select {
		case <-news:
		case <-timer.C:
			return s.load()
		case <-ctx.Done():
			return s.load()
		}
	}
}

// news gives a channel that is closed when the next snapshot has been taken in everywhere.
func (s *snapshotStore) nextSnapshot() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// announce wakes those who wait for news.
func (s *snapshotStore) notifyWaiters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}
