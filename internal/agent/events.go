package agent

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/gossip"
	"fieldrelay/internal/shuffle"
)

// event is something that the core is told. Events of callers carry a channel with room for the one answer.
type event interface{ isEvent() }

type (
	// tick tells that time has passed.
	tick struct{}
	// watchResponseStarted tells that the answer to a watchCall has begun to come.
	watchResponseStarted struct{ id uint64 }
	// handleWatchDone ends a watchCall.
	watchDone struct {
		call     watchCall
		response *pb.WatchResponse
		err      error
	}
	// handleProxyCallDone ends a proxyCall.
	proxyCallDone struct {
		call   proxyCall
		status *pb.ProxyStatus
		err    error
	}
	// shuffleDone ends a shuffleCall.
	shuffleDone struct {
		call     shuffleCall
		response *pb.ShuffleResponse
		err      error
	}
	// pushDone ends a pushCall.
	pushDone struct {
		call     pushCall
		response *pb.PushResponse
		err      error
	}
	// compareDone ends a compareCall.
	compareDone struct {
		call     compareCall
		response *pb.CompareResponse
		err      error
	}
	// shuffleRequested is another agent's call.
	shuffleRequested struct {
		request *pb.ShuffleRequest
		answer  chan<- *pb.ShuffleResponse
	}
	// pushRequested is another agent's call.
	pushRequested struct {
		request *pb.PushRequest
		answer  chan<- *pb.PushResponse
	}
	// compareRequested is another agent's call.
	compareRequested struct {
		request *pb.CompareRequest
		answer  chan<- *pb.CompareResponse
	}
	// seedsReloaded tells the control machines that the settings file names now, by the address of their link service.
	seedsReloaded struct{ addresses []string }
	// handleShutdownRequested tells that the process has been asked to end.
	shutdownRequested struct{}
)

func (tick) isEvent()                 {}
func (watchResponseStarted) isEvent() {}
func (watchDone) isEvent()            {}
func (proxyCallDone) isEvent()        {}
func (shuffleDone) isEvent()          {}
func (pushDone) isEvent()             {}
func (compareDone) isEvent()          {}
func (shuffleRequested) isEvent()     {}
func (pushRequested) isEvent()        {}
func (compareRequested) isEvent()     {}
func (seedsReloaded) isEvent()        {}
func (shutdownRequested) isEvent()    {}

// watchKind tells what a call to a control machine is for.
type watchKind int

const (
	watchLongPoll watchKind = iota // waits for news
	watchNotice                    // beside the long one, to tell something at once
	watchProbe                     // finds out whether the machine holds the agreed state
)

// action is a call that the shell has to make; its end comes back as an event.
type action interface{ isAction() }

type (
	// watchCall asks a control machine for news and tells it about this machine.
	watchCall struct {
		id          uint64
		kind        watchKind
		address     string
		request     *pb.WatchRequest
		base        *catalog.Snapshot // the state that the request's digests describe, nil if it has none
		started     time.Duration
		dialTimeout time.Duration // the longest wait for a connection
		timeout     time.Duration
	}
	// proxyCall is an Apply to the proxy, or a Status when there is nothing to apply.
	proxyCall struct {
		apply   *pb.ApplyRequest // nil: Status
		attempt deliveryAttempt
	}
	// shuffleCall is an exchange of neighbours.
	shuffleCall struct{ shuffle.Exchange }
	// pushCall passes news on.
	pushCall struct{ gossip.Push }
	// compareCall compares versions with a neighbour.
	compareCall struct{ gossip.Compare }
)

func (watchCall) isAction()   {}
func (proxyCall) isAction()   {}
func (shuffleCall) isAction() {}
func (pushCall) isAction()    {}
func (compareCall) isAction() {}

func neighbourMessage(neighbour shuffle.Neighbour) *pb.Neighbour {
	return &pb.Neighbour{
		Host:    neighbour.Host,
		Address: neighbour.Address,
		Zone:    neighbour.Zone,
		Region:  neighbour.Region,
		Age:     neighbour.Age,
	}
}

func neighbourFromMessage(message *pb.Neighbour) shuffle.Neighbour {
	return shuffle.Neighbour{
		Host:    message.GetHost(),
		Address: message.GetAddress(),
		Zone:    message.GetZone(),
		Region:  message.GetRegion(),
		Age:     message.GetAge(),
	}
}

func neighbourMessages(neighbours []shuffle.Neighbour) []*pb.Neighbour {
	messages := make([]*pb.Neighbour, len(neighbours))
	for i, neighbour := range neighbours {
		messages[i] = neighbourMessage(neighbour)
	}
	return messages
}

func neighboursFromMessages(messages []*pb.Neighbour) []shuffle.Neighbour {
	neighbours := make([]shuffle.Neighbour, len(messages))
	for i, message := range messages {
		neighbours[i] = neighbourFromMessage(message)
	}
	return neighbours
}
