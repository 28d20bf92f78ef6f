package simulate

import (
	"math"
	"slices"
	"time"

	"fieldrelay/internal/region/migration/capacity"
)

// generateTokens advances the responses whose requests have arrived, and ends completed ones.
func (d *deployment) generateTokens() {
	for _, response := range slices.Clone(d.responses) {
		if d.now < response.arrivesAt {
			continue
		}
		if !response.server.present {
			// The server stopped while the request was in flight. The proxy cannot know whether it was executed.
			d.checker.lost(response, "its server stopped while the request was in flight")
			d.end(response)
			continue
		}
		response.remaining -= tick
		response.written += tick
		if response.remaining <= 0 {
			d.checker.completed(response)
			d.counts.served++
			d.end(response)
		}
	}
}

func (d *deployment) end(ended *response) {
	d.responses = slices.DeleteFunc(d.responses, func(other *response) bool { return other == ended })
	ended.server.inFlight = slices.DeleteFunc(ended.server.inFlight, func(other *response) bool { return other == ended })
	ended.edge.inFlight = slices.DeleteFunc(ended.edge.inFlight, func(other *response) bool { return other == ended })
}

// issueRequests issues the requests of this tick. The requests of each client are a Poisson process.
func (d *deployment) issueRequests() {
	for _, from := range d.clients {
		expected := from.offered(d.now) / from.meanDuration.Seconds() * tick.Seconds()
		for range poisson(d, expected) {
			d.request(from)
		}
	}
}

// poisson draws from a Poisson distribution by Knuth's multiplication method.
func poisson(d *deployment, mean float64) int {
	limit, product, count := math.Exp(-mean), d.random.Float64(), 0
	for product > limit {
		product *= d.random.Float64()
		count++
	}
	return count
}

func (d *deployment) request(from *client) {
	d.counts.requests++
	edge := d.pickEdge(from)
	if edge == nil {
		d.counts.noEdge++
		return
	}
	server := d.pickServer(edge, from)
	if server == nil {
		d.counts.rejected++ // status 503: the request was not executed
		from.rejected++
		from.rejectedAt = d.now
		return
	}
	length := min(time.Duration(d.random.ExpFloat64()*float64(from.meanDuration)), longestResponse)
	if from.resumable && d.happens(0.01) {
		length = 4 * longestResponse // longer than the drain time of every plan
	}
	started := &response{client: from, edge: edge, remaining: length, length: length, resumable: from.resumable, executions: 1}
	edge.inFlight = append(edge.inFlight, started)
	d.responses = append(d.responses, started)
	d.send(started, server)
}

func (d *deployment) send(response *response, server *node) {
	response.server = server
	response.arrivesAt = d.now + d.durationBetween(tick, d.faults.maxSendDelay)
	server.inFlight = append(server.inFlight, response)
}

// pickEdge returns the edge machine that a client uses: a machine of its region that was in the directory at some time
// within the last address TTL.
func (d *deployment) pickEdge(from *client) *node {
	cordoned := d.store.directoryAt(d.now - d.durationBetween(0, addressTTL))
	var near []*node
	for _, node := range d.orderedNodes {
		if node.spec.Kind == capacity.Edge && node.ready(d.now) && node.spec.Region == from.region && !slices.Contains(cordoned, node.spec.ID) {
			near = append(near, node)
		}
	}
	if len(near) == 0 {
		return nil
	}
	return near[d.random.IntN(len(near))]
}

// pickServer returns the server with the most free slots among those that the proxy's state does not cordon. Servers in the
// proxy's own region take precedence.
func (d *deployment) pickServer(edge *node, from *client) *node {
	var best *node
	bestFree := 0.0
	for _, own := range []bool{true, false} {
		for _, node := range d.orderedNodes {
			usable := node.spec.Kind == capacity.Server && node.ready(d.now) && from.allowsRegion(node.spec.Region) &&
				!slices.Contains(edge.state.Cordoned, node.spec.ID)
			if !usable || own != (node.spec.Region == edge.spec.Region) {
				continue
			}
			free := node.spec.Capacity[capacity.Slots] - float64(len(node.inFlight))
			if free >= 1 && free > bestFree {
				best, bestFree = node, free
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// migrateStreams resumes on other servers the resumable streams of a proxy whose servers the state lists in Migrating.
func (d *deployment) migrateStreams(edge *node) {
	for _, stream := range slices.Clone(edge.inFlight) {
		if !slices.Contains(edge.state.Migrating, stream.server.spec.ID) {
			continue
		}
		if !stream.resumable || d.now < stream.arrivesAt {
			continue
		}
		to := d.pickServer(edge, stream.client)
		if to == nil {
			continue
		}
		from := stream.server
		from.inFlight = slices.DeleteFunc(from.inFlight, func(other *response) bool { return other == stream })
		d.counts.migrated++
		if d.planted == faultStreamsRestart {
			stream.executions++
			stream.remaining = stream.length
		}
		d.send(stream, to)
	}
}

// crash stops a node without warning. Resumable streams on a server continue on other servers if possible; the other
// responses are lost to the crash.
func (d *deployment) crash(node *node, downtime time.Duration) {
	if !node.present {
		return
	}
	node.present = false
	node.restartAt = d.now + downtime
	for _, hit := range slices.Clone(node.inFlight) {
		if node.spec.Kind == capacity.Server && hit.resumable && hit.edge.present {
			if to := d.pickServer(hit.edge, hit.client); to != nil {
				node.inFlight = slices.DeleteFunc(node.inFlight, func(other *response) bool { return other == hit })
				d.send(hit, to)
				continue
			}
		}
		d.counts.crashed++
		d.end(hit)
	}
}
