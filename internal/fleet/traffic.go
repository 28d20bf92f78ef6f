package fleet

import (
	"time"

	"fieldrelay/internal/verdict"
)

// Outcome takes in what came of a claim at an execute node, from any goroutine.
func (f *Fleet) Outcome(node string, failed bool, took time.Duration) {
	f.observations.count(node, failed, took)
}

// Admit lets a request through the limits of the fleet, or tells after what time to come again. done is called once
// when the request has ended; ends is when that is at the latest. Nothing is waited for.
func (f *Fleet) Admit(class, tenant string, again bool, ends time.Time) (done func(), after time.Duration, ok bool) {
	return f.limits.admit(class, tenant, again, ends)
}

// Claim lets an attempt at an execute node through the limits of the fleet, or not; done, if there is one, is called once
// it has ended. Nothing is waited for.
func (f *Fleet) Claim(node, class, tenant string, again bool, warm float64, ends time.Time) (done func(), ok bool) {
	return f.limits.claim(node, class, tenant, again, warm, ends)
}

// SetDraining takes in that this sidecar's list has an execute node, by its start, as draining or gone; or no longer so.
func (f *Fleet) Drains(node string, since time.Duration, drains bool) {
	if f.observations.enabled {
		f.box.Put(func() { f.step(SetDraining{Node: node, Since: since, Draining: drains}) })
	}
}

// Listed takes in which execute nodes take claims, likewise.
func (f *Fleet) Listed(nodes []verdict.Node) {
	f.observations.setNodes(nodes)
	if list, changed := f.limits.setNodes(nodes); changed {
		f.box.Put(func() { f.step(SetLimits{list}) })
	}
}
