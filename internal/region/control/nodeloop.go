package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
)

// loop steps the Machine with events and carries out its actions. It is the only goroutine that uses the Machine, and
// it waits for no other goroutine: results of writes do not pass through the event queue, which may be full.
func (n *Node) loop(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	n.step(Started{})
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-n.events:
			n.step(event)
		case <-n.writer.results.ready:
			for _, result := range n.writer.results.take() {
				n.step(result)
			}
		case <-ticker.C:
			n.step(Tick{})
			n.publish()
			n.publishCoordination()
			n.lastTickAt.Store(int64(time.Since(n.startedAt)))
		case <-report.C:
			n.counters.log(n.logger, n.Status())
		}
	}
}

func (n *Node) step(event Event) {
	actions := n.machine.Step(time.Since(n.startedAt), event)
	hasSoftState := false
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			if heartbeat := action.Message.GetHeartbeat(); heartbeat != nil && !hasSoftState {
				hasSoftState = true
				n.addSoftState(heartbeat)
			}
			n.senders.send(action.Address, action.Message)
		case Persist:
			n.writer.queue.put(action)
		case Reply:
			n.reply(action)
		case CallReply:
			n.replyToCall(action)
		case Committed:
			n.counters.committed.Add(1)
			n.addCommitted(action)
			n.publish()
		case ViewChanged:
			n.viewChanged(action.View)
		case HeartbeatReceived:
			if n.options.OnHeartbeat != nil {
				n.options.OnHeartbeat(action.From, action.Heartbeat)
			}
		case ServerListReceived:
			if n.options.OnServerList != nil {
				n.options.OnServerList(action.List)
			}
		case Left:
			n.left <- action.Agreed
		}
	}
}

// post puts an event into the queue, waiting for room until ctx ends.
func (n *Node) post(ctx context.Context, event Event) {
	select {
	case n.events <- event:
	case <-ctx.Done():
	}
}

// postUndelivered reports a message that may be lost. If the queue is full, the report is dropped: the message is
// resent in any case, only later.
func (n *Node) postUndelivered(message *pb.Message) {
	select {
	case n.events <- Undelivered{Message: message}:
	default:
	}
}

// addSoftState adds the soft state to a heartbeat. All messages of one step share the heartbeat, so one call for each
// step is enough.
func (n *Node) addSoftState(heartbeat *pb.Heartbeat) {
	if n.options.SoftState == nil {
		return
	}
	heartbeat.Agents, heartbeat.List = n.options.SoftState()
}

func (n *Node) viewChanged(view *pb.View) {
	n.counters.views.Add(1)
	n.logger.Info("view",
		zap.Uint64("number", view.GetNumber()),
		zap.Strings("voters", hostsOf(view.GetVoters())),
		zap.Strings("chain", hostsOf(view.GetChain())),
	)
	n.publish()
}

func hostsOf(replicas []*pb.Replica) []string {
	hosts := make([]string, 0, len(replicas))
	for _, replica := range replicas {
		hosts = append(hosts, replica.GetHost())
	}
	return hosts
}
