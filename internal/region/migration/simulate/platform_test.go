package simulate

import (
	"slices"
	"time"

	"fieldrelay/internal/region/migration/capacity"
)

// propagateState delivers the committed state to proxies that are not partitioned.
func (d *deployment) propagateState() {
	committed := d.store.committed
	for _, node := range d.orderedNodes {
		if node.spec.Kind != capacity.Edge || !node.present || d.now < node.partitionedUntil || committed == nil {
			continue
		}
		if node.state.Revision < committed.Revision && d.happens(d.faults.propagation) {
			node.state = committed
			d.migrateStreams(node)
		}
	}
}

// runPlatform starts and stops nodes as the committed state says.
func (d *deployment) runPlatform() {
	for _, node := range d.orderedNodes {
		d.restart(node)
		if node.startAt > 0 && d.now >= node.startAt {
			node.startAt = 0
			d.start(node)
		}
		if node.stopAt > 0 && d.now >= node.stopAt {
			node.stopAt = 0
			d.stop(node)
		}
	}
	committed := d.store.committed
	if committed == nil || !d.happens(0.1) {
		return
	}
	for _, id := range committed.Start {
		if node := d.nodes[id]; !node.present && node.startAt == 0 && node.restartAt == 0 {
			node.startAt = d.now + d.durationBetween(tick, maxCommandDelay)
		}
	}
	for _, id := range committed.Stop {
		node := d.nodes[id]
		node.restartAt = 0
		if node.present && node.stopAt == 0 {
			node.stopAt = d.now + d.durationBetween(tick, maxCommandDelay)
		}
	}
}

func (d *deployment) restart(node *node) {
	if node.restartAt > 0 && d.now >= node.restartAt {
		node.restartAt = 0
		d.faults.unstableUntil = max(d.faults.unstableUntil, d.now+stabilization)
		d.start(node)
	}
}

func (d *deployment) start(node *node) {
	if node.present {
		return
	}
	node.present = true
	node.readyAt = d.now + d.durationBetween(time.Second, 3*time.Second)
	if d.store.committed != nil {
		node.state = d.store.committed // a proxy is ready only when it has the newest state
	}
}

// stop stops a node. The checker counts the responses that are still in flight on the node as lost by the migration.
func (d *deployment) stop(node *node) {
	if !node.present {
		return
	}
	d.checker.stopping(node)
	node.present, node.stopped = false, true
	for _, lost := range slices.Clone(node.inFlight) {
		d.checker.lost(lost, "its node was stopped")
		d.end(lost)
	}
}

// exchangeVoters carries out a swap of the committed state, at most one at a time.
func (d *deployment) exchangeVoters() {
	committed := d.store.committed
	if committed == nil || !d.happens(0.05) || !d.store.hasMajority() {
		return
	}
	for _, swap := range committed.Swaps {
		in, out := d.nodes[swap.In], d.nodes[swap.Out]
		if in != nil && !in.votes && !in.ready(d.now) {
			continue
		}
		if in != nil && !in.votes || out != nil && out.votes {
			if in != nil {
				in.votes = true
			}
			if out != nil {
				out.votes = false
			}
			return
		}
	}
}
