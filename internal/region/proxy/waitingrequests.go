package proxy

import (
	"context"
	"time"

	"fieldrelay/internal/region/placement"
)

// waitingRequests holds the requests that wait in the placer's queue. The lock of the dispatcher guards it.
type waitingRequests struct {
	assigned map[placement.WaitID]chan placement.Assignment // each takes one value without blocking
	check    *time.Timer                                    // calls advance when a place may come free as time passes
}

func newWaitingRequests() waitingRequests {
	return waitingRequests{assigned: make(map[placement.WaitID]chan placement.Assignment)}
}

// deliver ends a wait.
func (w *waitingRequests) deliver(assignment placement.Assignment) {
	w.assigned[assignment.Wait] <- assignment
	delete(w.assigned, assignment.Wait)
}

// pick has the placer pick a server for an attempt. If none can take the request now, it waits for one for as long as a
// start is in time. It returns errClientCanceled if the context is done meanwhile. The request must stay unchanged
// until pick returns.
func (d *dispatcher) pick(ctx context.Context, request *placement.Request) (placement.Decision, error) {
	placed, assigned, err := d.place(request)
	if err != nil || assigned == nil {
		return placed.Decision, err
	}
	latestStart := time.NewTimer(time.Until(d.start.Add(placed.LatestStart)))
	defer latestStart.Stop()
	select {
	case assignment := <-assigned:
		return assignment.Decision, assignment.Err
	case <-latestStart.C:
		return d.endWait(placed.Wait, assigned)
	case <-ctx.Done():
		if decision, err := d.endWait(placed.Wait, assigned); err == nil {
			d.finished(decision.Attempt, placement.NotSent)
		}
		return placement.Decision{}, errClientCanceled
	}
}

// place asks the placer for a server. assigned is nil unless the request waits; otherwise it receives the assignment.
func (d *dispatcher) place(request *placement.Request) (placed placement.Placement, assigned <-chan placement.Assignment, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance()
	placed, displaced, err := d.placer.Place(d.now(), request)
	if displaced != nil {
		d.waiting.deliver(*displaced)
	}
	if err != nil || placed.Wait == 0 {
		return placed, nil, err
	}
	channel := make(chan placement.Assignment, 1)
	d.waiting.assigned[placed.Wait] = channel
	d.scheduleCheck()
	return placed, channel, nil
}

// endWait ends the wait of a request. If the request was assigned a server meanwhile, it returns that assignment.
func (d *dispatcher) endWait(id placement.WaitID, assigned <-chan placement.Assignment) (placement.Decision, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if withdrawn, reason := d.placer.Withdraw(id); withdrawn {
		delete(d.waiting.assigned, id)
		return placement.Decision{}, reason
	}
	assignment := <-assigned
	return assignment.Decision, assignment.Err
}

// advance assigns servers to the waiting requests that can be served now. The caller holds the lock.
func (d *dispatcher) advance() {
	if len(d.waiting.assigned) == 0 {
		return
	}
	for _, assignment := range d.placer.Advance(d.now()) {
		d.waiting.deliver(assignment)
	}
	d.scheduleCheck()
}

// scheduleCheck schedules the next call of advance that no report to the placer causes. The caller holds the lock.
func (d *dispatcher) scheduleCheck() {
	at, waiting := d.placer.NextCheck()
	if !waiting {
		return
	}
	delay := max(at-d.now(), 0)
	if d.waiting.check == nil {
		d.waiting.check = time.AfterFunc(delay, d.checkWaiting)
		return
	}
	d.waiting.check.Reset(delay)
}

// checkWaiting calls advance when the check is due.
func (d *dispatcher) checkWaiting() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance()
}
