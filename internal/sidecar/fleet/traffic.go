package fleet

import (
	"time"

	"fieldrelay/internal/sidecar/verdict"
)

// RecordOutcome takes in the outcome of an attempt at an execute node.
func (f *Fleet) RecordOutcome(node string, failed bool, took time.Duration) {
	f.observations.count(node, failed, took)
}

// Admit admits a request under the limits of the fleet, or returns after what time to retry. again is set for a retry of the
// client's. done must be called once when the request has ended; ends is when that is at the latest.
func (f *Fleet) Admit(class, tenant string, again bool, ends time.Time) (done func(), after time.Duration, ok bool) {
	return f.limits.admit(class, tenant, again, ends)
}

// AdmitAttempt admits an attempt at an execute node under the limits of the fleet, or not. warm is the fraction of its capacity that
// the node has while it warms up. done, if it is not nil, must be called once when the attempt has ended.
func (f *Fleet) AdmitAttempt(node, class, tenant string, again bool, warm float64, ends time.Time) (done func(), ok bool) {
	return f.limits.admitAttempt(node, class, tenant, again, warm, ends)
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
