package agent

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/gossip"
	"fieldrelay/internal/region/packing"
)

// modelControl is a simulated control machine. It responds to Watch calls as package controlserver does.
type modelControl struct {
	model         *model
	address       string
	replica       *gossip.Replica
	authoritative bool
	stalled       bool // receives no changes
	dead          bool // does not respond to calls
	waiting       []*modelWatch
	compressor    packing.Compressor
}

// modelWatch is a long poll that waits for an update.
type modelWatch struct {
	request *pb.WatchRequest
	done    func(*pb.WatchResponse)
}

// applyCommitted applies all changes committed so far. In one of 200 calls it applies them as a complete state, after
// which the machine no longer has the earlier changes.
func (c *modelControl) applyCommitted() {
	if c.stalled {
		return
	}
	if c.model.random.IntN(200) == 0 {
		newest := c.model.committedStates[c.model.newestSequence()]
		if _, err := c.replica.Restore(c.replica.Snapshot(), newest.RepairFor(c.replica.Snapshot().Digests())); err != nil {
			c.model.fail("the model cannot restore its own state: %v", err)
		}
	}
	c.replica.ApplyChanges(c.model.changes[c.replica.Sequence():])
	c.respondToWaiting(false)
}

func (c *modelControl) respondToWaiting(all bool) {
	var remaining []*modelWatch
	for _, waiting := range c.waiting {
		if response, updated := c.respond(waiting.request); updated || all {
			waiting.done(response)
		} else {
			remaining = append(remaining, waiting)
		}
	}
	c.waiting = remaining
}

func (c *modelControl) watch(request *pb.WatchRequest, done func(*pb.WatchResponse)) {
	response, updated := c.respond(request)
	if updated || request.GetHoldMs() == 0 {
		done(response)
		return
	}
	waiting := &modelWatch{request: request}
	answered := false
	waiting.done = func(response *pb.WatchResponse) {
		if !answered {
			answered = true
			done(response)
		}
	}
	c.waiting = append(c.waiting, waiting)
	c.model.after(time.Duration(request.GetHoldMs())*time.Millisecond, func() {
		response, _ := c.respond(request)
		waiting.done(response)
	})
}

// respond returns the response for the present state, and whether it is due at once.
func (c *modelControl) respond(request *pb.WatchRequest) (*pb.WatchResponse, bool) {
	response := &pb.WatchResponse{
		Authoritative: c.authoritative,
		Sequence:      c.replica.Sequence(),
		Generation:    c.replica.Snapshot().Generation(),
		MembersSource: c.address,
	}
	if request.GetProbe() {
		return response, c.authoritative
	}
	updated := c.addState(response, request)
	c.compressor.CompressResponse(request, response)
	if request.GetMembersSource() != c.address {
		response.Members = c.model.members()
		updated = true
	}
	if c.model.injected.watch != nil {
		c.model.injected.watch(response)
	}
	return response, updated
}

func (c *modelControl) addState(response *pb.WatchResponse, request *pb.WatchRequest) bool {
	switch sequence := request.GetSequence(); {
	case sequence >= c.replica.Sequence():
		return false
	case sequence == 0:
		response.Repair = c.replica.Snapshot().RepairFor(nil)
	default:
		changes, available := c.replica.ChangesSince(sequence)
		switch digests := request.GetDigests(); {
		case available:
			response.Changes = changes
		case digests != nil && digests.GetSequence() == sequence:
			response.Repair = c.replica.Snapshot().RepairFor(digests)
		default:
			response.NeedDigests = true
		}
	}
	return true
}

func (m *model) members() *pb.Members {
	members := &pb.Members{Version: 1}
	for _, agent := range m.agents {
		members.Agents = append(members.Agents, &pb.AgentRecord{
			Host:         agent.self.Host,
			AgentAddress: agent.self.Address,
			Zone:         agent.self.Zone,
			Region:       agent.self.Region,
		})
	}
	return members
}
