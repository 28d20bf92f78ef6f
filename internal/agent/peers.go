package agent

import (
	"time"

	"connectrpc.com/connect"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/gossip"
	"fieldrelay/internal/shuffle"
)

// peerDone takes the end of a call to another agent.
func (c *core) peerDone(now time.Duration, happened event) []action {
	switch done := happened.(type) {
	case shuffleDone:
		if c.peerFailed(now, done.err, done.call.To.Host) {
			return nil
		}
		sample := fromMessages(done.response.GetSample())
		c.view.Step(now, shuffle.Answered{From: done.call.To, Sample: sample})
	case pushDone:
		if c.peerFailed(now, done.err, done.call.To.Host) {
			return nil
		}
		return c.gossipActions(c.gossip.Step(now, gossip.PushAnswered{
			To:       done.call.To,
			Sequence: done.response.GetSequence(),
			List:     done.response.GetList(),
		}))
	case compareDone:
		if c.peerFailed(now, done.err, done.call.To.Host) {
			return nil
		}
		return c.gossipActions(c.gossip.Step(now, gossip.Compared{Request: done.call.Compare, Response: done.response}))
	}
	return nil
}

// peerFailed drops a neighbour that didn't answer. One that is busy stays.
func (c *core) peerFailed(now time.Duration, err error, host string) bool {
	if err == nil {
		return false
	}
	c.counters.peerFailures++
	c.counters.peerFailureKinds.count(err)
	if connect.CodeOf(err) == connect.CodeResourceExhausted {
		return true
	}
	c.view.Step(now, shuffle.Failed{Host: host})
	return true
}

// peerAsked answers another agent's call.
func (c *core) peerAsked(now time.Duration, happened event) []action {
	switch asked := happened.(type) {
	case shuffleAsked:
		c.counters.shufflesTaken++
		c.answerShuffle(now, asked)
	case pushAsked:
		c.counters.pushesTaken++
		return c.answerPush(now, asked)
	case compareAsked:
		c.counters.comparesTaken++
		return c.answerCompare(now, asked)
	}
	return nil
}

func (c *core) answerShuffle(now time.Duration, asked shuffleAsked) {
	wanted := c.view.Step(now, shuffle.ExchangeRequested{
		From:   fromMessage(asked.request.GetFrom()),
		Sample: fromMessages(asked.request.GetSample()),
	})
	for _, reply := range wanted {
		if answer, ok := reply.(shuffle.Answer); ok {
			asked.answer <- &pb.ShuffleResponse{Sample: toMessages(answer.Sample)}
		}
	}
}

func (c *core) answerPush(now time.Duration, asked pushAsked) []action {
	wanted := c.gossip.Step(now, gossip.PushRequested{
		From:    fromMessage(asked.request.GetFrom()),
		Changes: asked.request.GetChanges(),
		List:    asked.request.GetList(),
	})
	for _, reply := range wanted {
		if answer, ok := reply.(gossip.PushReply); ok {
			asked.answer <- &pb.PushResponse{Sequence: answer.Sequence, List: answer.List}
		}
	}
	return c.gossipActions(wanted)
}

func (c *core) answerCompare(now time.Duration, asked compareAsked) []action {
	wanted := c.gossip.Step(now, gossip.CompareRequested{
		From:              fromMessage(asked.request.GetFrom()),
		Digests:           asked.request.GetDigests(),
		List:              asked.request.GetList(),
		AcceptsCompressed: asked.request.GetTakesPacked(),
	})
	for _, reply := range wanted {
		if answer, ok := reply.(gossip.CompareReply); ok {
			asked.answer <- answer.Response
		}
	}
	return c.gossipActions(wanted)
}

// gossipActions are the calls among what the gossip wants; its answers have been given.
func (c *core) gossipActions(wanted []gossip.Action) []action {
	var actions []action
	for _, one := range wanted {
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
