package fleet

import (
	"time"

	"fieldrelay/internal/sidecar/verdict"
)

// RecordOutcome records the outcome of an attempt at an execute node, for the verdicts.
func (f *Fleet) RecordOutcome(node string, failed bool, took time.Duration) {
	f.observations.count(node, failed, took)
}

// Admit admits a request under the limits of the fleet, or returns the time after which to retry. isRetry is set if the client is
// retrying an earlier request. done must be called once when the request has ended, which is at deadline at the latest.
func (f *Fleet) Admit(class, tenant string, isRetry bool, deadline time.Time) (done func(), retryAfter time.Duration, ok bool) {
	return f.limits.admit(class, tenant, isRetry, deadline)
}

// AdmitAttempt reports whether the limits of the fleet admit an attempt at an execute node. warmFraction is the fraction of its
// capacity that the node has while it warms up. done, if it is not nil, must be called once when the attempt has ended.
func (f *Fleet) AdmitAttempt(node, class, tenant string, isRetry bool, warmFraction float64, deadline time.Time) (done func(), ok bool) {
	return f.limits.admitAttempt(node, class, tenant, isRetry, warmFraction, deadline)
}

// SetDraining announces to the fleet whether the process of an execute node that started at since is draining in this sidecar's list
// or has been removed from it. It does nothing if verdicts are off.
func (f *Fleet) SetDraining(node string, since time.Duration, draining bool) {
	if f.observations.enabled {
		f.box.Put(func() { f.step(SetDraining{Node: node, Since: since, Draining: draining}) })
	}
}

// SetNodes replaces the list of execute nodes that accept requests.
func (f *Fleet) SetNodes(nodes []verdict.Node) {
	f.observations.setNodes(nodes)
	if list, changed := f.limits.setNodes(nodes); changed {
		f.box.Put(func() { f.step(SetLimits{list}) })
	}
}
