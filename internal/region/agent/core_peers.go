package agent

import (
	"time"

	"connectrpc.com/connect"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/gossip"
	"fieldrelay/internal/region/shuffle"
)

// stepGossip ticks the gossip and the partial view when their tick is due, and returns the calls to other agents.
func (c *core) stepGossip(now time.Duration) []action {
	if now < c.gossipDue {
		return nil
	}
	c.gossipDue = now + gossipInterval
	actions := c.peerCalls(c.gossip.Step(now, gossip.Tick{}))
	for _, viewAction := range c.partialView.Step(now, shuffle.Tick{}) {
		if exchange, ok := viewAction.(shuffle.Exchange); ok {
			c.counters.shuffles++
			actions = append(actions, shuffleCall{exchange})
		}
	}
	return actions
}

// peerCalls returns the calls to other agents among the actions of the gossip. Replies are not calls: the handlers of
// the requests send them.
func (c *core) peerCalls(produced []gossip.Action) []action {
	var actions []action
	for _, gossipAction := range produced {
		switch call := gossipAction.(type) {
		case gossip.Push:
			c.counters.pushes++
			actions = append(actions, pushCall{call})
		case gossip.Compare:
			c.counters.compares++
			actions = append(actions, compareCall{call})
		}
	}
	return actions
}

// handlePeerCallDone processes the result of a call to another agent, and returns the calls that follow from it.
func (c *core) handlePeerCallDone(now time.Duration, received event) []action {
	switch done := received.(type) {
	case shuffleDone:
		if c.recordPeerFailure(now, done.err, done.call.To.Host) {
			return nil
		}
		sample := neighboursFromMessages(done.response.GetSample())
		c.partialView.Step(now, shuffle.ExchangeAnswered{From: done.call.To, Sample: sample})
	case pushDone:
		if c.recordPeerFailure(now, done.err, done.call.To.Host) {
			return nil
		}
		return c.peerCalls(c.gossip.Step(now, gossip.PushAnswered{
			To:       done.call.To,
			Sequence: done.response.GetSequence(),
			List:     done.response.GetList(),
		}))
	case compareDone:
		if c.recordPeerFailure(now, done.err, done.call.To.Host) {
			return nil
		}
		return c.peerCalls(c.gossip.Step(now, gossip.CompareAnswered{Request: done.call.Compare, Response: done.response}))
	}
	return nil
}

// recordPeerFailure reports whether a call to another agent failed. If so, it counts the failure and removes that agent
// from the partial view, unless the agent responded that it is overloaded.
func (c *core) recordPeerFailure(now time.Duration, err error, host string) bool {
	if err == nil {
		return false
	}
	c.counters.peerFailures++
	c.counters.peerFailureKinds.count(err)
	if connect.CodeOf(err) == connect.CodeResourceExhausted {
		return true
	}
	c.partialView.Step(now, shuffle.ExchangeFailed{Host: host})
	return true
}

// handlePeerRequest responds to a call of another agent. The response channel of a request has capacity for the single
// response, so that the core never blocks on a caller.
func (c *core) handlePeerRequest(now time.Duration, received event) []action {
	switch received := received.(type) {
	case shuffleRequested:
		c.counters.shufflesReceived++
		c.answerShuffle(now, received)
	case pushRequested:
		c.counters.pushesReceived++
		return c.answerPush(now, received)
	case compareRequested:
		c.counters.comparesReceived++
		return c.answerCompare(now, received)
	}
	return nil
}

func (c *core) answerShuffle(now time.Duration, received shuffleRequested) {
	produced := c.partialView.Step(now, shuffle.ExchangeRequested{
		From:   neighbourFromMessage(received.request.GetFrom()),
		Sample: neighboursFromMessages(received.request.GetSample()),
	})
	for _, viewAction := range produced {
		if reply, ok := viewAction.(shuffle.ExchangeReply); ok {
			received.response <- &pb.ShuffleResponse{Sample: neighbourMessages(reply.Sample)}
		}
	}
}

func (c *core) answerPush(now time.Duration, received pushRequested) []action {
	produced := c.gossip.Step(now, gossip.PushRequested{
		From:    neighbourFromMessage(received.request.GetFrom()),
		Changes: received.request.GetChanges(),
		List:    received.request.GetList(),
	})
	for _, gossipAction := range produced {
		if reply, ok := gossipAction.(gossip.PushReply); ok {
			received.response <- &pb.PushResponse{Sequence: reply.Sequence, List: reply.List}
		}
	}
	return c.peerCalls(produced)
}

func (c *core) answerCompare(now time.Duration, received compareRequested) []action {
	produced := c.gossip.Step(now, gossip.CompareRequested{
		From:              neighbourFromMessage(received.request.GetFrom()),
		Digests:           received.request.GetDigests(),
		List:              received.request.GetList(),
		AcceptsCompressed: received.request.GetAcceptsCompressed(),
	})
	for _, gossipAction := range produced {
		if reply, ok := gossipAction.(gossip.CompareReply); ok {
			received.response <- reply.Response
		}
	}
	return c.peerCalls(produced)
}
