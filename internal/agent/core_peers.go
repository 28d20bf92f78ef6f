package agent

import (
	"time"

	"connectrpc.com/connect"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/gossip"
	"fieldrelay/internal/shuffle"
)

// handlePeerCallDone takes the end of a call to another agent.
func (c *core) handlePeerCallDone(now time.Duration, received event) []action {
	switch done := received.(type) {
	case shuffleDone:
		if c.recordPeerFailure(now, done.err, done.call.To.Host) {
			return nil
		}
		sample := neighboursFromMessages(done.response.GetSample())
		c.partialView.Step(now, shuffle.Answered{From: done.call.To, Sample: sample})
	case pushDone:
		if c.recordPeerFailure(now, done.err, done.call.To.Host) {
			return nil
		}
		return c.gossipActions(c.gossip.Step(now, gossip.PushAnswered{
			To:       done.call.To,
			Sequence: done.response.GetSequence(),
			List:     done.response.GetList(),
		}))
	case compareDone:
		if c.recordPeerFailure(now, done.err, done.call.To.Host) {
			return nil
		}
		return c.gossipActions(c.gossip.Step(now, gossip.Compared{Request: done.call.Compare, Response: done.response}))
	}
	return nil
}

// recordPeerFailure drops a neighbour that didn't answer. One that is busy stays.
func (c *core) recordPeerFailure(now time.Duration, err error, host string) bool {
	if err == nil {
		return false
	}
	c.counters.peerFailures++
	c.counters.peerFailureKinds.count(err)
	if connect.CodeOf(err) == connect.CodeResourceExhausted {
		return true
	}
	c.partialView.Step(now, shuffle.Failed{Host: host})
	return true
}

// handlePeerRequest answers another agent's call.
func (c *core) handlePeerRequest(now time.Duration, received event) []action {
	switch asked := received.(type) {
	case shuffleRequested:
		c.counters.shufflesReceived++
		c.answerShuffle(now, asked)
	case pushRequested:
		c.counters.pushesReceived++
		return c.answerPush(now, asked)
	case compareRequested:
		c.counters.comparesReceived++
		return c.answerCompare(now, asked)
	}
	return nil
}

func (c *core) answerShuffle(now time.Duration, request shuffleRequested) {
	actions := c.partialView.Step(now, shuffle.ExchangeRequested{
		From:   neighbourFromMessage(request.request.GetFrom()),
		Sample: neighboursFromMessages(request.request.GetSample()),
	})
	for _, one := range actions {
		if answer, ok := one.(shuffle.Answer); ok {
			request.answer <- &pb.ShuffleResponse{Sample: neighbourMessages(answer.Sample)}
		}
	}
}

func (c *core) answerPush(now time.Duration, request pushRequested) []action {
	actions := c.gossip.Step(now, gossip.PushRequested{
		From:    neighbourFromMessage(request.request.GetFrom()),
		Changes: request.request.GetChanges(),
		List:    request.request.GetList(),
	})
	for _, one := range actions {
		if answer, ok := one.(gossip.PushReply); ok {
			request.answer <- &pb.PushResponse{Sequence: answer.Sequence, List: answer.List}
		}
	}
	return c.gossipActions(actions)
}

func (c *core) answerCompare(now time.Duration, request compareRequested) []action {
	actions := c.gossip.Step(now, gossip.CompareRequested{
		From:              neighbourFromMessage(request.request.GetFrom()),
		Digests:           request.request.GetDigests(),
		List:              request.request.GetList(),
		AcceptsCompressed: request.request.GetTakesPacked(),
	})
	for _, one := range actions {
		if answer, ok := one.(gossip.CompareReply); ok {
			request.answer <- answer.Response
		}
	}
	return c.gossipActions(actions)
}

// gossipActions are the calls among what the gossip wants; its answers have been given.
func (c *core) gossipActions(produced []gossip.Action) []action {
	var actions []action
	for _, one := range produced {
		switch one := one.(type) {
		case gossip.Push:
			c.counters.pushes++
			actions = append(actions, pushCall{one})
		case gossip.Compare:
			c.counters.compares++
			actions = append(actions, compareCall{one})
		}
	}
	return actions
}
