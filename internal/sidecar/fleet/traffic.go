package fleet

import (
	"time"

	"fieldrelay/internal/sidecar/verdict"
)

// RecordOutcome takes in the outcome of an attempt at an execute node.
func (f *Fleet) RecordOutcome(node string, failed bool, took time.Duration) {
	f.observations.count(node, failed, took)
}

// Admit admits a request under the limits of the fleet, or returns after what time to retry. isRetry is set for a retry of the
// client's. done must be called once when the request has ended; deadline is when that is at the latest.
func (f *Fleet) Admit(class, tenant string, isRetry bool, deadline time.Time) (done func(), retryAfter time.Duration, ok bool) {
	return f.limits.admit(class, tenant, isRetry, deadline)
}

// AdmitAttempt admits an attempt at an execute node under the limits of the fleet, or not. warmFraction is the fraction of its capacity that
// the node has while it warms up. done, if it is not nil, must be called once when the attempt has ended.
func (f *Fleet) AdmitAttempt(node, class, tenant string, isRetry bool, warmFraction float64, deadline time.Time) (done func(), ok bool) {
	return f.limits.admitAttempt(node, class, tenant, isRetry, warmFraction, deadline)
}

// SetDraining takes in that this sidecar's list has a process of an execute node, by its start, as draining or gone, or no longer so.
func (f *Fleet) SetDraining(node string, since time.Duration, draining bool) {
	if f.observations.enabled {
		f.box.Put(func() { f.step(SetDraining{Node: node, Since: since, Draining: draining}) })
	}
}

// SetNodes takes in which execute nodes take requests.
func (f *Fleet) SetNodes(nodes []verdict.Node) {
	f.observations.setNodes(nodes)
	if list, changed := f.limits.setNodes(nodes); changed {
		f.box.Put(func() { f.step(SetLimits{list}) })
	}
}
