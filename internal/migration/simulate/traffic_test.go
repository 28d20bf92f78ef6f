package simulate

import (
	"math"
	"slices"
	"time"

	"fieldrelay/internal/migration/room"
)

// generate writes on the replies that have arrived, and ends those that are whole.
func (w *world) generate() {
	for _, one := range slices.Clone(w.replies) {
		if w.now < one.arrivesAt {
			continue
		}
		if !one.server.present {
			// it ended while the request was on its way: nobody can tell whether it ran
			w.checker.lost(one, "its server ended while it was on its way")
			w.end(one)
			continue
		}
		one.left -= tick
		one.written += tick
		if one.left <= 0 {
			w.checker.whole(one)
			w.counts.served++
			w.end(one)
		}
	}
}

func (w *world) end(one *reply) {
	w.replies = slices.DeleteFunc(w.replies, func(other *reply) bool { return other == one })
	one.server.open = slices.DeleteFunc(one.server.open, func(other *reply) bool { return other == one })
	one.edge.open = slices.DeleteFunc(one.edge.open, func(other *reply) bool { return other == one })
}

// arrive makes the requests of this tick.
func (w *world) arrive() {
	for _, from := range w.clients {
		expected := from.offered(w.now) / from.mean.Seconds() * tick.Seconds()
		for range poisson(w, expected) {
			w.request(from)
		}
	}
}

func poisson(w *world, mean float64) int {
	limit, product, count := math.Exp(-mean), w.random.Float64(), 0
	for product > limit {
		product *= w.random.Float64()
		count++
	}
	return count
}

func (w *world) request(from *client) {
	w.counts.asked++
	edge := w.pickEdge(from)
	if edge == nil {
		w.counts.noEdge++
		return
	}
	server := w.pickServer(edge, from)
	if server == nil {
		w.counts.turnedAway++ // 503: it has not run
		from.turnedAway++
		from.turnedAt = w.now
		return
	}
	length := min(time.Duration(w.random.ExpFloat64()*float64(from.mean)), longestReply)
	if from.resumable && w.chance(0.01) {
		length = 4 * longestReply // longer than any plan expects
	}
	made := &reply{client: from, edge: edge, left: length, length: length, resumable: from.resumable, runs: 1}
	edge.open = append(edge.open, made)
	w.replies = append(w.replies, made)
	w.send(made, server)
}

func (w *world) send(one *reply, server *node) {
	one.server = server
	one.arrivesAt = w.now + w.between(tick, w.faults.send)
	server.open = append(server.open, one)
}

// pickEdge gives the edge machine that a client asks: one of its region, as told some seconds ago at most.
func (w *world) pickEdge(from *client) *node {
	heard := w.store.directoryAt(w.now - w.between(0, addressLife))
	var near []*node
	for _, one := range w.order {
		if one.spec.Kind == room.Edge && one.ready(w.now) && one.spec.Region == from.region && !slices.Contains(heard, one.spec.ID) {
			near = append(near, one)
		}
	}
	if len(near) == 0 {
		return nil
	}
	return near[w.random.IntN(len(near))]
}

// pickServer gives the server with the most free slots, of the proxy's own region if there is one, of those that
// the proxy may use as far as it knows.
func (w *world) pickServer(edge *node, from *client) *node {
	var best *node
	bestFree := 0.0
	for _, own := range []bool{true, false} {
		for _, one := range w.order {
			usable := one.spec.Kind == room.Server && one.ready(w.now) && from.serves(one.spec.Region) &&
				!slices.Contains(edge.inForce.Cordoned, one.spec.ID)
			if !usable || own != (one.spec.Region == edge.spec.Region) {
				continue
			}
			free := one.spec.Capacity[room.Slots] - float64(len(one.open))
			if free >= 1 && free > bestFree {
				best, bestFree = one, free
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// move takes up elsewhere what a proxy carries of streams that are to move and can.
func (w *world) move(edge *node) {
	for _, one := range slices.Clone(edge.open) {
		if !slices.Contains(edge.inForce.Migrating, one.server.spec.ID) {
			continue
		}
		if !one.resumable || w.now < one.arrivesAt {
			continue
		}
		to := w.pickServer(edge, one.client)
		if to == nil {
			continue
		}
		from := one.server
		from.open = slices.DeleteFunc(from.open, func(other *reply) bool { return other == one })
		w.counts.moved++
		if w.flaw == flawMovesAnew {
			one.runs++
			one.left = one.length
		}
		w.send(one, to)
	}
}

// crash ends a node without warning. Streams that can be resumed go on elsewhere; the rest is lost to the crash.
func (w *world) crash(one *node, back time.Duration) {
	if !one.present {
		return
	}
	one.present = false
	one.restartAt = w.now + back
	for _, hit := range slices.Clone(one.open) {
		if one.spec.Kind == room.Server && hit.resumable && hit.edge.present {
			if to := w.pickServer(hit.edge, hit.client); to != nil {
				one.open = slices.DeleteFunc(one.open, func(other *reply) bool { return other == hit })
				w.send(hit, to)
				continue
			}
		}
		w.counts.crashed++
		w.end(hit)
	}
}
