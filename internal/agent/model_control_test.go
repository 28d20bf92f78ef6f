package agent

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/gossip"
	"fieldrelay/internal/packing"
)

// modelControl answers watches as package controlserver does.
type modelControl struct {
	model         *model
	address       string
	replica       *gossip.Replica
	authoritative bool
	stuck         bool // it hears of nothing new
	dead          bool // it answers nothing
	waiting       []*modelWatch
	packer        packing.Packer
}

// modelWatch is a call that is held; after its answer done is nil.
type modelWatch struct {
	request *pb.WatchRequest
	done    func(*pb.WatchResponse)
}

// follow takes all changes up to now, now and then as a whole state: then it keeps no changes from before.
func (c *modelControl) follow() {
	if c.stuck {
		return
	}
	if c.model.random.IntN(200) == 0 {
		newest := c.model.truth[c.model.last()]
		if _, err := c.replica.Restore(c.replica.Snapshot(), newest.RepairFor(c.replica.Snapshot().Digests())); err != nil {
			c.model.fail("the model is wrong: %v", err)
		}
	}
	c.replica.ApplyChanges(c.model.changes[c.replica.Sequence():])
	c.answerWaiting(false)
}

func (c *modelControl) answerWaiting(all bool) {
	var kept []*modelWatch
	for _, waiting := range c.waiting {
		if response, news := c.compose(waiting.request); news || all {
			waiting.done(response)
		} else {
			kept = append(kept, waiting)
		}
	}
	c.waiting = kept
}

func (c *modelControl) watch(request *pb.WatchRequest, done func(*pb.WatchResponse)) {
	response, news := c.compose(request)
	if news || request.GetHoldMs() == 0 {
		done(response)
		return
	}
	held := &modelWatch{request: request}
	answered := false
	held.done = func(response *pb.WatchResponse) {
		if !answered {
			answered = true
			done(response)
		}
	}
	c.waiting = append(c.waiting, held)
	c.model.after(time.Duration(request.GetHoldMs())*time.Millisecond, func() {
		response, _ := c.compose(request)
		held.done(response)
	})
}

// compose is the answer as of now and whether it has to be sent at once.
func (c *modelControl) compose(request *pb.WatchRequest) (*pb.WatchResponse, bool) {
	response := &pb.WatchResponse{
		Authoritative: c.authoritative,
		Sequence:      c.replica.Sequence(),
		Generation:    c.replica.Snapshot().Generation(),
		MembersSource: c.address,
	}
	if request.GetProbe() {
		return response, c.authoritative
	}
	news := c.addState(response, request)
	c.packer.PackAnswer(request, response)
	if request.GetMembersSource() != c.address {
		response.Members = c.model.members()
		news = true
	}
	if c.model.plant.watch != nil {
		c.model.plant.watch(response)
	}
	return response, news
}

func (c *modelControl) addState(response *pb.WatchResponse, request *pb.WatchRequest) bool {
	switch held := request.GetSequence(); {
	case held >= c.replica.Sequence():
		return false
	case held == 0:
		response.Repair = c.replica.Snapshot().RepairFor(nil)
	default:
		changes, kept := c.replica.Since(held)
		switch digests := request.GetDigests(); {
		case kept:
			response.Changes = changes
		case digests != nil && digests.GetSequence() == held:
			response.Repair = c.replica.Snapshot().RepairFor(digests)
		default:
			response.NeedDigests = true
		}
	}
	return true
}

func (m *model) members() *pb.Members {
	members := &pb.Members{Version: 1}
	for _, one := range m.agents {
		members.Agents = append(members.Agents, &pb.AgentRecord{
			Host:         one.self.Host,
			AgentAddress: one.self.Address,
			Zone:         one.self.Zone,
			Region:       one.self.Region,
		})
	}
	return members
}
