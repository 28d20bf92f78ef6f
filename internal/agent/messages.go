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
	// watchBegun tells that the answer to a watchCall has begun to come.
	watchBegun struct{ id uint64 }
	// watchDone ends a watchCall.
	watchDone struct {
		call     watchCall
		response *pb.WatchResponse
		err      error
	}
	// feedDone ends a feedCall.
	feedDone struct {
		call   feedCall
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
	// shuffleAsked is another agent's call.
	shuffleAsked struct {
		request *pb.ShuffleRequest
		answer  chan<- *pb.ShuffleResponse
	}
	// pushAsked is another agent's call.
	pushAsked struct {
		request *pb.PushRequest
		answer  chan<- *pb.PushResponse
	}
	// compareAsked is another agent's call.
	compareAsked struct {
		request *pb.CompareRequest
		answer  chan<- *pb.CompareResponse
	}
	// seedsRead tells the control machines that the settings file names now, by the address of their link service.
	seedsRead struct{ addresses []string }
	// endRequested tells that the process has been asked to end.
	endRequested struct{}
)

func (tick) isEvent()         {}
func (watchBegun) isEvent()   {}
func (watchDone) isEvent()    {}
func (feedDone) isEvent()     {}
func (shuffleDone) isEvent()  {}
func (pushDone) isEvent()     {}
func (compareDone) isEvent()  {}
func (shuffleAsked) isEvent() {}
func (pushAsked) isEvent()    {}
func (compareAsked) isEvent() {}
func (seedsRead) isEvent()    {}
func (endRequested) isEvent() {}

// watchKind tells what a call to a control machine is for.
type watchKind int

const (
	watchLong   watchKind = iota // waits for news
	watchNotice                  // beside the long one, to tell something at once
	watchProbe                   // finds out whether the machine holds the agreed state
)

// action is a call that the shell has to make; its end comes back as an event.
type action interface{ isAction() }

type (
	// watchCall asks a control machine for news and tells it about this machine.
	watchCall struct {
		id      uint64
		kind    watchKind
		address string
		request *pb.WatchRequest
		base    *catalog.Snapshot // the state that the request's digests describe, nil if it has none
		started time.Duration
		dial    time.Duration // the longest wait for a connection
		timeout time.Duration
	}
	// feedCall is an Apply to the proxy, or a Status when there is nothing to apply.
	feedCall struct {
		apply   *pb.ApplyRequest // nil: Status
		attempt attempt
	}
	// shuffleCall is an exchange of neighbours.
	shuffleCall struct{ shuffle.Exchange }
	// pushCall passes news on.
	pushCall struct{ gossip.Push }
	// compareCall compares versions with a neighbour.
	compareCall struct{ gossip.Compare }
)

func (watchCall) isAction()   {}
func (feedCall) isAction()    {}
func (shuffleCall) isAction() {}
func (pushCall) isAction()    {}
func (compareCall) isAction() {}

func toMessage(neighbour shuffle.Neighbour) *pb.Neighbour {
	return &pb.Neighbour{
		Host:    neighbour.Host,
		Address: neighbour.Address,
		Zone:    neighbour.Zone,
		Region:  neighbour.Region,
		Age:     neighbour.Age,
	}
}

func fromMessage(message *pb.Neighbour) shuffle.Neighbour {
	return shuffle.Neighbour{
		Host:    message.GetHost(),
		Address: message.GetAddress(),
		Zone:    message.GetZone(),
		Region:  message.GetRegion(),
		Age:     message.GetAge(),
	}
}

func toMessages(neighbours []shuffle.Neighbour) []*pb.Neighbour {
	messages := make([]*pb.Neighbour, len(neighbours))
	for i, neighbour := range neighbours {
		messages[i] = toMessage(neighbour)
	}
	return messages
}

func fromMessages(messages []*pb.Neighbour) []shuffle.Neighbour {
	neighbours := make([]shuffle.Neighbour, len(messages))
	for i, message := range messages {
		neighbours[i] = fromMessage(message)
	}
	return neighbours
}
