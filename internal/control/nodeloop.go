package control

import (
	"context"
	"net"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/settings"
)

// loop feeds the machine with events and carries out its actions.
func (node *Node) loop(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	node.step(Started{})
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-node.events:
			node.step(event)
		case <-ticker.C:
			node.step(Tick{})
			node.publish()
			node.lastTickAt.Store(int64(time.Since(node.startedAt)))
		case <-report.C:
			node.counters.log(node.logger, node.Status())
		}
	}
}

func (node *Node) step(event Event) {
	actions := node.machine.Step(time.Since(node.startedAt), event)
	soft := false
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			if heartbeat := action.Message.GetHeartbeat(); heartbeat != nil && !soft {
				soft = true
				node.addSoftState(heartbeat)
			}
			node.senders.send(action.Address, action.Message)
		case Persist:
			node.writer.queue <- action
		case Reply:
			node.reply(action)
		case Committed:
			node.committed(action)
		case ViewChanged:
			node.viewChanged(action.View)
		case HeartbeatReceived:
			if node.options.OnHeartbeat != nil {
				node.options.OnHeartbeat(action.From, action.Heartbeat)
			}
		case ServerListReceived:
			if node.options.OnServerList != nil {
				node.options.OnServerList(action.List)
			}
		case Left:
			node.left <- action.Agreed
		}
	}
}

// post hands an event of the writer to the loop.
func (node *Node) post(ctx context.Context, event Event) {
	select {
	case node.events <- event:
	case <-ctx.Done():
	}
}

// undelivered tells the machine of a message that was lost.
func (node *Node) undelivered(message *pb.Message) {
	select {
	case node.events <- Undelivered{Message: message}:
	default: // it is sent again, only later
	}
}

// addSoftState completes a heartbeat; all messages of one round share it.
func (node *Node) addSoftState(heartbeat *pb.Heartbeat) {
	if node.options.Soft == nil {
		return
	}
	heartbeat.Agents, heartbeat.List = node.options.Soft()
}

func (node *Node) reply(action Reply) {
	node.mu.Lock()
	answer := node.replies[action.Request]
	delete(node.replies, action.Request)
	node.mu.Unlock()
	if answer != nil {
		answer <- action.Result
	}
}

func (node *Node) committed(action Committed) {
	node.counters.committed.Add(1)
	node.mu.Lock()
	if action.Changes == nil {
		node.history.Reset(action.Snapshot.Sequence())
	}
	for _, change := range action.Changes {
		node.history.Add(change)
	}
	node.mu.Unlock()
	node.publish()
}

func (node *Node) viewChanged(view *pb.View) {
	node.counters.views.Add(1)
	node.logger.Info("view",
		zap.Uint64("number", view.GetNumber()),
		zap.Strings("voters", hostsOf(view.GetVoters())),
		zap.Strings("chain", hostsOf(view.GetChain())),
	)
	node.publish()
}

func hostsOf(replicas []*pb.Replica) []string {
	hosts := make([]string, 0, len(replicas))
	for _, replica := range replicas {
		hosts = append(hosts, replica.GetHost())
	}
	return hosts
}

// publish makes a new Status if anything in it differs, and wakes those who wait for a change.
func (node *Node) publish() {
	machine := node.machine
	status := &Status{
		View:          machine.View(),
		Self:          machine.Self(),
		Committed:     machine.Committed(),
		Authoritative: machine.Authoritative(),
		Live:          machine.Live(),
		Founded:       machine.View() != nil,
	}
	if old := node.status.Load(); old != nil && old.equal(status) {
		return
	}
	node.status.Store(status)
	node.mu.Lock()
	defer node.mu.Unlock()
	close(node.changed)
	node.changed = make(chan struct{})
}

func (s *Status) equal(other *Status) bool {
	return s.View == other.View &&
		s.Committed == other.Committed &&
		s.Authoritative == other.Authoritative &&
		slices.Equal(s.Live, other.Live)
}

// peerAddressOf returns the rule by which a seed's peer service is found: all machines use the same ports.
func peerAddressOf(own *settings.Settings) func(string) string {
	port := strconv.Itoa(own.PortRange[0])
	return func(seed string) string {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			return ""
		}
		return net.JoinHostPort(host, port)
	}
}
